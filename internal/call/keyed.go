package call

import (
	"context"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/record"
	"filbertstall.example/filbertstall/internal/refusal"
)

const (
	// recordTimeout is the maximum time for which a response is delayed while its
	// outcome is recorded. After that the caller gets the response, and recording
	// continues in the background.
	recordTimeout = 500 * time.Millisecond
	// awaitMargin is how long before its deadline a resend stops waiting for the
	// outcome of the first call, so that its own response still arrives in time.
	awaitMargin = 200 * time.Millisecond
)

// keyedCall is a call with an Idempotency-Key, which package record allows to
// run at most once.
type keyedCall struct {
	*outgoingCall
	ha     *Handler
	id     record.Hash
	digest record.Hash
}

// serveKeyed serves a call that has an Idempotency-Key and is not idempotent.
//
// It first acquires a place at an endpoint, then records that the call begins,
// and then sends it. In this order a call that gets no place is not recorded,
// and a place is held without use only while the begin is recorded.
func (ha *Handler) serveKeyed(oc *outgoingCall) (endpoint.Response, error) {
	re := oc.request
	kc := &keyedCall{
		outgoingCall: oc, ha: ha,
		id:     record.NewID(oc.ex.Team.Name, oc.service.Name, re.Key),
		digest: record.NewDigest(re.Method, re.Path, re.ContentType, re.Body),
	}
	for {
		an, again, err := kc.run()
		if !again {
			return an, err
		}
	}
}

// run sends the call, or returns the outcome of an earlier call with the same
// key. again means that the earlier call was withdrawn without having been sent,
// so that run must be called again.
func (kc *keyedCall) run() (an endpoint.Response, again bool, err error) {
	gr, err := kc.ha.acquire(kc.ex.Context, kc.outgoingCall)
	if err != nil {
		return kc.withoutPlace(err)
	}
	cl, err := kc.ha.Recorder.Begin(kc.ex.Context, kc.id, kc.digest, kc.ex.Deadline)
	if err != nil {
		kc.ha.releaseUnused(gr)
		return an, false, refusal.Wrap(refusal.NoRecord, "the call could not be recorded, so it was not sent", err)
	}
	if !cl.Own {
		kc.ha.releaseUnused(gr)
		return kc.answerResend(cl)
	}
	an, err = kc.dispatch(cl, gr)
	return an, false, err
}

// withoutPlace handles a call that got no place at an endpoint. A resend of a
// recorded call is still answered from the record, and any other call is refused
// with cause.
func (kc *keyedCall) withoutPlace(cause error) (endpoint.Response, bool, error) {
	cl, err := kc.ha.Recorder.Find(kc.ex.Context, kc.id)
	if err != nil || !cl.Found {
		return endpoint.Response{}, false, cause
	}
	return kc.answerResend(cl)
}

// dispatch sends a call whose record entry this request created, and records
// the outcome. If no endpoint can have received the call, the entry is withdrawn.
func (kc *keyedCall) dispatch(cl record.Claim, gr *admission.Grant) (endpoint.Response, error) {
	an, sent, err := kc.ha.sendOnce(kc.outgoingCall, gr, func() error { return kc.checkDispatch(cl) })
	if !sent {
		kc.ha.count(withdrawn)
		kc.ha.Recorder.Withdraw(cl)
		return an, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	unrecorded := error(nil)
	if err == nil {
		unrecorded = kc.ha.Recorder.Answer(ctx, cl, recordedAnswer(an))
	} else {
		unrecorded = kc.ha.Recorder.MarkLost(ctx, cl)
	}
	if unrecorded != nil {
		// The caller still gets the outcome. A resend waits until the outcome is
		// recorded, and is told that it is unknown if that does not happen.
		kc.ha.count(outcomeUnrecorded)
		kc.ha.Log.Warn().Err(unrecorded).Msg("call: outcome not recorded; a resend may be told that it is unknown")
	}
	return an, err
}

// checkDispatch returns a refusal if there is no time left or the claim cannot
// be confirmed. The time is checked again at the end because Confirm reads
// the record if the claim is old, which takes time.
func (kc *keyedCall) checkDispatch(cl record.Claim) error {
	if err := kc.ha.checkTime(kc.outgoingCall); err != nil {
		return err
	}
	if err := kc.ha.Recorder.Confirm(kc.ex.Context, cl); err != nil {
		return refusal.Wrap(refusal.NoRecord, "the record of the call no longer stands, so it was not sent", err)
	}
	return kc.ha.checkTime(kc.outgoingCall)
}

// answerResend answers a request whose key is already recorded. If the first
// call is still in flight, it waits for the outcome until shortly before the
// deadline. again is as for run.
func (kc *keyedCall) answerResend(cl record.Claim) (an endpoint.Response, again bool, err error) {
	if cl.Entry.Digest != kc.digest {
		return an, false, refusal.New(refusal.KeyReused, "the Idempotency-Key was used for another request; use a new one")
	}
	if cl.Entry.State == record.Begun {
		kc.ha.count(resendWaited)
		ctx, cancel := context.WithDeadline(kc.ex.Context, kc.ex.Deadline.Add(-awaitMargin))
		defer cancel()
		cl = kc.ha.Recorder.Await(ctx, cl)
	}
	if !cl.Found {
		return an, true, nil
	}
	if cl.Entry.Digest != kc.digest {
		return kc.answerResend(cl)
	}
	an, err = kc.outcome(cl.Entry)
	return an, false, err
}

// outcome returns the recorded response, or a refusal if there is none.
func (kc *keyedCall) outcome(en record.Entry) (endpoint.Response, error) {
	switch {
	case en.State == record.Begun:
		return endpoint.Response{}, refusal.New(refusal.InProgress, "a call with this key was begun and has no answer yet")
	case en.State == record.Lost:
		kc.ha.count(resendLost)
		return endpoint.Response{}, refusal.New(refusal.EndpointLost, "a call with this key was sent and its answer did not come")
	case en.Answer.Omitted:
		return endpoint.Response{}, refusal.New(refusal.AnswerNotKept, "a call with this key ran; its answer is too large to be kept")
	}
	kc.ha.count(resendAnswered)
	return endpoint.Response{
		Status: en.Answer.Status, ContentType: en.Answer.ContentType, Headers: en.Answer.Headers, Body: en.Answer.Body,
	}, nil
}

func recordedAnswer(an endpoint.Response) record.Answer {
	return record.Answer{Status: an.Status, ContentType: an.ContentType, Headers: an.Headers, Body: an.Body}
}
