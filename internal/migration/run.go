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
	known   Knowledge
	// answered is closed when the order that is under way has ended. It is nil before
	// the first order.
	answered chan struct{}
	moved    *Moved
}

// SetEndpoint sets the engine on which the run is. It must be called before
// Mover.Add, and if the run goes on at another engine than Await returned.
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

// Known returns what is known of the run.
func (ru *Run) Known() Knowledge {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.known
}

// RecordAbsence records that the engine of a run whose stream broke off has no such run or
// cannot be reached. It reports whether the run may go on from another copy than Await
// returns, which it may not while an order to stop it is under way or was carried out.
func (ru *Run) RecordAbsence() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.moved != nil {
		return false
	}
	ru.known = ru.known.after(FoundAbsent)
	return ru.known.may(CallSent)
}

// TakeOver records that the engine of a copy is about to be called to let the run go on.
// RecordAbsence must have returned true before.
func (ru *Run) TakeOver(en roster.Endpoint) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.endpoint, ru.known = en, ru.known.after(CallSent)
}

// RecordCall records what became of the call after TakeOver or Await.
func (ru *Run) RecordCall(ev Event) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.known = ru.known.after(ev)
}

// Await waits for the end of a final copy in progress and returns where the run
// continues, which is its own engine if the copy failed after stopping the run. That engine
// is then to be called; RecordCall records what became of it.
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
	ru.moved, ru.known = nil, ru.known.after(CallSent)
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
	ru.known = ru.known.after(OrderSent)
	ru.answered = make(chan struct{})
	return true
}

// finishFinalCopy marks the end of a final copy. mv is where the run goes on if the order
// was carried out, and nil otherwise. It returns whether the copy is still needed, which
// it is not if the run has ended.
func (ru *Run) finishFinalCopy(ev Event, mv *Moved) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.known, ru.moved = ru.known.after(ev), mv
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
