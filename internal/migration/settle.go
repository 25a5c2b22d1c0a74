package migration

import (
	"context"
	"errors"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// settleTimeout limits the time in which the engine of a broken stream is asked to
	// stop its run. Callers abandon a stream that pauses for 2 s.
	settleTimeout = 1500 * time.Millisecond
	// maxUnanswered is how often the engine is asked without an answer.
	maxUnanswered = 2
	// busyInterval is the pause before an engine that is copying the run is asked again.
	busyInterval = 50 * time.Millisecond
)

// resultOf returns what an error of Engines.Copy proves of a final copy.
func resultOf(err error) Event {
	for _, proof := range []error{ErrNoRun, ErrBusy, ErrNotSent, ErrRefused} {
		if errors.Is(err, proof) {
			return NotCarriedOut
		}
	}
	return Unanswered
}

// Settle finds out what became of a run whose stream broke off, and stops it if its engine
// still works on it: the connection tells nothing of that, as an engine may go on with a
// run that has no connection. The run is copied to the engine with the ID standby, if that
// is usable, or to any other.
func (mo *Mover) Settle(ctx context.Context, ru *Run, standby string) Fate {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for unanswered := 0; unanswered < maxUnanswered && ctx.Err() == nil; {
		target, dm, found := mo.settleTarget(ru, standby)
		if !found {
			return Unknown
		}
		if !ru.beginFinalCopy() {
			if ru.awaitAnswer(ctx) {
				return Continues
			}
			continue
		}
		en := ru.Endpoint()
		mv := &move{run: ru, target: target, ticket: mo.Tracker.Begin(target, dm)}
		mv.ticket.Started()
		co, took, err := mo.copyRun(ctx, en, mv, true)
		switch {
		case err == nil:
			mo.Log.Info().Str("event", "settled").Str("request", ru.ID).Str("endpoint", en.ID).Str("target", target.ID).Dur("took", took).
				Msg("migration: engine still worked on the run of a broken stream; run stopped and copied")
			ru.finishFinalCopy(CarriedOut, &Moved{From: en, Handle: co.Handle, Target: target, Ticket: mv.ticket})
			return Continues
		case co.Handle != "":
			mo.resumeAtSource(en, mv, co.Handle, CarriedOut)
			return Continues
		}
		mv.ticket.End(placement.Done)
		ru.finishFinalCopy(resultOf(err), nil)
		switch {
		case errors.Is(err, ErrNoRun), errors.Is(err, ErrNotSent):
			return Gone
		case errors.Is(err, ErrBusy), errors.Is(err, ErrRefused):
			pause.For(ctx, mo.Clock, busyInterval)
		default:
			mo.logCopyFailure("settle_failed", en, mv, took, err)
			unanswered++
		}
	}
	return Unknown
}

// settleTarget returns the engine to which a run is copied that is stopped because its
// stream broke off.
func (mo *Mover) settleTarget(ru *Run, standby string) (roster.Endpoint, placement.Demand, bool) {
	ca := ru.snapshot()
	source := ru.Endpoint()
	dm := placement.Demand{Engine: ru.Engine, Prompt: ca.tokens, Output: min(ru.Output, ca.remaining), Zone: source.Zone}
	targets := slices.DeleteFunc(slices.Clone(mo.targets(newEvacuation(source, mo.Clock.Now(), false), ru.Service)), func(en roster.Endpoint) bool { return en.ID == source.ID })
	for _, en := range targets {
		if en.ID == standby {
			return en, dm, true
		}
	}
	ch, found := mo.Tracker.Choose(targets, dm, nil)
	return ch.Endpoint, dm, found
}
