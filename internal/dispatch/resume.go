package dispatch

import (
	"errors"

	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/placement"
)

// maxMoves limits how often one stream is resumed.
const maxMoves = 16

// maxFailedCalls limits how many engines are called in a row, without a stream as an
// answer, to let one run go on.
const maxFailedCalls = 3

// continueStream resumes an interrupted stream where its run was moved to, or
// from its standby copy. If neither is possible, it ends the stream. A call at the copy
// that fails is an interruption like that of a stream: migration.Knowledge has what may
// follow.
func (se *session) continueStream(cause error) {
	se.answer.Close()
	se.pending = se.pending[:se.completeBytes]
	se.scannedBytes = se.completeBytes
	se.scanErr = nil
	if errors.Is(cause, errDiverged) {
		se.fail(cause)
		return
	}
	if se.position.lost {
		se.fail(errors.Join(errNoPosition, cause))
		return
	}
	for se.failedCalls = 0; se.failedCalls < maxFailedCalls && se.ctx.Err() == nil && se.moves < maxMoves; se.failedCalls++ {
		unreachable := se.stall.foundUnreachable()
		se.stopStallWatch()
		mv, found := se.nextTarget(unreachable)
		if !found {
			break
		}
		se.moves++
		se.ticket.End(se.outcomeOfMove(mv))
		err := se.resume(mv)
		if err == nil {
			return
		}
		cause = errors.Join(err, cause)
		if se.run == nil {
			break
		}
	}
	se.fail(cause)
}

// nextTarget returns where an interrupted run continues. unreachable is set if its engine
// was found to be.
func (se *session) nextTarget(unreachable bool) (migration.Moved, bool) {
	unanswered := se.unanswered
	se.unanswered, se.calledAgain = nil, false
	if se.run != nil {
		if mv, moved := se.run.Await(se.ctx); moved {
			se.accounted = true
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
	for se.run != nil && !se.run.RecordAbsence() {
		if mv, moved := se.run.Await(se.ctx); moved || se.ctx.Err() != nil {
			return mv, moved
		}
	}
	if unreachable {
		unanswered = nil
	}
	mv, found := se.chooseCopy(unanswered)
	if found && se.run != nil {
		se.run.TakeOver(mv.Target)
	}
	return mv, found
}

// chooseCopy returns the move by which an interrupted run goes on whose engine does not work
// on it.
func (se *session) chooseCopy(unanswered *migration.Moved) (migration.Moved, bool) {
	if mv, found := se.callAgain(unanswered); found {
		se.calledAgain = true
		return mv, true
	}
	return se.takeOver()
}

// callAgain returns the move of a call without an answer, if the engine of its copy may
// still have the copy: the engine does not work on the run, so it may never have got the call.
func (se *session) callAgain(mv *migration.Moved) (migration.Moved, bool) {
	if mv == nil {
		return migration.Moved{}, false
	}
	again := *mv
	en, usable := se.usableCopy(again.Target)
	if !usable {
		return migration.Moved{}, false
	}
	again.Target, again.Ticket = en, se.di.Tracker.Begin(en, se.demand)
	again.Ticket.Started()
	return again, true
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

// resume continues the run on the target of its move or takeover. If it returns an error,
// the ticket of the target is ended.
func (se *session) resume(mv migration.Moved) error {
	di, kept := se.di, se.standby
	kept.release()
	se.budgeted = false
	an, mv, ev, err := se.callCopy(mv)
	used := se.calledAgain && errors.Is(err, errNotResumed)
	if used {
		// A copy is used once: the call before may have begun the run since.
		ev = migration.Unanswered
	}
	if se.run != nil {
		se.run.RecordCall(ev)
	}
	if err != nil {
		mv.Ticket.End(se.outcomeOfCall(err))
		di.Log.Info().Str("event", "resume_failed").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).
			Str("target", mv.Target.ID).Bool("unanswered", ev == migration.Unanswered).Err(err).Msg("dispatch: call to resume a stream failed")
		if se.standby != kept {
			se.standby.release()
			se.standby = kept
		}
		if ev == migration.Unanswered {
			// What follows is asked of the engine that was called.
			se.endpoint, se.accounted = mv.Target, used
			if !se.calledAgain {
				se.unanswered = &mv
			}
		}
		return err
	}
	di.Log.Info().Str("event", "resumed").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).
		Str("target", mv.Target.ID).Str("last_event", se.position.lastEvent).Int("unnamed", len(se.position.unnamed)).Msg("dispatch: stream resumed")
	di.Meter.countAttempt("resumed")
	se.endpoint, se.answer, se.ticket = mv.Target, an, mv.Ticket
	se.answerFrom, se.accounted, se.beganAt = se.events, false, di.Clock.Now()
	se.position.beginAnswer()
	se.ticket.Answered()
	se.startStallWatch(mv.Target, an.Abort)
	if se.run != nil {
		se.run.SetStandby(se.standby.id())
	}
	if now, known := di.Roster.View().Get(mv.Target.ID); !known || now.Leaving {
		di.requestMoves(mv.Target)
	}
	return nil
}
