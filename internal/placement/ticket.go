package placement

import "filbertstall.example/filbertstall/internal/roster"

// Ticket accounts for one in-flight request, or one standby copy, at an
// endpoint. It is safe for concurrent use.
type Ticket struct {
	board          *Board
	id             string
	zone           string
	prefillTokens  int
	reservedTokens int
	// engine is true if the endpoint is an engine.
	engine bool
	// memoryOnly is true for a standby copy, which occupies memory but runs no
	// request.
	memoryOnly bool
	ended      bool
}

// Begin accounts for a request that is about to be sent to an endpoint.
func (bo *Board) Begin(en roster.Endpoint, wo Work) *Ticket {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ti := &Ticket{board: bo, id: en.ID, zone: en.Zone}
	ac := bo.account(en.ID)
	ac.inFlight++
	ac.arrivals = append(ac.arrivals, bo.Clock.Now())
	ac.arrivalsInLastSecond(bo.Clock.Now())
	if wo.Engine != nil {
		ti.engine, ti.prefillTokens, ti.reservedTokens = true, wo.Prompt, wo.Prompt+wo.Output
		ac.generations++
		defer bo.notifyChange()
	}
	ac.prefillTokens += ti.prefillTokens
	ac.reservedTokens += ti.reservedTokens
	return ti
}

// Started records that the prompt is prefilled. Further calls, and calls after
// End, do not change the account.
func (ti *Ticket) Started() {
	ti.board.mu.Lock()
	defer ti.board.mu.Unlock()
	if !ti.ended {
		ti.board.account(ti.id).prefillTokens -= ti.prefillTokens
		ti.prefillTokens = 0
		ti.board.notifyChange()
	}
}

// End removes the request from the account and records its outcome. Further
// calls have no effect.
func (ti *Ticket) End(ou Outcome) {
	ti.board.mu.Lock()
	defer ti.board.mu.Unlock()
	if ti.ended {
		return
	}
	ti.ended = true
	ac := ti.board.account(ti.id)
	ac.prefillTokens -= ti.prefillTokens
	ac.reservedTokens -= ti.reservedTokens
	if ti.engine {
		defer ti.board.notifyChange()
	}
	if ti.memoryOnly {
		return
	}
	ac.inFlight--
	if ti.engine {
		ac.generations--
	}
	ac.recordOutcome(ou, ti.board.Clock.Now())
	ti.board.recordZoneOutcome(ti.zone, ou)
}
