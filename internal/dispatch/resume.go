package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

// maxMoves limits how often one stream is resumed.
const maxMoves = 16

// maxFailedCalls limits how many engines are called in a row, without a stream as an
// answer, to let one run go on.
const maxFailedCalls = 3

// continueStream resumes an interrupted stream where its run was moved to, or
// from its standby copy. If neither is possible, it ends the stream. A call at the copy
// that fails is an interruption like that of a stream: migration.Knowledge tells what may
// follow.
func (se *session) continueStream(cause error) {
	se.answer.Close()
	se.pending = se.pending[:se.completeBytes]
	se.scannedBytes = se.completeBytes
	for failed := 0; failed < maxFailedCalls && se.ctx.Err() == nil && se.moves < maxMoves; failed++ {
		unreachable := se.stall.foundUnreachable()
		se.stopStallWatch()
		mv, found := se.nextTarget(unreachable)
		if !found {
			break
		}
		mv = se.withSourceIfStopped(mv)
		se.moves++
		se.ticket.End(outcomeOfMove(mv))
		err := se.resume(mv)
		if err == nil {
			return
		}
		mv.Ticket.End(placement.Lost)
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
	se.unanswered = nil
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
	for se.run != nil && !se.run.RecordAbsence() {
		if mv, moved := se.run.Await(se.ctx); moved || se.ctx.Err() != nil {
			return mv, moved
		}
	}
	mv, found := se.callAgain(unanswered)
	if !found {
		mv, found = se.takeOver()
	}
	if found && se.run != nil {
		se.run.TakeOver(mv.Target)
	}
	return mv, found
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
// the run if it goes on from its standby copy.
func outcomeOfMove(mv migration.Moved) placement.Outcome {
	if mv.From.ID == mv.Target.ID {
		return placement.Lost
	}
	return placement.Done
}

// maxResumeWait is the longest pause of a stream that waits for the rate limit of
// the engine where it continues. Callers abandon a stream that pauses for longer.
const maxResumeWait = 1800 * time.Millisecond

// resume continues the run on the target of its move or takeover.
func (se *session) resume(mv migration.Moved) error {
	di, kept := se.di, se.standby
	kept.release()
	an, ev, err := se.callCopy(mv)
	if se.run != nil {
		se.run.RecordCall(ev)
	}
	if err != nil {
		di.Log.Info().Str("event", "resume_failed").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).
			Str("target", mv.Target.ID).Bool("unanswered", ev == migration.Unanswered).Err(err).Msg("dispatch: call to resume a stream failed")
		if se.standby != kept {
			se.standby.release()
			se.standby = kept
		}
		if ev == migration.Unanswered {
			// What follows is asked of the engine that was called.
			se.endpoint, se.unanswered = mv.Target, &mv
		}
		return err
	}
	di.Log.Info().Str("event", "resumed").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).
		Str("target", mv.Target.ID).Str("last_event", se.lastEvent).Msg("dispatch: stream resumed")
	di.Meter.countAttempt("resumed")
	se.endpoint, se.answer, se.ticket = mv.Target, an, mv.Ticket
	se.answerFrom = se.events
	se.ticket.Answered()
	se.stopStallWatch()
	se.startStallWatch(mv.Target, an.Abort)
	if se.run != nil {
		se.run.SetStandby(se.standby.id())
	}
	if now, known := di.Roster.View().Get(mv.Target.ID); !known || now.Leaving {
		di.requestMoves(mv.Target)
	}
	return nil
}

// callCopy calls the target of a move or takeover to let the run go on, and returns its
// answer, which is the stream of the run, and what became of the call.
func (se *session) callCopy(mv migration.Moved) (*upstream.Answer, migration.Event, error) {
	di := se.di
	// A run that was stopped at its own engine goes on there whatever its version is.
	if mv.From.ID != mv.Target.ID && len(di.allows([]roster.Endpoint{mv.Target})) == 0 {
		return nil, migration.NotBegun, errVersionStopped
	}
	te := di.terms(se.ta, mv.Target, maxResumeWait)
	te.HasRoom = true
	pe, err := di.Gate.Request(se.ctx, mv.Target, te)
	if err != nil {
		return nil, migration.NotBegun, err
	}
	mv.Ticket.OnEnd(pe.Release)
	pause.For(se.ctx, di.Clock, di.Gate.Wait(pe))
	ctx, cancel := context.WithCancel(se.ctx)
	se.startStallWatch(mv.Target, cancel)
	se.stall.awaitData()
	se.standby = di.reserveStandby(se.ta, mv.Target, se.demand)
	at := Attempt{
		Endpoint: mv.Target, Remaining: se.ta.remaining(di.Clock.Now()), Team: se.ta.team, PassCredential: se.ta.passCredential, Standby: se.standby.address(),
		Resume: &Resume{Source: mv.From.Address, Handle: mv.Handle, LastEvent: se.lastEvent},
	}
	di.Budget.Force(se.ta.service.Name)
	di.recordSent(mv.Target)
	an, err := di.Gate.Do(ctx, pe, di.Codec.Call(se.ta.Request, at))
	if err != nil {
		return nil, eventOfError(err), err
	}
	ve := di.Codec.Verdict(an)
	switch {
	case an.Status == http.StatusOK && ve.Genuine:
		return an, migration.Begun, nil
	case ve.NotRun, ve.Misdirected, ve.Genuine:
		an.Close()
		return nil, migration.NotBegun, errStreamBroken
	default:
		an.Close()
		return nil, migration.Unanswered, errNotGenuine
	}
}

// eventOfError returns what an error of a call at a copy proves.
func eventOfError(err error) migration.Event {
	if backpressure.IsRefused(err) || upstream.KindOf(err) == upstream.NotSent {
		return migration.NotBegun
	}
	return migration.Unanswered
}
