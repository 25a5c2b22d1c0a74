package reservation

import (
	"time"

	"filbertstall.example/filbertstall/internal/placement"
)

// grantLifetime is the longest time for which a grant counts as load. It covers the
// transfer of the answer, the time until a load message includes the request, and the loss
// of two of those messages.
const grantLifetime = time.Second

// grant is an engine that was given to a request whose instance does not report it yet.
type grant struct {
	endpoint string
	demand   placement.Demand
	until    time.Duration
}

// grants are the outstanding grants of an allocator. The caller must hold its mutex.
type grants struct {
	tracker *placement.LoadTracker
	byID    map[uint64]grant
	// order has the IDs in the order in which they expire.
	order []uint64
}

// add counts a grant towards the load of its engine.
func (gs *grants) add(id uint64, endpoint string, dm placement.Demand, now time.Duration) {
	if gs.byID == nil {
		gs.byID = make(map[uint64]grant)
	}
	gs.byID[id] = grant{endpoint: endpoint, demand: dm, until: now + grantLifetime}
	gs.order = append(gs.order, id)
	gs.tracker.AddPending(endpoint, dm)
}

// settle ends a grant: the load messages of its instance include it, or it is not used.
func (gs *grants) settle(id uint64) {
	gr, known := gs.byID[id]
	if !known {
		return
	}
	delete(gs.byID, id)
	gs.tracker.RemovePending(gr.endpoint, gr.demand)
}

// expire ends the grants whose time has passed.
func (gs *grants) expire(now time.Duration) {
	for len(gs.order) > 0 {
		gr, known := gs.byID[gs.order[0]]
		if known && now <= gr.until {
			return
		}
		gs.settle(gs.order[0])
		gs.order = gs.order[1:]
	}
}
