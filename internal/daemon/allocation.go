package daemon

import (
	"maps"

	"filbertstall.example/filbertstall/internal/allocation"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/explain"
	"filbertstall.example/filbertstall/internal/operator"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// buildAllocation creates the components that grant places at endpoints and
// returns the granter.
func (da *Daemon) buildAllocation(li listeners, guard *platform.Guard, client *endpoint.Client) *allocation.Granter {
	store := guard.For(platform.ClassConfiguration)
	caller := &peer.Client{TLS: li.peerTLS}
	da.members = &allocation.Poller{Store: store, Clock: da.Clock}
	da.explain = &explain.Ring{Clock: da.Clock}
	da.suspicion = &suspicion.Registry{Caller: caller, Clock: da.Clock, Log: da.Log, Peers: da.peerAddresses}
	da.allocation = &allocation.Granter{
		Instance: da.Settings.Name, Zone: da.Settings.Zone, Address: li.peer.Addr().String(), Store: store, Members: da.members,
		Caller: caller, Endpoints: client, Configuration: &da.configuration, Clock: da.Clock, Log: da.Log, Scope: da.root.Scope,
		Suspicion: da.suspicion, Explain: da.explain,
	}
	return da.allocation
}

// registerAllocation registers the services that other instances call on the peer
// server.
func (da *Daemon) registerAllocation(peers *peer.Server) error {
	if err := peers.Register(allocation.ServiceName, da.allocation.Service()); err != nil {
		return err
	}
	if err := peers.Register(explain.ServiceName, da.finder().Service()); err != nil {
		return err
	}
	return peers.Register(suspicion.ServiceName, da.suspicion.Service())
}

// finder returns a finder that looks up explanations on this instance and on its
// peers.
func (da *Daemon) finder() *explain.Finder {
	return &explain.Finder{Ring: da.explain, Caller: da.suspicion.Caller, Peers: da.peerAddresses}
}

// peerAddresses returns the peer addresses of the other instances.
func (da *Daemon) peerAddresses() []string {
	var list []string
	for _, in := range da.members.Members() {
		if in.Name != da.Settings.Name {
			list = append(list, in.Peer)
		}
	}
	return list
}

// routes returns the operator routes that are not built into the operator server,
// by method and path.
func (da *Daemon) routes() map[string]operator.Route {
	routes := maps.Clone(da.control.Routes())
	routes["GET /explain"] = da.finder().Route()
	return routes
}
