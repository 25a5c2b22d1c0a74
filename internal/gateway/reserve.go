package gateway

import (
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/reservation"
	"filbertstall.example/filbertstall/internal/roster"
)

// buildEngines sets the fields of engines, this instance's allocator.
func (gw *Gateway) buildEngines() {
	ready := func(service string) []roster.Endpoint { return gw.roster.View().Ready(service) }
	gw.engines.Peers, gw.engines.Tracker, gw.engines.Ready = &gw.peers, &gw.tracker, ready
	gw.engines.Boot, gw.engines.Clock, gw.engines.Wake = gw.Boot, gw.Clock, make(chan struct{}, 1)
}

// reserver returns the client of the allocators of engines.
func (gw *Gateway) reserver() *reservation.Client {
	return &reservation.Client{
		Peers: &gw.peers, Allocator: &gw.engines, Caller: &peer.Client{}, Boot: gw.Boot, Log: gw.Log, Scope: gw.metrics.Scope,
	}
}
