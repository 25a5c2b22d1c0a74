package gateway

import (
	"errors"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/concurrency"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/relay"
	"filbertstall.example/filbertstall/internal/reservation"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// peerControllers returns the controllers that exchange load with other
// instances and share the reading of the store with them.
func (gw *Gateway) peerControllers(li listeners, di *dispatch.Dispatcher, hangups *hangup.Watcher) []controller.Controller {
	se := gw.Settings
	self := se.member()
	exchange := &loadshare.Exchange{
		Conn: li.peers, Instance: se.Instance, Zone: se.Zone, Tracker: &gw.tracker, Members: &gw.members, MoveOrder: &gw.moveOrder, Clock: gw.Clock, Log: gw.Log,
		Statements: &gw.signals, Suspects: gw.suspects, Paths: &gw.paths, Outliers: &gw.outliers, Stopping: &gw.stopping, Heard: gw.peers.Heard,
	}
	if gw.rollouts != nil {
		exchange.Rollouts, gw.rollouts.exchange = gw.rollouts, exchange
	}
	reserver := gw.reserver()
	di.Reserver, exchange.Grants = reserver, reserver
	peers := gw.newPeerServer(li.calls)
	err := errors.Join(
		peers.Register(relay.ServiceName, gw.relay.Service()), peers.Register(suspicion.ServiceName, gw.suspects.Service()),
		peers.Register(ratelimit.ServiceName, gw.allocator.Service()), peers.Register(concurrency.ServiceName, gw.slots.Service()),
		peers.Register(reservation.ServiceName, gw.engines.Service()), peers.Register(backpressure.ServiceName, gw.signals.Service()),
	)
	if err != nil {
		// Register fails only for a service without suitable methods.
		panic(err)
	}
	known := make(chan struct{})
	gw.inquiry.Registered = known
	gw.relaySwitch = relay.Switch{
		Log: &gw.relay, Caller: &peer.Client{}, Self: self, Members: &gw.members, Registered: known, Alive: exchange.IsAlive,
		Configuration: gw.followConfiguration(), Others: append(gw.followOperators(), gw.followMembers()),
		Fetch: gw.fetchConfiguration, Decode: gw.Adapter.DecodeConfiguration,
		Roster: &gw.roster, State: &gw.state, Clock: gw.Clock, Boot: gw.Boot, Logger: gw.Log, OnPanic: gw.logPanic,
	}
	gw.relay.AnsweredElsewhere = gw.relaySwitch.AnsweredElsewhere
	takes := func(name string) bool { return exchange.IsAlive(name) && !gw.stopping.Has(name) }
	di.Alone = func() bool { return gw.aloneInZone(takes) }
	list := gw.buildForwarding(li, di, hangups, takes)
	return append(list,
		&registration{
			registry: gw.Adapter.Registry, source: gw.Adapter.Members, members: &gw.members, self: self, known: known, clock: gw.Clock, log: gw.Log,
		},
		exchange, peers, gw.suspects, &gw.engines,
		&gw.inquiry, &gw.relaySwitch,
	)
}

// peerAddresses returns the peer addresses of the other instances.
func (gw *Gateway) peerAddresses() []string {
	var addresses []string
	for _, me := range gw.members.List() {
		if me.Name != gw.Settings.Instance {
			addresses = append(addresses, me.Address.String())
		}
	}
	return addresses
}

// instanceCount returns the number of instances that share the retry budget, or
// assumedInstances if it is unknown.
func (gw *Gateway) instanceCount() int {
	if count := len(gw.members.List()); count > 0 {
		return count
	}
	return assumedInstances
}
