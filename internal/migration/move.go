package migration

import (
	"context"
	"errors"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// move is the migration of one run to a target.
type move struct {
	run    *Run
	target roster.Endpoint
	ticket *placement.Ticket
	// handle is the ID of the copy at the target.
	handle string
}

// moveAll moves runs one after another. It reports whether the first copy of
// any run succeeded.
func (mo *Mover) moveAll(ctx context.Context, ev *evacuation, list []candidate) bool {
	moved := false
	for _, ca := range list {
		mo.awaitTurn(ctx, ev)
		ev.attempts[ca.run]++
		if mv := mo.startMove(ctx, ev, ca); mv != nil {
			moved = true
			mo.completeMove(ctx, ev, mv)
		}
		mo.MoveOrder.Announce(ev.source.ID, ev.untried(list))
	}
	return moved
}

// completeMove repeats short copies until the link is idle or little time
// remains, and then stops the run. If ctx ends first, it abandons the move.
func (mo *Mover) completeMove(ctx context.Context, ev *evacuation, mv *move) {
	for ctx.Err() == nil {
		if mo.tryFinalCopy(ctx, ev, mv) {
			return
		}
	}
	mo.abandon(ev.source, mv)
}

// startMove chooses a target and makes the first copy, which is long, while the
// run continues. It returns nil if the run cannot be moved now. A target
// without room is excluded from the rest of the evacuation.
func (mo *Mover) startMove(ctx context.Context, ev *evacuation, ca candidate) *move {
	dm := placement.Demand{Engine: ca.run.Engine, Prompt: ca.tokens, Output: min(ca.run.Output, ca.remaining), Zone: ev.source.Zone}
	for ctx.Err() == nil {
		ch, found := mo.Tracker.Choose(mo.targets(ev, ca.run.Service), dm, ev.full)
		target := ch.Endpoint
		if !found {
			mo.Log.Info().Str("event", "move_without_target").Str("request", ca.run.ID).Str("endpoint", ev.source.ID).Int("full", len(ev.full)).Msg("migration: no target engine available; run not moved")
			return nil
		}
		mv := &move{run: ca.run, target: target, ticket: mo.Tracker.Begin(target, dm)}
		mv.ticket.Started()
		co, took, err := mo.copyRun(ctx, ev.source, mv, false)
		if err == nil {
			mv.handle = co.Handle
			return mv
		}
		mv.ticket.End(placement.Done)
		mo.logCopyFailure("copy_failed", ev.source, mv, took, err)
		if errors.Is(err, ErrNoRun) {
			ev.attempts[ca.run] += noRunAttempts
		}
		if !errors.Is(err, ErrNoRoom) {
			return nil
		}
		ev.full[target.ID] = true
	}
	return nil
}

// targets returns the engines to which runs may be moved. A planned move waits until
// an engine is no longer cold: a cold one may not take the run after it was stopped.
func (mo *Mover) targets(ev *evacuation, service string) []roster.Endpoint {
	ready := mo.Roster.View().Ready(service)
	planned := ev.planned()
	if mo.Allows == nil && !planned {
		return ready
	}
	now := mo.Clock.Now()
	return slices.DeleteFunc(slices.Clone(ready), func(en roster.Endpoint) bool {
		return mo.Allows != nil && !mo.Allows(en) || planned && now.Before(en.ColdUntil)
	})
}

// tryFinalCopy copies what has been added since the last copy. If the link
// turns out to be idle or little time remains, it makes the final copy. It
// reports whether the move has ended, successfully or not.
func (mo *Mover) tryFinalCopy(ctx context.Context, ev *evacuation, mv *move) bool {
	en := ev.source
	_, took, err := mo.copyRun(ctx, en, mv, false)
	if err != nil {
		mo.logCopyFailure("copy_failed", en, mv, took, err)
		mo.abandon(en, mv)
		return true
	}
	if !shouldStop(took, ev.sinceNotice(mo.Clock.Now())) {
		return false
	}
	mo.finalCopy(ctx, ev, mv)
	return true
}

// finalCopy stops a run, copies the rest of it and reports whether the run
// continues at the target. Otherwise the move is abandoned.
func (mo *Mover) finalCopy(ctx context.Context, ev *evacuation, mv *move) bool {
	en := ev.source
	if !mv.run.beginFinalCopy() {
		mo.abandon(en, mv)
		return false
	}
	co, took, err := mo.copyRun(ctx, en, mv, true)
	if err != nil {
		mo.logCopyFailure("move_failed", en, mv, took, err)
		mo.resumeAtSource(en, mv, co.Handle, resultOf(err))
		return co.Handle != ""
	}
	mo.Log.Info().Str("event", "moved").Str("request", mv.run.ID).Str("endpoint", en.ID).Str("target", mv.target.ID).
		Dur("took", took).Dur("since_notice", mo.Clock.Since(ev.notice)).Msg("migration: run stopped and copied to its target")
	moved := Moved{From: en, Handle: co.Handle, Target: mv.target, Ticket: mv.ticket}
	if !mv.run.finishFinalCopy(CarriedOut, &moved) {
		mv.handle = co.Handle
		mo.abandon(en, mv)
		return false
	}
	return true
}

// MoveOne moves one run off its engine, which stays, because its stream is broken
// while the engine goes on with the run. It reports whether the run was stopped
// there, so that Run.Await returns where it continues.
func (mo *Mover) MoveOne(ctx context.Context, ru *Run) bool {
	en := ru.Endpoint()
	ev := newEvacuation(en, mo.Clock.Now(), false)
	mv := mo.startMove(ctx, ev, ru.snapshot())
	return mv != nil && mo.finalCopy(ctx, ev, mv)
}

// logCopyFailure logs a failed copy. The event is move_failed for a final copy
// and copy_failed for any other.
func (mo *Mover) logCopyFailure(event string, en roster.Endpoint, mv *move, took time.Duration, err error) {
	mo.Log.Info().Str("event", event).Str("request", mv.run.ID).Str("endpoint", en.ID).Str("target", mv.target.ID).
		Dur("took", took).Err(err).Msg("migration: copy failed")
}

// resumeAtSource keeps a run at its own engine after a final copy failed. If
// the run was stopped, kept is the handle of its memory, which the engine still
// holds. If kept is empty, only the copy at the target is freed.
func (mo *Mover) resumeAtSource(en roster.Endpoint, mv *move, kept string, ev Event) {
	if kept == "" {
		mv.run.finishFinalCopy(ev, nil)
		mo.abandon(en, mv)
		return
	}
	mv.ticket.End(placement.Done)
	ti := mo.Tracker.Begin(en, placement.Demand{})
	if !mv.run.finishFinalCopy(CarriedOut, &Moved{From: en, Handle: kept, Target: en, Ticket: ti}) {
		ti.End(placement.Done)
	}
}

// copyRun copies what has been added to a run since the last copy. It returns
// how long the copy took.
func (mo *Mover) copyRun(ctx context.Context, en roster.Endpoint, mv *move, final bool) (Copied, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	begun := mo.Clock.Now()
	co, err := mo.Engines.Copy(ctx, en, mv.run.ID, mv.target.Address, final)
	return co, mo.Clock.Since(begun), err
}

// abandon ends an unsuccessful move and frees the copy at the target.
func (mo *Mover) abandon(en roster.Endpoint, mv *move) {
	mv.ticket.End(placement.Done)
	go mo.freeCopy(mv.run, en, mv.handle)
}
