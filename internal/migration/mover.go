package migration

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// Copied is what an engine says of a copy that is complete.
type Copied struct {
	Handle string
	// Events is how many events the run had made.
	Events int
}

// Engines gives orders to engines.
type Engines interface {
	// Copy copies the memory of a run to the engine at address target. A final
	// copy stops the run first. An error with a handle means that the run was
	// stopped and that its engine still holds the memory. The error is
	// ErrNoRoom if the target can't take the copy, and ErrNoRun if the run is
	// over or has not begun.
	Copy(ctx context.Context, source roster.Endpoint, run, target string, final bool) (Copied, error)
	// Free drops a copy that nobody will use.
	Free(ctx context.Context, source roster.Endpoint, handle string) error
}

// Turns orders the moves of several instances off one engine.
type Turns interface {
	// Announce tells the others how many runs of this instance are to be moved
	// off an engine.
	Announce(endpoint string, runs int)
	// Ahead returns how many runs of instances that come first are.
	Ahead(endpoint string) int
}

// The errors of Engines that a plan answers.
var (
	ErrNoRoom = errors.New("migration: the target can't take the copy")
	ErrNoRun  = errors.New("migration: the engine has no such run")
)

const (
	// leaveTime is how long an engine that leaves is looked after.
	leaveTime = 4 * time.Second
	// lookInterval is the pause between two looks for runs that started since.
	lookInterval = 40 * time.Millisecond
	copyTimeout  = 2 * time.Second
	// announceTime is how long the word of moves is under way to others.
	announceTime = 15 * time.Millisecond
	turnInterval = 10 * time.Millisecond
)

// Mover moves runs. Set the exported fields before use. It is safe for
// concurrent use.
type Mover struct {
	Engines Engines
	Roster  *roster.Roster
	Board   *placement.Board
	Clock   clockwork.Clock
	Log     zerolog.Logger
	// Turns orders the moves of several instances off one engine.
	Turns Turns

	mu   sync.Mutex
	runs map[*Run]struct{}
	busy map[string]bool
}

// Add takes in a run.
func (mo *Mover) Add(ru *Run) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if mo.runs == nil {
		mo.runs = make(map[*Run]struct{})
	}
	mo.runs[ru] = struct{}{}
}

// Remove lets go of a run that is over.
func (mo *Mover) Remove(ru *Run) {
	mo.mu.Lock()
	delete(mo.runs, ru)
	mo.mu.Unlock()
	if mv := ru.end(); mv != nil {
		mo.release(ru, *mv)
	}
}

// release frees a copy that nobody will use.
func (mo *Mover) release(ru *Run, mv Moved) {
	if mv.Ticket != nil {
		mv.Ticket.End(placement.Done)
	}
	go mo.free(ru, mv.From, mv.Handle)
}

func (mo *Mover) free(ru *Run, source roster.Endpoint, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if err := mo.Engines.Free(ctx, source, handle); err != nil {
		mo.Log.Info().Str("event", "copy_not_freed").Str("request", ru.ID).Str("endpoint", source.ID).Err(err).Msg("migration: copy not freed")
	}
}

// Leaving moves the runs of an engine that leaves. It returns at once.
func (mo *Mover) Leaving(en roster.Endpoint) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if mo.busy[en.ID] {
		return
	}
	if mo.busy == nil {
		mo.busy = make(map[string]bool)
	}
	mo.busy[en.ID] = true
	go mo.empty(en)
}

// empty moves the runs of one engine until none is left or its time is over.
func (mo *Mover) empty(en roster.Endpoint) {
	defer func() {
		mo.mu.Lock()
		delete(mo.busy, en.ID)
		mo.mu.Unlock()
	}()
	notice := mo.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	ev := &evacuation{source: en, notice: notice, tries: make(map[*Run]int), full: map[string]bool{en.ID: true}}
	defer mo.Turns.Announce(en.ID, 0)
	for ctx.Err() == nil {
		list := movable(mo.at(ev), mo.Clock.Since(notice))
		mo.Turns.Announce(en.ID, ev.untried(list))
		if len(list) > 0 && mo.moveAll(ctx, ev, list) {
			continue
		}
		if mo.count(en) == 0 {
			return
		}
		mo.sleep(ctx, lookInterval)
	}
}

// untried returns how many runs of a list were not tried yet. Others are not
// announced: a run that can't be moved must not hold up those that can.
func (ev *evacuation) untried(list []candidate) int {
	count := 0
	for _, ca := range list {
		if ev.tries[ca.run] == 0 {
			count++
		}
	}
	return count
}

// awaitTurn waits until instances that come first have moved their runs, or
// have had the time for it: copies of one engine queue on its link, and a run
// that is stopped behind the copies of others pauses for as long as they take.
func (mo *Mover) awaitTurn(ctx context.Context, ev *evacuation) {
	if !ev.announced {
		ev.announced = true
		mo.sleep(ctx, announceTime)
	}
	begun := mo.Clock.Now()
	for ctx.Err() == nil {
		ahead := mo.Turns.Ahead(ev.source.ID)
		if ahead == 0 || mo.Clock.Since(begun) >= turnBound(ahead) || mo.Clock.Since(ev.notice) >= lastTurn {
			return
		}
		mo.sleep(ctx, turnInterval)
	}
}

// maxTries bounds the moves of one run off one engine.
const maxTries = 24

// noRunTries is what it counts when the engine does not know a run: it is over,
// or its first token is still to come.
const noRunTries = 6

// evacuation is the state of the moves off one engine.
type evacuation struct {
	source roster.Endpoint
	notice time.Time
	tries  map[*Run]int
	// full are the engines that could not take a copy.
	full map[string]bool
	// announced tells that other instances had the time to hear of the moves.
	announced bool
}

// at returns the runs at an engine that were not tried too often.
func (mo *Mover) at(ev *evacuation) []candidate {
	now := mo.Clock.Now()
	mo.mu.Lock()
	defer mo.mu.Unlock()
	var list []candidate
	for ru := range mo.runs {
		if ru.Endpoint().ID == ev.source.ID && ev.tries[ru] < maxTries {
			list = append(list, ru.state(now))
		}
	}
	return list
}

func (mo *Mover) count(en roster.Endpoint) int {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	count := 0
	for ru := range mo.runs {
		if ru.Endpoint().ID == en.ID {
			count++
		}
	}
	return count
}

// move is one run on its way.
type move struct {
	run    *Run
	target roster.Endpoint
	ticket *placement.Ticket
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
	wo := placement.Work{Engine: ca.run.Engine, Prompt: ca.tokens, Output: ca.remaining, Zone: ev.source.Zone}
	for ctx.Err() == nil {
		ch, found := mo.Board.Choose(mo.Roster.View().Ready(ca.run.Service), wo, ev.full)
		target := ch.Endpoint
		if !found {
			mo.Log.Info().Str("event", "move_without_target").Str("request", ca.run.ID).Str("endpoint", ev.source.ID).Int("full", len(ev.full)).Msg("migration: no engine has room")
			return nil
		}
		mv := &move{run: ca.run, target: target, ticket: mo.Board.Begin(target, wo)}
		mv.ticket.Started()
		took, err := mo.copy(ctx, ev.source, mv, false)
		if err == nil {
			return mv
		}
		mv.ticket.End(placement.Done)
		mo.Log.Info().Str("event", "copy_failed").Str("request", ca.run.ID).Str("endpoint", ev.source.ID).Str("target", target.ID).Dur("took", took).Err(err).Msg("migration: first copy failed")
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
	took, err := mo.copy(ctx, en, mv, false)
	if err != nil {
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
	mv.handle = ""
	took, err = mo.copy(ctx, en, mv, true)
	stopped := mv.handle != ""
	if err != nil {
		mo.Log.Info().Str("event", "move_failed").Str("request", mv.run.ID).Str("endpoint", en.ID).Str("target", mv.target.ID).Dur("took", took).Err(err).Msg("migration: last copy failed")
		mo.fallBack(en, mv, stopped)
		return true
	}
	mo.Log.Info().Str("event", "moved").Str("request", mv.run.ID).Str("endpoint", en.ID).Str("target", mv.target.ID).
		Dur("took", took).Dur("since_notice", mo.Clock.Since(notice)).Msg("migration: run stopped for its target")
	moved := Moved{From: en, Handle: mv.handle, Target: mv.target, Ticket: mv.ticket}
	if !mv.run.finish(&moved) {
		mo.abandon(en, mv)
	}
	return true
}

// fallBack goes on with a run at its own engine after a last copy failed. If
// the engine did not stop it, there is nothing to do.
func (mo *Mover) fallBack(en roster.Endpoint, mv *move, stopped bool) {
	mv.ticket.End(placement.Done)
	if !stopped {
		mv.run.finish(nil)
		return
	}
	ti := mo.Board.Begin(en, placement.Work{})
	if !mv.run.finish(&Moved{From: en, Handle: mv.handle, Target: en, Ticket: ti}) {
		ti.End(placement.Done)
	}
}

func (mo *Mover) copy(ctx context.Context, en roster.Endpoint, mv *move, final bool) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	begun := mo.Clock.Now()
	co, err := mo.Engines.Copy(ctx, en, mv.run.ID, mv.target.Address, final)
	if co.Handle != "" {
		mv.handle = co.Handle
	}
	return mo.Clock.Since(begun), err
}

// abandon lets go of a copy.
func (mo *Mover) abandon(en roster.Endpoint, mv *move) {
	mv.ticket.End(placement.Done)
	go mo.free(mv.run, en, mv.handle)
}

func (mo *Mover) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-mo.Clock.After(pause):
	}
}
