package dispatch

import (
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

// maxMoves limits how often one stream is resumed.
const maxMoves = 16

// continueStream resumes an interrupted stream where its run was moved to, or
// from its standby copy. If neither is possible, it ends the stream.
func (se *session) continueStream(cause error) {
	unreachable := se.stall.foundUnreachable()
	se.stopStallWatch()
	se.answer.Close()
	se.pending = se.pending[:se.completeBytes]
	se.scannedBytes = se.completeBytes
	if se.ctx.Err() != nil || se.moves >= maxMoves {
		se.fail(cause)
		return
	}
	mv, found := se.nextTarget(unreachable)
	if !found {
		se.fail(cause)
		return
	}
	se.moves++
	se.ticket.End(se.outcomeOfMove(mv))
	if err := se.resume(mv); err != nil {
		se.fail(errors.Join(err, cause))
	}
}

// nextTarget returns where an interrupted run continues. unreachable is set if its engine
// was found to be.
func (se *session) nextTarget(unreachable bool) (migration.Moved, bool) {
	if se.run != nil {
		if mv, moved := se.run.Await(se.ctx); moved {
			return mv, true
		}
	}
	if !se.mayTakeOver() {
		return migration.Moved{}, false
	}
	if !unreachable {
		switch se.settle() {
		case migration.Continues:
			return se.run.Await(se.ctx)
		case migration.Unknown:
			return migration.Moved{}, false
		case migration.Gone:
		}
	}
	mv, found := se.takeOver()
	if found && se.run != nil {
		se.run.SetEndpoint(mv.Target)
	}
	return mv, found
}

// outcomeOfMove returns the outcome of the attempt that a run leaves: its engine has lost
// the run if it goes on from its standby copy. A run that was stopped may also go on where
// it was.
func (se *session) outcomeOfMove(mv migration.Moved) placement.Outcome {
	if mv.From.ID == mv.Target.ID && mv.Target.ID != se.endpoint.ID {
		return placement.Lost
	}
	return placement.Done
}

// maxResumeWait is the longest time for which a stream waits, in all, until the engine where
// it continues takes it. Callers abandon a stream that pauses for longer.
const maxResumeWait = 1800 * time.Millisecond

// resume continues the run on the target of its move or takeover. If it returns an error,
// the ticket of the target is ended.
func (se *session) resume(mv migration.Moved) error {
	di := se.di
	an, mv, err := se.sendResumed(mv)
	if err != nil {
		mv.Ticket.End(outcomeOfResume(err))
		return err
	}
	ve := di.Codec.Verdict(an)
	if an.Status != http.StatusOK || !ve.Genuine {
		an.Close()
		mv.Ticket.End(placement.Lost)
		return errStreamBroken
	}
	di.Log.Info().Str("event", "resumed").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).
		Str("target", mv.Target.ID).Str("last_event", se.lastEvent).Msg("dispatch: stream resumed")
	di.Meter.countAttempt("resumed")
	se.endpoint, se.answer, se.ticket = mv.Target, an, mv.Ticket
	se.ticket.Answered()
	se.startStallWatch()
	if now, known := di.Roster.View().Get(mv.Target.ID); !known || now.Leaving {
		di.requestMoves(mv.Target)
	}
	return nil
}

// sendResumed sends the call that continues the run, once the target takes it, and returns
// the move with the target that it was sent to. A call that its permit did not allow after
// the wait was not sent: it asks for another permit.
func (se *session) sendResumed(mv migration.Moved) (*upstream.Answer, migration.Moved, error) {
	di := se.di
	until := di.Clock.Now().Add(maxResumeWait)
	var refused error
	for range maxPermitAttempts {
		mv = se.withUsableTarget(mv)
		if err := se.judgeTarget(mv.Target); err != nil {
			return nil, mv, err
		}
		te := di.terms(se.ta, mv.Target, max(until.Sub(di.Clock.Now()), 0))
		te.HasRoom = true
		pe, err := di.awaitPermit(se.ctx, se.ta, mv.Target, te)
		if err != nil {
			return nil, mv, err
		}
		if err := se.ctx.Err(); err != nil {
			pe.Release()
			return nil, mv, err
		}
		if refused = se.judgeTarget(mv.Target); refused != nil {
			pe.Release()
			continue
		}
		di.Budget.Force(se.ta.service.Name)
		di.recordSent(mv.Target)
		an, err := di.Gate.Do(se.ctx, pe, di.Codec.Call(se.ta.Request, se.resumedAttempt(mv)))
		if !backpressure.IsRefused(err) {
			mv.Ticket.OnEnd(pe.Release)
			se.ta.turn = suspicion.Feature{}
			return an, mv, err
		}
		pe.Release()
		di.logFailedAttempt(se.ta, mv.Target, outcomeOfPermit(err), err)
		refused = err
	}
	return nil, mv, refused
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

// outcomeOfResume returns the outcome at the target of a run that does not go on there. It
// says nothing of an engine to which nothing was sent.
func outcomeOfResume(err error) placement.Outcome {
	var er *upstream.Error
	switch {
	case !errors.As(err, &er), er.Kind == upstream.Canceled:
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
	if se.run != nil {
		se.run.SetStandby(se.standby.id())
	}
	return Attempt{
		Endpoint: mv.Target, Remaining: ta.remaining(di.Clock.Now()), Team: ta.team, PassCredential: ta.passCredential, Standby: se.standby.address(),
		Resume: &Resume{Source: mv.From.Address, Handle: mv.Handle, LastEvent: se.lastEvent},
	}
}
