package placement

import "filbertstall.example/filbertstall/internal/roster"

// Ticket is the entry of one request in the account of one endpoint.
type Ticket struct {
	board   *Board
	id      string
	zone    string
	reading int
	held    int
	engine  bool
	// reserve tells that only memory is taken up: nothing runs.
	reserve bool
	ended   bool
}

// Begin enters a request.
func (bo *Board) Begin(en roster.Endpoint, wo Work) *Ticket {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ti := &Ticket{board: bo, id: en.ID, zone: en.Zone}
	ac := bo.account(en.ID)
	ac.running++
	ac.arrivals = append(ac.arrivals, bo.Clock.Now())
	ac.arrivedLately(bo.Clock.Now())
	if wo.Engine != nil {
		ti.engine, ti.reading, ti.held = true, wo.Prompt, wo.Prompt+wo.Output
		ac.generations++
		defer bo.changed()
	}
	ac.reading += ti.reading
	ac.held += ti.held
	return ti
}

// Started notes that the prompt is read.
func (ti *Ticket) Started() {
	ti.board.mu.Lock()
	defer ti.board.mu.Unlock()
	if !ti.ended {
		ti.board.account(ti.id).reading -= ti.reading
		ti.reading = 0
		ti.board.changed()
	}
}

// End removes the request from the account. Further calls do nothing.
func (ti *Ticket) End(ou Outcome) {
	ti.board.mu.Lock()
	defer ti.board.mu.Unlock()
	if ti.ended {
		return
	}
	ti.ended = true
	ac := ti.board.account(ti.id)
	ac.reading -= ti.reading
	ac.held -= ti.held
	if ti.engine {
		defer ti.board.changed()
	}
	if ti.reserve {
		return
	}
	ac.running--
	if ti.engine {
		ac.generations--
	}
	ac.settle(ou, ti.board.Clock.Now())
	ti.board.crossed(ti.zone, ou)
}
