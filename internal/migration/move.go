package migration

import (
	"context"
	"errors"
	"time"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// move is one run on its way.
type move struct {
	run    *Run
	target roster.Endpoint
	ticket *placement.Ticket
	// handle names the copy at the target.
	handle string
}

// moveAll moves runs one after another. It returns whether any was moved.
func (mo *Mover) moveAll(ctx context.Context, ev *evacuation, list []candidate) bool {
	moved := false
	for _, ca := range list {
		mo.awaitTurn(ctx, ev)
		ev.tries[ca.run]++
		if mv := mo.first(ctx, ev, ca); mv != nil {
			moved = true
			mo.last(ctx, ev, mv)
		}
		mo.Turns.Announce(ev.source.ID, ev.untried(list))
	}
	return moved
}

// last makes short copies until the link is quiet, then stops the run.
func (mo *Mover) last(ctx context.Context, ev *evacuation, mv *move) {
	for ctx.Err() == nil {
		if mo.second(ctx, ev, mv) {
			return
		}
	}
	mo.abandon(ev.source, mv)
}

// first chooses a target and makes the long copy, while the run goes on. A
// target without room is left out from then on.
func (mo *Mover) first(ctx context.Context, ev *evacuation, ca candidate) *move {
	wo := placement.Work{Engine: ca.run.Engine, Prompt: ca.tokens, Output: min(ca.run.Output, ca.remaining), Zone: ev.source.Zone}
	for ctx.Err() == nil {
		ch, found := mo.Board.Choose(mo.Roster.View().Ready(ca.run.Service), wo, ev.full)
		target := ch.Endpoint
		if !found {
			mo.Log.Info().Str("event", "move_without_target").Str("request", ca.run.ID).Str("endpoint", ev.source.ID).Int("full", len(ev.full)).Msg("migration: no engine has room")
			return nil
		}
		mv := &move{run: ca.run, target: target, ticket: mo.Board.Begin(target, wo)}
		mv.ticket.Started()
		co, took, err := mo.copy(ctx, ev.source, mv, false)
		if err == nil {
			mv.handle = co.Handle
			return mv
		}
		mv.ticket.End(placement.Done)
		mo.failed("copy_failed", ev.source, mv, took, err)
		if errors.Is(err, ErrNoRun) {
			ev.tries[ca.run] += noRunTries
		}
		if !errors.Is(err, ErrNoRoom) {
			return nil
		}
		ev.full[target.ID] = true
	}
	return nil
}

// second copies what is new and stops the run if the link is quiet. It returns
// whether the move is over.
func (mo *Mover) second(ctx context.Context, ev *evacuation, mv *move) bool {
	en, notice := ev.source, ev.notice
	_, took, err := mo.copy(ctx, en, mv, false)
	if err != nil {
		mo.failed("copy_failed", en, mv, took, err)
		mo.abandon(en, mv)
		return true
	}
	if !stopNow(took, mo.Clock.Since(notice)) {
		return false
	}
	if !mv.run.begin() {
		mo.abandon(en, mv)
		return true
	}
	co, took, err := mo.copy(ctx, en, mv, true)
	if err != nil {
		mo.failed("move_failed", en, mv, took, err)
		mo.fallBack(en, mv, co.Handle)
		return true
	}
	mo.Log.Info().Str("event", "moved").Str("request", mv.run.ID).Str("endpoint", en.ID).Str("target", mv.target.ID).
		Dur("took", took).Dur("since_notice", mo.Clock.Since(notice)).Msg("migration: run stopped for its target")
	moved := Moved{From: en, Handle: co.Handle, Target: mv.target, Ticket: mv.ticket}
	if !mv.run.finish(&moved) {
		mv.handle = co.Handle
		mo.abandon(en, mv)
	}
	return true
}

// failed logs a copy that was not made: move_failed is the event of a last one.
func (mo *Mover) failed(event string, en roster.Endpoint, mv *move, took time.Duration, err error) {
	mo.Log.Info().Str("event", event).Str("request", mv.run.ID).Str("endpoint", en.ID).Str("target", mv.target.ID).
		Dur("took", took).Err(err).Msg("migration: copy failed")
}

// fallBack goes on with a run at its own engine after a last copy failed. Kept
// names what the engine holds of a run that it stopped; it is empty if the run
// goes on by itself, and then only the copy at the target is let go.
func (mo *Mover) fallBack(en roster.Endpoint, mv *move, kept string) {
	if kept == "" {
		mv.run.finish(nil)
		mo.abandon(en, mv)
		return
	}
	mv.ticket.End(placement.Done)
	ti := mo.Board.Begin(en, placement.Work{})
	if !mv.run.finish(&Moved{From: en, Handle: kept, Target: en, Ticket: ti}) {
		ti.End(placement.Done)
	}
}

// copy copies what is new of a run, and returns how long that took.
func (mo *Mover) copy(ctx context.Context, en roster.Endpoint, mv *move, final bool) (Copied, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	begun := mo.Clock.Now()
	co, err := mo.Engines.Copy(ctx, en, mv.run.ID, mv.target.Address, final)
	return co, mo.Clock.Since(begun), err
}

// abandon lets go of a copy.
func (mo *Mover) abandon(en roster.Endpoint, mv *move) {
	mv.ticket.End(placement.Done)
	go mo.free(mv.run, en, mv.handle)
}
