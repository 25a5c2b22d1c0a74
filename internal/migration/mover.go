package migration

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/pause"
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
		pause.For(ctx, mo.Clock, lookInterval)
	}
}

// at returns the runs at an engine that were not tried too often.
func (mo *Mover) at(ev *evacuation) []candidate {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	var list []candidate
	for ru := range mo.runs {
		if ru.Endpoint().ID == ev.source.ID && ev.tries[ru] < maxTries {
			ca := ru.state()
			_, ca.safe = mo.Roster.View().Usable(ca.standby)
			list = append(list, ca)
		}
	}
	return list
}

// Endpoints returns the engines at which runs are, as the roster knows them.
func (mo *Mover) Endpoints() []roster.Endpoint {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	seen := make(map[string]bool)
	var list []roster.Endpoint
	vi := mo.Roster.View()
	for ru := range mo.runs {
		en, known := vi.Get(ru.Endpoint().ID)
		if known && !seen[en.ID] {
			seen[en.ID] = true
			list = append(list, en)
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
