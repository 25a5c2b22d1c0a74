package dispatch

import (
	"errors"
	"net/http"
	"time"

	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
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
	mv = se.withSourceIfStopped(mv)
	se.moves++
	se.ticket.End(outcomeOfMove(mv))
	if err := se.resume(mv); err != nil {
		mv.Ticket.End(placement.Lost)
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
	di := se.di
	// A run that was stopped at its own engine goes on there whatever its version is.
	if mv.From.ID != mv.Target.ID && len(di.allows([]roster.Endpoint{mv.Target})) == 0 {
		return errVersionStopped
	}
	te := di.terms(se.ta, mv.Target, maxResumeWait)
	te.HasRoom = true
	pe, err := di.Gate.Request(se.ctx, mv.Target, te)
	if err != nil {
		return err
	}
	mv.Ticket.OnEnd(pe.Release)
	pause.For(se.ctx, di.Clock, di.Gate.Wait(pe))
	se.standby.release()
	se.standby = di.reserveStandby(se.ta, mv.Target, se.demand)
	if se.run != nil {
		se.run.SetStandby(se.standby.id())
	}
	at := Attempt{
		Endpoint: mv.Target, Remaining: se.ta.remaining(di.Clock.Now()), Team: se.ta.team, PassCredential: se.ta.passCredential, Standby: se.standby.address(),
		Resume: &Resume{Source: mv.From.Address, Handle: mv.Handle, LastEvent: se.lastEvent},
	}
	di.Budget.Force(se.ta.service.Name)
	di.recordSent(mv.Target)
	an, err := di.Gate.Do(se.ctx, pe, di.Codec.Call(se.ta.Request, at))
	if err != nil {
		return err
	}
	ve := di.Codec.Verdict(an)
	if an.Status != http.StatusOK || !ve.Genuine {
		an.Close()
		return errStreamBroken
	}
	di.Log.Info().Str("event", "resumed").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).
		Str("target", mv.Target.ID).Str("last_event", se.lastEvent).Msg("dispatch: stream resumed")
	di.Meter.countAttempt("resumed")
	se.endpoint, se.answer, se.ticket = mv.Target, an, mv.Ticket
	se.answerFrom = se.events
	se.ticket.Answered()
	se.startStallWatch()
	if now, known := di.Roster.View().Get(mv.Target.ID); !known || now.Leaving {
		di.requestMoves(mv.Target)
	}
	return nil
}
