package call

import (
	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
)

// serveUnkeyed serves a call that is not idempotent and has no Idempotency-Key.
// The call is sent once. If the caller sends it again, it can run a second time.
func (ha *Handler) serveUnkeyed(oc *outgoingCall) (endpoint.Response, error) {
	gr, err := ha.acquire(oc.ex.Context, oc)
	if err != nil {
		return endpoint.Response{}, err
	}
	an, _, err := ha.sendOnce(oc, gr, func() error { return ha.checkTime(oc) })
	return an, err
}

// checkTime returns a refusal if the deadline has passed before the call is sent, or if
// the call could not end before a shutdown does.
func (ha *Handler) checkTime(oc *outgoingCall) error {
	now := ha.Clock.Now()
	if !now.Before(oc.ex.Deadline) {
		return refusal.New(refusal.DeadlinePassed, "the deadline passed before the call was sent")
	}
	if pe, begun := ha.Shutdown.Period(); begun && !pe.Takes(oc.shutdownRequest(), now) {
		return stoppingRefusal()
	}
	return nil
}

// sendOnce sends a call to the granted endpoint. If no connection was made, it
// tries another endpoint, up to maxTries in total. After any other failure the
// endpoint may have run the call, so it is not sent again. check runs before
// each try, and an error from it ends the call. sent is false only if no
// endpoint can have received the call.
func (ha *Handler) sendOnce(oc *outgoingCall, gr *admission.Grant, check func() error) (an endpoint.Response, sent bool, err error) {
	for try := 1; ; try++ {
		if err := check(); err != nil {
			ha.releaseUnused(gr)
			return an, false, err
		}
		an, err = ha.send(oc, gr)
		if err == nil {
			return an, true, nil
		}
		unsent := endpoint.IsKind(err, endpoint.Unreachable)
		if !unsent || try == maxTries {
			return an, !unsent, refusalFor(err)
		}
		ha.count(retryUnreachable)
		oc.exclude(gr.Endpoint.Name)
		if gr, err = ha.acquire(oc.ex.Context, oc); err != nil {
			return an, false, err
		}
	}
}
