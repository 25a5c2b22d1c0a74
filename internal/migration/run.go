package migration

import (
	"context"
	"sync"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// Moved says where a run goes on.
type Moved struct {
	// From is the engine that made the copy.
	From   roster.Endpoint
	Handle string
	Target roster.Endpoint
	// Ticket is the run's entry in the target's account.
	Ticket *placement.Ticket
}

// Run is one stream at an engine. Set the exported fields before Add.
type Run struct {
	ID      string
	Service string
	Engine  *routing.Engine
	// Prompt and MaxOutput are in tokens.
	Prompt    int
	MaxOutput int
	// Output is how many tokens of memory the answer is planned with, as it was
	// where the run began. A target that had to hold the longest answer would
	// rarely be found, and other zones take twice as long to copy to.
	Output int

	mu       sync.Mutex
	endpoint roster.Endpoint
	events   int
	ended    bool
	// standby is the ID of the engine that keeps a copy of the run, or empty.
	standby string
	// stopping is open while a final copy is under way.
	stopping chan struct{}
	moved    *Moved
}

// At notes the engine at which the run is, from the start or after a move.
func (ru *Run) At(en roster.Endpoint) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.endpoint = en
}

// Endpoint returns the engine at which the run is.
func (ru *Run) Endpoint() roster.Endpoint {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.endpoint
}

// Keep notes the engine that keeps a copy of the run; empty means none.
func (ru *Run) Keep(standby string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.standby = standby
}

// Progress notes how many events have come in all.
func (ru *Run) Progress(events int) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.events = events
}

// Stopping tells whether the run was asked to stop for a move.
func (ru *Run) Stopping() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.stopping != nil
}

// Await returns where the run goes on, once a final copy that is under way has
// ended. It returns false if the run does not go on.
func (ru *Run) Await(ctx context.Context) (Moved, bool) {
	ru.mu.Lock()
	stopping := ru.stopping
	ru.mu.Unlock()
	if stopping == nil {
		return Moved{}, false
	}
	select {
	case <-stopping:
	case <-ctx.Done():
		return Moved{}, false
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.moved == nil {
		return Moved{}, false
	}
	mv := *ru.moved
	ru.moved, ru.stopping = nil, nil
	return mv, true
}

// Complete states where the run goes on, for movers that need no copies.
func (ru *Run) Complete(mv Moved) {
	if ru.begin() {
		ru.finish(&mv)
	}
}

// begin marks the start of a final copy. It returns false if the run is over.
func (ru *Run) begin() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.ended || ru.stopping != nil {
		return false
	}
	ru.stopping = make(chan struct{})
	return true
}

// finish ends a final copy; nil means that the run was not stopped. It returns
// whether the run still wants the copy.
func (ru *Run) finish(mv *Moved) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.moved = mv
	close(ru.stopping)
	if mv == nil {
		ru.stopping = nil
	} else {
		ru.endpoint = mv.Target
	}
	return !ru.ended
}

// end marks the run as over and returns a copy that nobody will use.
func (ru *Run) end() *Moved {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.ended = true
	mv := ru.moved
	ru.moved = nil
	return mv
}

// state returns what a plan needs to know of the run.
func (ru *Run) state() candidate {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	made := ru.events * max(ru.Engine.TokensPerEvent, 1)
	return candidate{
		run: ru, started: ru.events > 0, ended: ru.ended, stopping: ru.stopping != nil,
		standby: ru.standby, tokens: ru.Prompt + made, remaining: max(ru.MaxOutput-made, 0),
	}
}
