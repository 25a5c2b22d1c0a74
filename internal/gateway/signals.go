package gateway

import (
	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/concurrency"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
)

// buildGate creates the gate that all calls to endpoints pass, and what divides the
// rate limits of endpoints among the instances.
func (gw *Gateway) buildGate(self loadshare.Member) {
	gw.signals = backpressure.Registry{Boot: gw.Boot, Log: gw.Log, Scope: gw.metrics.Scope, OnLeaving: gw.leaves, Changes: gw.tracker.Changes}
	gw.peers = ratelimit.Peers{Self: self, Members: &gw.members, Boot: gw.Boot}
	gw.allocator = ratelimit.Allocator{Peers: &gw.peers, Boot: gw.Boot}
	gw.limiter = ratelimit.Limiter{Peers: &gw.peers, Allocator: &gw.allocator, Caller: &peer.Client{}, Boot: gw.Boot, Scope: gw.metrics.Scope}
	gw.suspectLimiter = ratelimit.Limiter{Peers: &gw.peers, Allocator: &gw.allocator, Caller: &peer.Client{}, Boot: gw.Boot}
	gw.buildEngines()
	gw.slots = concurrency.Allocator{Peers: &gw.peers, Boot: gw.Boot}
	slots := &concurrency.Limiter{Peers: &gw.peers, Allocator: &gw.slots, Caller: &peer.Client{}, Boot: gw.Boot, IsBrittle: gw.signals.IsBrittle, Running: gw.tracker.Running}
	gw.inProgress = slots
	gw.gate = backpressure.Gate{Slots: slots, SlotsOf: gw.slotsOf, Usable: gw.usable, Transport: &gw.pool, Decode: gw.Adapter.Codec.Signal, Registry: &gw.signals, Limiter: &gw.limiter}
	gw.tracker.Backpressure = &gw.signals
}

// slotsOf returns how many requests an endpoint processes at once: an engine no more than
// the configuration of its service says, even if its entry says more.
func (gw *Gateway) slotsOf(en roster.Endpoint) int {
	cf := gw.state.Load()
	if cf == nil {
		return en.Slots
	}
	if se, known := cf.Service(en.Service); known && se.Engine != nil && se.Engine.Slots > 0 {
		return min(en.Slots, se.Engine.Slots)
	}
	return en.Slots
}

// usable reports whether an endpoint may get requests.
func (gw *Gateway) usable(en roster.Endpoint) bool {
	_, usable := gw.roster.View().Usable(en.ID)
	return usable
}

// leaves marks an endpoint as leaving because an answer of its process said so.
func (gw *Gateway) leaves(id string, started int64) {
	if en, known := gw.roster.View().Get(id); known && en.Started == started {
		gw.roster.Leave(id)
	}
}

// forgetEndpoints drops what is known of endpoints that no longer exist.
func (gw *Gateway) forgetEndpoints() {
	vi := gw.roster.View()
	// Before the endpoints are listed, what other instances stated of them is kept.
	known := func(id string) bool { _, found := vi.Get(id); return found || !vi.Listed }
	gw.tracker.Forget(known)
	gw.signals.Forget(known)
	gw.limiter.Forget(known)
	gw.outliers.Forget(known)
	gw.allocator.Prune()
	gw.slots.Prune()
	gw.engines.Prune()
	if !gw.suspects.HasSuspects() {
		gw.suspectLimiter.Forget(func(string) bool { return false })
	}
}
