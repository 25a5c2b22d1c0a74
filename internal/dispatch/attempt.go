package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/reservation"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/shutdown"
	"filbertstall.example/filbertstall/internal/suspicion"
	"filbertstall.example/filbertstall/internal/upstream"
)

const (
	// maxUnreachable limits the attempts after a failed connection: another
	// endpoint is tried only if fewer than maxUnreachable endpoints have been
	// tried for the request.
	maxUnreachable = 4
	// maxArrivals limits the attempts after a rejection: another endpoint is
	// tried only if fewer than maxArrivals attempts may have reached an
	// endpoint, including those that were rejected without running.
	maxArrivals = 3
	// maxIdleIdempotent is the longest idle time of a reused connection for
	// idempotent requests, and maxIdleNonIdempotent for all others. The
	// endpoint may close an idle connection just as a request is sent. Such a
	// request is lost, and only an idempotent one can be sent again.
	maxIdleIdempotent    = 8 * time.Second
	maxIdleNonIdempotent = 1500 * time.Millisecond
	// minAttemptTime is the time that must remain until the deadline for a
	// request to be sent again after it reached an endpoint. It is not checked
	// after a failed connection.
	minAttemptTime = 5 * time.Millisecond
)

// step is what the dispatcher does after an attempt.
type step int

const (
	// deliver passes the answer to the caller.
	deliver step = iota
	// retry allows another attempt.
	retry
	// giveUp passes the refusal to the caller.
	giveUp
)

// destination is the endpoint of an attempt, with the load that the attempt
// puts on it.
type destination struct {
	endpoint roster.Endpoint
	demand   placement.Demand
	// permit allows to send the request to the endpoint once.
	permit *backpressure.Permit
	// grant is the zone's allocator's grant of the endpoint. It is nil if there is none.
	grant *reservation.Grant
	// standby is nil if no standby copy of the run is kept.
	standby *standby
}

// release gives the permit and the grant of an attempt back that is not sent.
func (de destination) release() {
	de.permit.Release()
	de.grant.Settle()
}

// result is the outcome of an attempt.
type result struct {
	step    step
	answer  *upstream.Answer
	verdict Verdict
	ticket  *placement.Ticket
	// sentAt is when the request was sent.
	sentAt  time.Time
	body    *buffer.Buffer
	refusal *refusal.Error
}

// attempt sends a task to an endpoint and chooses the next step from the status
// and header of the answer. If the step is deliver, the result holds an open
// answer and its ticket.
func (di *Dispatcher) attempt(ctx context.Context, ta *task, de destination) result {
	en := de.endpoint
	if ctx.Err() != nil || ta.remaining(di.Clock.Now()) <= 0 {
		de.release()
		return result{step: giveUp, refusal: di.endedBeforeSend(ctx, ta)}
	}
	if er := di.refuseIfTooLate(ta); er != nil {
		de.release()
		return result{step: giveUp, refusal: er}
	}
	switch ju := di.judge(ta, en); {
	case ju.Verdict == suspicion.Refuse:
		de.release()
		return result{step: giveUp, refusal: suspectRefusal(ta, ju)}
	case di.lacksTurn(ta, ju):
		de.release()
		return di.handleMissingTurn(ta, en)
	}
	ta.markTried(en)
	at := Attempt{Endpoint: en, Remaining: ta.remaining(di.Clock.Now()), Team: ta.team, PassCredential: ta.passCredential, Standby: de.standby.address(), MaxIdle: maxIdleNonIdempotent}
	if ta.route.RetryClass == routing.Idempotent {
		at.MaxIdle = maxIdleIdempotent
	}
	ti := di.Tracker.Begin(en, de.demand)
	de.grant.Settle()
	ti.OnEnd(de.permit.Release)
	di.recordSent(en)
	di.beginAnswer(ta)
	sentAt := ta.sentAt
	an, err := di.Gate.Do(ctx, de.permit, di.Codec.Call(ta.Request, at))
	if err != nil {
		return di.handleSendError(ctx, ta, en, ti, sentAt, err)
	}
	ta.turn = suspicion.Feature{}
	if di.Paths != nil {
		di.Paths.Reached(ta.service.Name, en.ID)
	}
	ve := di.Codec.Verdict(an)
	switch {
	case ve.NotRun || ve.Misdirected:
		if !ve.Misdirected {
			de.permit.TurnedAway()
		}
		return di.handleNotRun(ta, en, ti, an, ve)
	case !ve.Genuine:
		ti.End(placement.Lost)
		an.Close()
		return di.handleLost(ta, en, errNotGenuine)
	case an.Status >= 500 && ta.route.RetryClass == routing.Idempotent:
		return di.handleServerError(ta, en, ti, an, ve, sentAt)
	}
	return result{step: deliver, answer: an, verdict: ve, ticket: ti, sentAt: sentAt}
}

// endedBeforeSend returns the refusal of a request that ended before it was sent, while it
// waited or the process was paused: its caller left, its time passed, or the instance stops.
func (di *Dispatcher) endedBeforeSend(ctx context.Context, ta *task) *refusal.Error {
	er := refusal.New(refusal.DeadlinePassed, "the time of the request passed before it was sent")
	switch cause := context.Cause(ctx); {
	case shutdown.IsCause(cause):
		er = di.stoppingRefusal(ta)
	case cause != nil && !errors.Is(cause, context.DeadlineExceeded):
		er = refusal.New(refusal.CallerGone, "the caller left before the request was sent")
	}
	er.Dispatched = ta.ran > 0
	return er
}

var errNotGenuine = errors.New("dispatch: the answer lacks the endpoint's signature or has an unexpected form")

// handleSendError handles a call that returned no answer.
func (di *Dispatcher) handleSendError(ctx context.Context, ta *task, en roster.Endpoint, ti *placement.Ticket, sentAt time.Time, err error) result {
	if backpressure.IsRefused(err) {
		ti.End(placement.Abandoned)
		return di.handleRefusedPermit(ta, en, err)
	}
	switch upstream.KindOf(err) {
	case upstream.NotSent:
		ti.End(placement.Unreachable)
		di.logFailedAttempt(ta, en, "not_sent", err)
		di.recordPath(ta, en, err)
		if len(ta.tried) < maxUnreachable {
			return result{step: retry}
		}
		return result{step: giveUp, refusal: di.unreachableRefusal(ta, err)}
	case upstream.Canceled:
		ti.End(placement.Abandoned)
		di.recordTimeout(ctx, ta, en, sentAt)
		ta.ran++
		return result{step: giveUp, refusal: di.endedRefusal(ctx, ta, err)}
	case upstream.Lost, upstream.Mismatched:
	}
	ta.turn = suspicion.Feature{}
	ti.End(placement.Lost)
	return di.handleLost(ta, en, err)
}

// handleLost handles an attempt that may have run but has no usable answer.
func (di *Dispatcher) handleLost(ta *task, en roster.Endpoint, err error) result {
	ta.ran++
	ta.arrivals++
	di.logFailedAttempt(ta, en, "lost", err)
	di.reportCrash(ta, en, ta.whole())
	if di.mayRetry(ta) {
		return result{step: retry}
	}
	return result{step: giveUp, refusal: refusal.Wrap(refusal.EndpointLost, "the endpoint's answer did not come whole", err)}
}

// handleNotRun handles an answer by which the endpoint states that it did not
// run the request. If the address now belongs to another endpoint, the intended
// one is marked as leaving.
func (di *Dispatcher) handleNotRun(ta *task, en roster.Endpoint, ti *placement.Ticket, an *upstream.Answer, ve Verdict) result {
	ti.End(placement.Refused)
	_ = an.Discard(maxDiscardedBytes)
	an.Close()
	ta.arrivals++
	di.logFailedAnswer(ta, en, "not_run", an)
	if ve.Misdirected {
		di.Roster.Leave(en.ID)
	}
	if er := di.refuseIfTooLate(ta); er != nil {
		return result{step: giveUp, refusal: er}
	}
	if ta.arrivals < maxArrivals && ta.remaining(di.Clock.Now()) > minAttemptTime && di.Budget.Take(ta.service.Name) {
		return result{step: retry}
	}
	er := refusal.New(refusal.EndpointRefused, "endpoints did not take the request").WithRetryAfter(busyRetryAfter)
	er.Dispatched = ta.ran > 0
	return result{step: giveUp, refusal: er}
}

// maxDiscardedBytes limits how much of the body of a discarded answer is read.
// The connection can be reused only if the body has been read to its end.
const maxDiscardedBytes = 64 << 10

// handleServerError handles an endpoint's server error for an idempotent
// request. The request is sent again if a retry is allowed. Otherwise, the
// answer is delivered.
func (di *Dispatcher) handleServerError(ta *task, en roster.Endpoint, ti *placement.Ticket, an *upstream.Answer, ve Verdict, sentAt time.Time) result {
	ta.ran++
	ta.arrivals++
	if !di.mayRetry(ta) {
		return result{step: deliver, answer: an, verdict: ve, ticket: ti, sentAt: sentAt}
	}
	di.recordAnswer(ta, en, sentAt, true)
	di.logFailedAnswer(ta, en, "failed_there", an)
	ti.End(placement.Failed)
	_ = an.Discard(maxDiscardedBytes)
	an.Close()
	return result{step: retry}
}

// mayRetry reports whether a request that may have run can be sent again. If
// so, it takes one retry from the budget.
func (di *Dispatcher) mayRetry(ta *task) bool {
	return ta.route.RetryClass == routing.Idempotent && ta.ran < ta.route.MaxAttempts &&
		ta.remaining(di.Clock.Now()) > minAttemptTime && di.refuseIfTooLate(ta) == nil && di.Budget.Take(ta.service.Name)
}

func (di *Dispatcher) unreachableRefusal(ta *task, err error) *refusal.Error {
	er := refusal.Wrap(refusal.EndpointRefused, "no endpoint can be reached", err).WithRetryAfter(busyRetryAfter)
	er.Dispatched = ta.ran > 0
	return er
}

// isTimeout reports whether a request's context ended because its time passed.
func isTimeout(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// endedRefusal returns the refusal of a request that was sent and whose context ended:
// Stopping if the instance cut it at the end of its shutdown, CallerGone if the caller
// disconnected, or TimedOut if the deadline passed.
func (di *Dispatcher) endedRefusal(ctx context.Context, ta *task, err error) *refusal.Error {
	switch cause := context.Cause(ctx); {
	case shutdown.IsCause(cause):
		di.logCut(ta, 0)
		return refusal.Wrap(refusal.Stopping, "the instance stopped before the answer was whole", err).WithDispatched()
	case cause != nil && !isTimeout(ctx):
		return refusal.Wrap(refusal.CallerGone, "the caller left", err).WithDispatched()
	}
	return refusal.Wrap(refusal.TimedOut, "no answer within "+requestTimeout(ta.route.Timeout, ta.CallerTimeout).String(), err)
}

// logFailedAttempt logs and counts an attempt whose answer is not delivered.
func (di *Dispatcher) logFailedAttempt(ta *task, en roster.Endpoint, outcome string, err error) {
	di.failedAttempt(ta, en, outcome).AnErr("cause", err).Msg("dispatch: attempt failed")
}

// logFailedAnswer is logFailedAttempt for an attempt whose answer was read. It names the
// connection: an answer to an earlier request may arrive on one that is used again.
func (di *Dispatcher) logFailedAnswer(ta *task, en roster.Endpoint, outcome string, an *upstream.Answer) {
	co := an.Connection()
	di.failedAttempt(ta, en, outcome).Int("status", an.Status).Str("local", co.Local).Str("remote", co.Remote).
		Int("calls_on_connection", co.Calls).Msg("dispatch: attempt failed")
}

// failedAttempt counts an attempt whose answer is not delivered and returns its log event.
func (di *Dispatcher) failedAttempt(ta *task, en roster.Endpoint, outcome string) *zerolog.Event {
	di.Meter.countAttempt(outcome)
	return di.Log.Info().Str("event", "attempt_failed").Str("request", ta.ID).Str("endpoint", en.ID).Str("endpoint_version", en.Version).Str("how", outcome).
		Str("repeat", ta.route.RetryClass.String()).Int("ran", ta.ran).Int("arrivals", ta.arrivals).
		Dur("left", ta.remaining(di.Clock.Now()))
}
