package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
	"filbertstall.example/filbertstall/internal/upstream"
)

// maxResumeWait is the longest time for which a stream waits, in all, until the engine where
// it continues takes it. Callers abandon a stream that pauses for longer.
const maxResumeWait = 1800 * time.Millisecond

// callCopy calls the target of a move or takeover to let the run go on, and returns its
// answer, which is the stream of the run, the move with the engine that was called, and
// what became of the call.
func (se *session) callCopy(mv migration.Moved) (*upstream.Answer, migration.Moved, migration.Event, error) {
	an, mv, ev, err := se.sendResumed(mv)
	if err != nil {
		return nil, mv, ev, err
	}
	ve := se.di.Codec.Verdict(an)
	switch {
	case an.Status == http.StatusOK && ve.Genuine:
		return an, mv, migration.Begun, nil
	case ve.NotRun, ve.Misdirected:
		an.Close()
		return nil, mv, migration.NotBegun, errTurnedAway
	case ve.Genuine:
		an.Close()
		return nil, mv, migration.NotBegun, errNotResumed
	default:
		an.Close()
		return nil, mv, migration.Unanswered, errNotGenuine
	}
}

// sendResumed sends the call that continues the run, once the target takes it, and returns
// the move with the target that it was sent to, and what an error proves. A call that its
// permit did not allow after the wait was not sent: it asks for another permit.
func (se *session) sendResumed(mv migration.Moved) (*upstream.Answer, migration.Moved, migration.Event, error) {
	di := se.di
	until := di.Clock.Now().Add(maxResumeWait)
	var refused error
	for range maxPermitAttempts {
		mv = se.withUsableTarget(mv)
		if err := se.judgeTarget(mv.Target); err != nil {
			return nil, mv, migration.NotBegun, err
		}
		te := di.terms(se.ta, mv.Target, max(until.Sub(di.Clock.Now()), 0))
		te.HasRoom = true
		pe, err := di.awaitPermit(se.ctx, se.ta, mv.Target, te)
		if err != nil {
			return nil, mv, migration.NotBegun, err
		}
		if err := se.ctx.Err(); err != nil {
			pe.Release()
			return nil, mv, migration.NotBegun, err
		}
		if refused = se.judgeTarget(mv.Target); refused != nil {
			pe.Release()
			continue
		}
		if !se.takeRetry() {
			pe.Release()
			return nil, mv, migration.NotBegun, errNoBudget
		}
		ctx, cancel := context.WithCancel(se.ctx)
		se.startStallWatch(mv.Target, cancel)
		se.stall.awaitData()
		di.recordSent(mv.Target)
		an, err := di.Gate.Do(ctx, pe, di.Codec.Call(se.ta.Request, se.resumedAttempt(mv)))
		if err == nil {
			// The context is that of the answer from now on.
			se.stopStallWatch()
		}
		if !backpressure.IsRefused(err) {
			mv.Ticket.OnEnd(pe.Release)
			se.ta.turn = suspicion.Feature{}
			return an, mv, eventOfError(err), err
		}
		se.stopStallWatch()
		cancel()
		pe.Release()
		di.logFailedAttempt(se.ta, mv.Target, outcomeOfPermit(err), err)
		refused = err
	}
	return nil, mv, migration.NotBegun, refused
}

// takeRetry takes a call at a copy from the budget of repeats, once for all its permits. The
// first call after a stream broke off is sent whatever the budget is.
func (se *session) takeRetry() bool {
	switch {
	case se.budgeted:
	case se.failedCalls > 0:
		se.budgeted = se.di.Budget.Take(se.ta.service.Name)
	default:
		se.di.Budget.Force(se.ta.service.Name)
		se.budgeted = true
	}
	return se.budgeted
}

// eventOfError returns what an error of a call at a copy proves.
func eventOfError(err error) migration.Event {
	if upstream.KindOf(err) == upstream.NotSent {
		return migration.NotBegun
	}
	return migration.Unanswered
}

// judgeTarget returns an error if the run must not go on at an engine by what is known now.
func (se *session) judgeTarget(en roster.Endpoint) error {
	switch {
	case se.di.hasRestarted(en):
		return errCopyLost
	case !se.mayGoOnAt(en):
		return errVersionStopped
	case !se.isSafeAt(en):
		return errRunSuspect
	}
	return nil
}

// hasRestarted reports whether another process has the ID of an engine now. It has neither
// the runs nor the copies of the one before.
func (di *Dispatcher) hasRestarted(en roster.Endpoint) bool {
	now, known := di.Roster.View().Get(en.ID)
	return known && now.Started != en.Started
}

// withUsableTarget returns a move by which a run goes on at the engine that it was moved off,
// if its target has restarted meanwhile, or the target's version has been stopped.
func (se *session) withUsableTarget(mv migration.Moved) migration.Moved {
	di := se.di
	if mv.From.ID == mv.Target.ID || se.mayGoOnAt(mv.Target) && !di.hasRestarted(mv.Target) {
		return mv
	}
	source, usable := di.Roster.View().Usable(mv.From.ID)
	if !usable || source.Started != mv.From.Started || len(di.allows([]roster.Endpoint{source})) == 0 {
		return mv
	}
	mv.Ticket.End(placement.Abandoned)
	mv.Target, mv.Ticket = mv.From, di.Tracker.Begin(mv.From, placement.Demand{})
	if se.run != nil {
		se.run.SetEndpoint(mv.From)
	}
	return mv
}

// outcomeOfCall returns the outcome at the target of a run that does not go on there. It
// says nothing of an engine to which nothing was sent.
func (se *session) outcomeOfCall(err error) placement.Outcome {
	var er *upstream.Error
	switch {
	case errors.Is(err, errTurnedAway):
		return placement.Refused
	case errors.Is(err, errNotResumed), errors.Is(err, errNotGenuine):
		return placement.Lost
	case !errors.As(err, &er), er.Kind == upstream.Canceled && se.ctx.Err() != nil:
		return placement.Abandoned
	case er.Kind == upstream.NotSent:
		return placement.Unreachable
	default:
		return placement.Lost
	}
}

// resumedAttempt returns the attempt that continues the run, with another standby copy.
func (se *session) resumedAttempt(mv migration.Moved) Attempt {
	di, ta := se.di, se.ta
	se.standby.release()
	se.standby = di.reserveStandby(ta, mv.Target, se.demand)
	return Attempt{
		Endpoint: mv.Target, Remaining: ta.remaining(di.Clock.Now()), Team: ta.team, PassCredential: ta.passCredential, Standby: se.standby.address(),
		Resume: &Resume{Source: mv.From.Address, Handle: mv.Handle, LastEvent: se.position.lastEvent},
	}
}
