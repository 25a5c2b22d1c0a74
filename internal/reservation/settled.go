package reservation

import "time"

const (
	// settledRepeat is the time for which load messages name a grant as included, in case
	// some are lost. A grant counts for that long at most.
	settledRepeat = grantLifetime
	// maxSettled is the largest number of grants that one message names. The others
	// expire.
	maxSettled = 256
)

// settledGrant is a grant that the loads of this instance include.
type settledGrant struct {
	id    uint64
	until time.Duration
}

// Settle tells the allocator that the request counts towards the loads of this instance,
// or that the grant is not used. It has no effect on a nil grant, nor on one that no
// Client returned.
func (gr *Grant) Settle() {
	if gr == nil || gr.client == nil {
		return
	}
	cl := gr.client
	if gr.allocator == cl.Peers.Self.Name {
		cl.Allocator.Settle([]uint64{gr.id})
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.settled = append(cl.settled, settledGrant{id: gr.id, until: cl.Boot.Now() + settledRepeat})
	if len(cl.settled) > maxSettled {
		cl.settled = cl.settled[len(cl.settled)-maxSettled:]
	}
}

// Settle passes the grants that the loads of another instance include on to the
// allocator of this instance.
func (cl *Client) Settle(ids []uint64) { cl.Allocator.Settle(ids) }

// Settled returns the grants that were settled recently. Loads that are read after the call
// include all of them.
func (cl *Client) Settled() []uint64 {
	now := cl.Boot.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for len(cl.settled) > 0 && now > cl.settled[0].until {
		cl.settled = cl.settled[1:]
	}
	ids := make([]uint64, 0, len(cl.settled))
	for _, se := range cl.settled {
		ids = append(ids, se.id)
	}
	return ids
}
