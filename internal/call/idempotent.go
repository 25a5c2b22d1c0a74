package call

import (
	"context"
	"errors"
	"sync/atomic"

	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/retry"
)

// serveIdempotent serves a call whose route is declared idempotent. It hedges a
// slow attempt with a second one and retries a failed attempt at another
// endpoint. Both count against the retry budget of the service.
func (ha *Handler) serveIdempotent(oc *outgoingCall) (endpoint.Response, error) {
	service := oc.service.Name
	ha.Retries.Arrived(service)
	latency, _ := ha.latencies.LoadOrStore(service, new(retry.Latency))
	he := retry.Hedging{Policy: ha.Retries, Clock: ha.Clock, Service: service, Idempotent: true}
	he.Latency, _ = latency.(*retry.Latency)
	var sent atomic.Int32
	for number := 1; ; number++ {
		an, err := retry.Hedge(oc.ex.Context, he, func(ctx context.Context) (endpoint.Response, error) {
			return ha.sendAttempt(ctx, oc, &sent)
		})
		if err == nil {
			return an, nil
		}
		var ee *endpoint.Error
		if !errors.As(err, &ee) {
			return an, ha.noResponseRefusal(oc, err, sent.Load() > 0)
		}
		at := retry.Attempt{
			Service: service, Number: number, Reason: retry.Lost, Idempotent: true, Remaining: ha.Clock.Until(oc.ex.Deadline),
		}
		if ee.Kind == endpoint.Unreachable {
			at.Reason = retry.NotBegun
		}
		pause, again := ha.Retries.Decide(at)
		if !again {
			return an, withDispatched(refusalFor(err), sent.Load() > 0)
		}
		ha.Clock.Sleep(pause)
	}
}

// sendAttempt makes one attempt of an idempotent call. sent counts the attempts
// that may have reached an endpoint. It is incremented before the attempt is
// sent, and decremented if no connection was made.
func (ha *Handler) sendAttempt(ctx context.Context, oc *outgoingCall, sent *atomic.Int32) (endpoint.Response, error) {
	gr, err := ha.acquire(ctx, oc)
	if err != nil {
		return endpoint.Response{}, err
	}
	oc.exclude(gr.Endpoint.Name)
	if err := ha.checkTime(oc); err != nil {
		ha.releaseUnused(gr)
		return endpoint.Response{}, err
	}
	sent.Add(1)
	an, err := ha.send(oc, gr)
	if endpoint.IsKind(err, endpoint.Unreachable) {
		sent.Add(-1)
	}
	return an, err
}

// noResponseRefusal returns the refusal for a call that was granted no place at
// an endpoint, or whose deadline passed while it was in flight. sent means that
// an attempt may have reached an endpoint.
func (ha *Handler) noResponseRefusal(oc *outgoingCall, err error, sent bool) *refusal.Error {
	var er *refusal.Error
	if !errors.As(err, &er) {
		er = refusal.Wrap(refusal.DeadlinePassed, "the deadline passed before an answer came", oc.ex.Context.Err())
	}
	return withDispatched(er, sent)
}

// withDispatched marks the refusal as dispatched if an attempt may have reached
// an endpoint, so that its outcome is not reported as not_run.
func withDispatched(er *refusal.Error, dispatched bool) *refusal.Error {
	if dispatched {
		return er.WithDispatched()
	}
	return er
}
