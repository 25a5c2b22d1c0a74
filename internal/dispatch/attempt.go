package dispatch

import (
	"context"
	"errors"
	"time"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/upstream"
)

const (
	// maxUnsent bounds the endpoints that one request can't be sent to.
	maxUnsent = 4
	// maxArrivals bounds the endpoints that one request is sent to, those that
	// did not run it included.
	maxArrivals = 3
	// keptIdle is how long a connection may have been idle for a request that
	// may be repeated; freshIdle for others, which a closing connection loses.
	keptIdle  = 8 * time.Second
	freshIdle = 1500 * time.Millisecond
	// leastLeft is the time under which no attempt is begun.
	leastLeft = 5 * time.Millisecond
)

// step is what follows an attempt.
type step int

const (
	// deliver means that the answer goes to the caller.
	deliver step = iota
	// again means that another attempt is allowed.
	again
	// giveUp means that the refusal goes to the caller.
	giveUp
)

// place is where a task is tried.
type place struct {
	endpoint roster.Endpoint
	work     placement.Work
	// standby is nil if no copy of the run is kept.
	standby *standby
}

// result is how an attempt went.
type result struct {
	step    step
	answer  *upstream.Answer
	verdict Verdict
	ticket  *placement.Ticket
	body    []byte
	refusal *refusal.Error
}

// attempt sends a task to an endpoint and judges the head of the answer. A
// delivered result holds an open answer and its ticket.
func (di *Dispatcher) attempt(ctx context.Context, ta *task, pl place) result {
	en := pl.endpoint
	ta.mark(en)
	at := Attempt{Endpoint: en, Left: ta.left(di.Clock.Now()), Team: ta.team, PassCredential: ta.open, Standby: pl.standby.address(), MaxIdle: freshIdle}
	if ta.route.Repeat == routing.Idempotent {
		at.MaxIdle = keptIdle
	}
	ti := di.Board.Begin(en, pl.work)
	an, err := di.Sender.Do(ctx, di.Codec.Call(ta.Request, at))
	if err != nil {
		return di.failed(ctx, ta, en, ti, err)
	}
	ve := di.Codec.Verdict(an)
	switch {
	case ve.NotRun || ve.Misdirected:
		return di.notRun(ta, en, ti, an, ve)
	case !ve.Genuine:
		ti.End(placement.Lost)
		an.Close()
		return di.lost(ta, en, errNotGenuine)
	case an.Status >= 500 && ta.route.Repeat == routing.Idempotent:
		return di.failedThere(ta, en, ti, an, ve)
	}
	return result{step: deliver, answer: an, verdict: ve, ticket: ti}
}

var errNotGenuine = errors.New("the answer lacks the endpoint's proof")

// failed judges a call without an answer.
func (di *Dispatcher) failed(ctx context.Context, ta *task, en roster.Endpoint, ti *placement.Ticket, err error) result {
	switch upstream.KindOf(err) {
	case upstream.NotSent:
		ti.End(placement.Unreachable)
		di.decided(ta, en, "not_sent", err)
		if len(ta.tried) < maxUnsent {
			return result{step: again}
		}
		return result{step: giveUp, refusal: di.unsent(ta, err)}
	case upstream.Canceled:
		ti.End(placement.Done)
		ta.ran++
		return result{step: giveUp, refusal: di.ended(ctx, ta, err)}
	case upstream.Lost, upstream.Garbled:
	}
	ti.End(placement.Lost)
	return di.lost(ta, en, err)
}

// lost judges an attempt that may have run and has no answer of use.
func (di *Dispatcher) lost(ta *task, en roster.Endpoint, err error) result {
	ta.ran++
	ta.arrivals++
	di.decided(ta, en, "lost", err)
	di.blame(ta, en)
	if di.mayRunAgain(ta) {
		return result{step: again}
	}
	return result{step: giveUp, refusal: refusal.Wrap(refusal.EndpointLost, "the endpoint's answer did not come whole", err)}
}

// notRun judges an answer by which the endpoint says that it did not run the
// request.
func (di *Dispatcher) notRun(ta *task, en roster.Endpoint, ti *placement.Ticket, an *upstream.Answer, ve Verdict) result {
	ti.End(placement.Refused)
	_, _ = an.ReadAll(refusedBodyBytes)
	an.Close()
	ta.arrivals++
	di.decided(ta, en, "not_run", nil)
	if ve.Misdirected {
		di.Roster.Leave(en.ID)
	}
	if ta.arrivals < maxArrivals && ta.left(di.Clock.Now()) > leastLeft && di.Budget.Take(ta.service.Name) {
		return result{step: again}
	}
	er := refusal.New(refusal.EndpointRefused, "endpoints did not take the request").WithRetryAfter(busyRetryAfter)
	er.Dispatched = ta.ran > 0
	return result{step: giveUp, refusal: er}
}

// refusedBodyBytes bounds the body of an answer that is thrown away.
const refusedBodyBytes = 64 << 10

// failedThere judges an endpoint's own failure of an idempotent request: it is
// sent once more, or the failure is delivered.
func (di *Dispatcher) failedThere(ta *task, en roster.Endpoint, ti *placement.Ticket, an *upstream.Answer, ve Verdict) result {
	ta.ran++
	ta.arrivals++
	if !di.mayRunAgain(ta) {
		return result{step: deliver, answer: an, verdict: ve, ticket: ti}
	}
	di.decided(ta, en, "failed_there", nil)
	ti.End(placement.Failed)
	_, _ = an.ReadAll(refusedBodyBytes)
	an.Close()
	return result{step: again}
}

// mayRunAgain tells whether a request that has run may run once more.
func (di *Dispatcher) mayRunAgain(ta *task) bool {
	return ta.route.Repeat == routing.Idempotent && ta.ran < ta.route.MaxAttempts &&
		ta.left(di.Clock.Now()) > leastLeft && di.Budget.Take(ta.service.Name)
}

func (di *Dispatcher) unsent(ta *task, err error) *refusal.Error {
	er := refusal.Wrap(refusal.EndpointRefused, "no endpoint can be reached", err).WithRetryAfter(busyRetryAfter)
	er.Dispatched = ta.ran > 0
	return er
}

// ended is the refusal of a request whose context ended.
func (di *Dispatcher) ended(ctx context.Context, ta *task, err error) *refusal.Error {
	if context.Cause(ctx) != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return refusal.Wrap(refusal.CallerGone, "the caller left", err).WithDispatched()
	}
	return refusal.Wrap(refusal.TimedOut, "no answer within "+boundOf(ta.route.Timeout, ta.Budget).String(), err)
}

// decided logs what an attempt that was not delivered led to.
func (di *Dispatcher) decided(ta *task, en roster.Endpoint, what string, err error) {
	di.Meter.attempt(what)
	di.Log.Info().Str("event", "attempt_failed").Str("request", ta.ID).Str("endpoint", en.ID).Str("how", what).
		Str("repeat", ta.route.Repeat.String()).Int("ran", ta.ran).Int("arrivals", ta.arrivals).
		Dur("left", ta.left(di.Clock.Now())).AnErr("cause", err).Msg("dispatch: attempt failed")
}
