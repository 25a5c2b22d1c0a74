package placement

import (
	"time"

	"filbertstall.example/filbertstall/internal/roster"
)

// Ticket accounts for one in-flight request, or one standby copy, at an
// endpoint. It is safe for concurrent use.
type Ticket struct {
	tracker        *LoadTracker
	id             string
	endpoint       roster.Endpoint
	sentAt         time.Time
	prefillTokens  int
	reservedTokens int
	// engine is true if the endpoint is an engine.
	engine bool
	// memoryOnly is true for a standby copy, which occupies memory but runs no
	// request.
	memoryOnly bool
	ended      bool
	// onEnd is called by End. It may be nil.
	onEnd func()
}

// OnEnd sets a function that End calls. It must be set before End.
func (ti *Ticket) OnEnd(call func()) { ti.onEnd = call }

// Begin accounts for a request that is about to be sent to an endpoint.
func (lt *LoadTracker) Begin(en roster.Endpoint, dm Demand) *Ticket {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	ti := &Ticket{tracker: lt, id: en.ID, endpoint: en, sentAt: lt.Clock.Now()}
	lt.recordBegin(en)
	lt.countSent(en)
	ac := lt.account(en.ID)
	ac.inFlight++
	if dm.Engine != nil {
		ti.engine, ti.prefillTokens, ti.reservedTokens = true, dm.Prompt, dm.Prompt+dm.Output
		ac.generations++
		defer lt.notifyChange()
	}
	ac.prefillTokens += ti.prefillTokens
	ac.reservedTokens += ti.reservedTokens
	return ti
}

// Started records that the prompt is prefilled. Further calls, and calls after
// End, do not change the account.
func (ti *Ticket) Started() {
	ti.tracker.mu.Lock()
	defer ti.tracker.mu.Unlock()
	if !ti.ended {
		ti.tracker.account(ti.id).prefillTokens -= ti.prefillTokens
		ti.prefillTokens = 0
		ti.tracker.notifyChange()
	}
}

// End removes the request from the account and records its outcome. For a
// standby copy it only releases the memory. Further calls have no effect.
func (ti *Ticket) End(ou Outcome) {
	ti.tracker.mu.Lock()
	defer ti.tracker.mu.Unlock()
	if ti.ended {
		return
	}
	ti.ended = true
	if ti.onEnd != nil {
		defer ti.onEnd()
	}
	ac := ti.tracker.account(ti.id)
	ac.prefillTokens -= ti.prefillTokens
	ac.reservedTokens -= ti.reservedTokens
	if ti.engine {
		defer ti.tracker.notifyChange()
	}
	if ti.memoryOnly {
		return
	}
	ac.inFlight--
	if ti.engine {
		ac.generations--
	}
	ac.recordOutcome(ou, ti.tracker.Clock.Now())
	ti.tracker.recordZoneOutcome(ti.endpoint.Zone, ou)
	ti.recordEnd(ou)
}
