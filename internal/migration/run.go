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
	// known is what is known of the run at its engine, and before what was known before
	// the order that is under way.
	known, before Knowledge
	// answered is closed when the order that is under way has ended. It is nil before
	// the first order.
	answered chan struct{}
	moved    *Moved
}

// SetEndpoint sets the engine on which the run is. It must be called before
// Mover.Add and after each takeover from a standby copy, and Run knows nothing of the run
// there yet.
func (ru *Run) SetEndpoint(en roster.Endpoint) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.endpoint = en
	if ru.known.mayOrder() {
		ru.known = Running
	}
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

// Known returns what is known of the run at its engine.
func (ru *Run) Known() Knowledge {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.known
}

// Await waits for the end of a final copy in progress and returns where the run
// continues, which is its own engine if the copy failed after stopping the run.
// It returns false if no final copy was started, if the run was not stopped as far as is
// known, or if ctx or the run has ended.
func (ru *Run) Await(ctx context.Context) (Moved, bool) {
	ru.mu.Lock()
	answered := ru.answered
	ru.mu.Unlock()
	if answered == nil {
		return Moved{}, false
	}
	select {
	case <-answered:
	case <-ctx.Done():
		return Moved{}, false
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.moved == nil {
		return Moved{}, false
	}
	mv := *ru.moved
	ru.moved, ru.known = nil, Running
	return mv, true
}

// awaitAnswer waits for the end of the order that is under way and reports whether the
// run is stopped.
func (ru *Run) awaitAnswer(ctx context.Context) bool {
	ru.mu.Lock()
	answered := ru.answered
	ru.mu.Unlock()
	select {
	case <-answered:
	case <-ctx.Done():
	}
	return ru.Known() == Stopped
}

// Complete records a move that is made without copies, as in tests.
func (ru *Run) Complete(mv Moved) {
	if ru.beginFinalCopy() {
		ru.finishFinalCopy(CarriedOut, &mv)
	}
}

// beginFinalCopy marks the start of a final copy. It returns false if the run
// has ended, or has been or is being stopped by another one.
func (ru *Run) beginFinalCopy() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.ended || !ru.known.mayOrder() {
		return false
	}
	ru.before, ru.known = ru.known, Ordered
	ru.answered = make(chan struct{})
	return true
}

// finishFinalCopy marks the end of a final copy. mv is where the run goes on if the order
// was carried out, and nil otherwise. It returns whether the copy is still needed, which
// it is not if the run has ended.
func (ru *Run) finishFinalCopy(or OrderResult, mv *Moved) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.known, ru.moved = ru.before.after(or), mv
	if mv != nil {
		ru.endpoint = mv.Target
	}
	close(ru.answered)
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
		run: ru, started: ru.events > 0, ended: ru.ended, stopping: !ru.known.mayOrder(),
		standby: ru.standby, tokens: ru.Prompt + made, remaining: max(ru.MaxOutput-made, 0),
	}
}
