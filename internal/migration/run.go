package migration

import (
	"context"
	"sync"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// Moved describes where a run continues after a move or from its standby copy.
type Moved struct {
	// From is the engine that made the copy. For a standby copy, it is the
	// engine that keeps it.
	From   roster.Endpoint
	Handle string
	Target roster.Endpoint
	// Ticket is the run's entry in the load account of the target.
	Ticket *placement.Ticket
}

// Run is one generation, whose output is streamed to a caller. Set the exported
// fields before Mover.Add.
type Run struct {
	ID      string
	Service string
	Engine  *routing.Engine
	// Prompt and MaxOutput are numbers of tokens.
	Prompt    int
	MaxOutput int
	// Output is the number of tokens of memory that placement plans for the
	// answer, as estimated at the start of the run. If it planned for the
	// longest possible answer, there would rarely be a target in the same zone,
	// and copies into other zones take twice as long.
	Output int

	mu       sync.Mutex
	endpoint roster.Endpoint
	events   int
	ended    bool
	// standby is the ID of the engine that keeps a standby copy of the run. It
	// is empty if there is none.
	standby string
	// stopping is set when a final copy starts, and closed when the copy has
	// ended. It becomes nil if the copy failed without stopping the run, or
	// when Await has returned the move.
	stopping chan struct{}
	moved    *Moved
}

// SetEndpoint sets the engine on which the run is. It must be called before
// Mover.Add and after each takeover from a standby copy.
func (ru *Run) SetEndpoint(en roster.Endpoint) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.endpoint = en
}

// Endpoint returns the engine on which the run is.
func (ru *Run) Endpoint() roster.Endpoint {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.endpoint
}

// SetStandby sets the ID of the engine that keeps a standby copy of the run. An
// empty ID means that there is none.
func (ru *Run) SetStandby(standby string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.standby = standby
}

// SetEvents sets the total number of events received so far.
func (ru *Run) SetEvents(events int) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.events = events
}

// Stopping reports whether the run was asked to stop for a move.
func (ru *Run) Stopping() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.stopping != nil
}

// Await waits for the end of a final copy in progress and returns where the run
// continues, which is its own engine if the copy failed after stopping the run.
// It returns false if no final copy was started, if it failed without stopping
// the run, or if ctx or the run has ended.
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

// Complete records a move that is made without copies, as in tests.
func (ru *Run) Complete(mv Moved) {
	if ru.beginFinalCopy() {
		ru.finishFinalCopy(&mv)
	}
}

// beginFinalCopy marks the start of a final copy. It returns false if the run
// has ended or a final copy has already been started.
func (ru *Run) beginFinalCopy() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.ended || ru.stopping != nil {
		return false
	}
	ru.stopping = make(chan struct{})
	return true
}

// finishFinalCopy marks the end of a final copy. A nil mv means that the run
// was not stopped. It returns whether the copy is still needed, which it is not
// if the run has ended.
func (ru *Run) finishFinalCopy(mv *Moved) bool {
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

// end marks the run as ended. It returns the completed move that the stream has
// not taken up, or nil.
func (ru *Run) end() *Moved {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.ended = true
	mv := ru.moved
	ru.moved = nil
	return mv
}

func (ru *Run) snapshot() candidate {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	made := ru.events * max(ru.Engine.TokensPerEvent, 1)
	return candidate{
		run: ru, started: ru.events > 0, ended: ru.ended, stopping: ru.stopping != nil,
		standby: ru.standby, tokens: ru.Prompt + made, remaining: max(ru.MaxOutput-made, 0),
	}
}
