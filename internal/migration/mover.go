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

// Copied describes a completed copy of a run.
type Copied struct {
	Handle string
	// Events is the number of events that the run had produced.
	Events int
}

// Engines sends commands to engines. A platform implements it.
type Engines interface {
	// Copy copies the KV cache of a run to the engine at address target. A
	// final copy stops the run first. An error together with a handle means
	// that the run was stopped and that its engine still holds the memory. The
	// error is ErrNoRoom if the target cannot take the copy, ErrNoRun if
	// the run has ended or has not started, ErrBusy if it is being copied, ErrNotSent
	// if the engine cannot be reached, and ErrRefused if the command was not carried out
	// for another reason. After any other error it may have been.
	Copy(ctx context.Context, source roster.Endpoint, run, target string, final bool) (Copied, error)
	// Free asks source, the engine that made the copy, to drop a copy that will
	// not be used.
	Free(ctx context.Context, source roster.Endpoint, handle string) error
}

// MoveOrder coordinates the instances that move runs off the same engine, so
// that they take turns. loadshare.MoveOrder implements it.
type MoveOrder interface {
	// Announce tells other instances how many runs of this instance are still
	// to be moved off an engine.
	Announce(endpoint string, runs int)
	// Ahead returns the number of runs still to be moved off an engine by
	// instances that come before this one.
	Ahead(endpoint string) int
}

// Errors of Engines.Copy that the Mover handles.
var (
	ErrNoRoom = errors.New("migration: the target cannot take the copy")
	ErrNoRun  = errors.New("migration: the engine has no such run")
	// ErrBusy means that another copy of the run is being made.
	ErrBusy    = errors.New("migration: the run is being copied")
	ErrNotSent = errors.New("migration: the engine cannot be reached")
	ErrRefused = errors.New("migration: the command was not carried out")
)

const (
	// evacuationTimeout limits the time for moving runs off a leaving engine.
	evacuationTimeout = 4 * time.Second
	// rescanInterval is the pause before searching again for movable runs, such
	// as those that have started since.
	rescanInterval = 40 * time.Millisecond
	copyTimeout    = 2 * time.Second
	// announceDelay is the time that an announcement takes to reach other
	// instances.
	announceDelay    = 15 * time.Millisecond
	turnPollInterval = 10 * time.Millisecond
)

// Mover moves runs off leaving engines. Set the exported fields before use. It
// is safe for concurrent use.
type Mover struct {
	Engines Engines
	Roster  *roster.Roster
	Tracker *placement.LoadTracker
	Clock   clockwork.Clock
	Log     zerolog.Logger
	// MoveOrder must not be nil.
	MoveOrder MoveOrder
	// Allows reports whether runs may be moved to an engine. If it is nil, they may be
	// moved to all.
	Allows func(roster.Endpoint) bool

	mu         sync.Mutex
	runs       map[*Run]struct{}
	evacuating map[string]*evacuation
}

// Add registers a run, so that it is moved when its engine leaves.
func (mo *Mover) Add(ru *Run) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if mo.runs == nil {
		mo.runs = make(map[*Run]struct{})
	}
	mo.runs[ru] = struct{}{}
}

// Remove removes a run that has ended. If its stream has not taken up a
// completed move, Remove frees the copy.
func (mo *Mover) Remove(ru *Run) {
	mo.mu.Lock()
	delete(mo.runs, ru)
	mo.mu.Unlock()
	if mv := ru.end(); mv != nil {
		mo.release(ru, *mv)
	}
}

// release ends the ticket of a move that will not be used and frees its copy.
func (mo *Mover) release(ru *Run, mv Moved) {
	if mv.Ticket != nil {
		mv.Ticket.End(placement.Done)
	}
	go mo.freeCopy(ru, mv.From, mv.Handle)
}

func (mo *Mover) freeCopy(ru *Run, source roster.Endpoint, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if err := mo.Engines.Free(ctx, source, handle); err != nil {
		mo.Log.Info().Str("event", "copy_not_freed").Str("request", ru.ID).Str("endpoint", source.ID).Err(err).Msg("migration: failed to free an unused copy")
	}
}

// Evacuate starts moving the runs of a leaving engine and returns at once. It
// has no effect while runs of this engine are already being moved.
func (mo *Mover) Evacuate(en roster.Endpoint) { mo.start(en, false) }

// Vacate starts moving the runs off an engine that stays for now, also those that have
// a standby copy, and returns at once. Targets that are still cold are not used. It has
// no effect while runs of this engine are already being moved.
func (mo *Mover) Vacate(en roster.Endpoint) { mo.start(en, true) }

func (mo *Mover) start(en roster.Endpoint, planned bool) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	now := mo.Clock.Now()
	if ev := mo.evacuating[en.ID]; ev != nil {
		if !planned {
			ev.leavesAt.CompareAndSwap(nil, &now)
		}
		return
	}
	if mo.evacuating == nil {
		mo.evacuating = make(map[string]*evacuation)
	}
	ev := newEvacuation(en, now, planned)
	mo.evacuating[en.ID] = ev
	go mo.moveRuns(ev, planned)
}

// moveRuns moves the runs of one engine until none is left or evacuationTimeout
// has passed.
func (mo *Mover) moveRuns(ev *evacuation, planned bool) {
	en := ev.source
	defer func() {
		mo.mu.Lock()
		delete(mo.evacuating, en.ID)
		mo.mu.Unlock()
		if planned && !ev.planned() {
			// The engine has left meanwhile, and its time begins with that.
			mo.Evacuate(en)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), evacuationTimeout)
	defer cancel()
	defer mo.MoveOrder.Announce(en.ID, 0)
	for ctx.Err() == nil {
		list := movable(mo.candidates(ev), ev.sinceNotice(mo.Clock.Now()))
		mo.MoveOrder.Announce(en.ID, ev.untried(list))
		if len(list) > 0 && mo.moveAll(ctx, ev, list) {
			continue
		}
		if mo.countRuns(en) == 0 {
			return
		}
		pause.For(ctx, mo.Clock, rescanInterval)
	}
}

// candidates returns the runs at the engine of an evacuation, except those that
// have used up their attempts.
func (mo *Mover) candidates(ev *evacuation) []candidate {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	var list []candidate
	for ru := range mo.runs {
		if ru.Endpoint().ID == ev.source.ID && ev.attempts[ru] < maxMoveAttempts {
			ca := ru.snapshot()
			_, usable := mo.Roster.View().Usable(ca.standby)
			ca.standbyUsable = usable && !ev.planned()
			list = append(list, ca)
		}
	}
	return list
}

// Endpoints returns the engines on which registered runs are, as known to the
// roster.
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

func (mo *Mover) countRuns(en roster.Endpoint) int {
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
