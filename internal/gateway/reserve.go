package gateway

import (
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/reservation"
	"filbertstall.example/filbertstall/internal/roster"
)

// buildEngines creates the allocator of engines of this instance.
func (gw *Gateway) buildEngines() {
	ready := func(service string) []roster.Endpoint { return gw.roster.View().Ready(service) }
	gw.engines.Peers, gw.engines.Tracker, gw.engines.Ready, gw.engines.Boot = &gw.peers, &gw.tracker, ready, gw.Boot
}

// reserver returns the client of the allocators of engines.
func (gw *Gateway) reserver() *reservation.Client {
	return &reservation.Client{
		Peers: &gw.peers, Allocator: &gw.engines, Caller: &peer.Client{}, Boot: gw.Boot, Log: gw.Log, Scope: gw.metrics.Scope,
	}
}
