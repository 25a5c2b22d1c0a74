package gateway

import (
	"errors"
	"net/netip"

	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/relay"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// sharing returns the controllers that tell other instances what runs here and
// read the store together with them.
func (gw *Gateway) sharing(li listeners) []controller.Controller {
	se := gw.Settings
	self := loadshare.Member{Name: se.Instance, Zone: se.Zone, Address: netip.MustParseAddrPort(se.Peers), Link: se.Link}
	exchange := &loadshare.Exchange{
		Conn: li.peers, Instance: se.Instance, Zone: se.Zone, Board: &gw.board, Members: &gw.members, Turns: &gw.turns, Clock: gw.Clock, Log: gw.Log,
	}
	peers := &peer.Server{Listener: li.calls}
	err := errors.Join(peers.Register(relay.ServiceName, gw.relay.Service()), peers.Register(suspicion.ServiceName, gw.suspects.Service()))
	if err != nil {
		// Only a service without methods of the right form fails.
		panic(err)
	}
	gw.relaying = relay.Switch{
		Log: &gw.relay, Caller: &peer.Client{}, Self: se.Instance, Zone: se.Zone, Members: &gw.members, Alive: exchange.Heard,
		Configuration: gw.followConfiguration(), Others: gw.followOthers(), Fetch: gw.fetchConfiguration, Decode: gw.Adapter.DecodeConfiguration,
		Roster: &gw.roster, State: &gw.state, Clock: gw.Clock, Boot: gw.Boot, Logger: gw.Log,
	}
	return []controller.Controller{
		&registration{registry: gw.Adapter.Registry, self: self, clock: gw.Clock, log: gw.Log},
		&feed.Follower[loadshare.Member]{
			Kind: "members", Source: gw.Adapter.Members, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: membersWait, Gap: membersGap,
			Sink: &memberSink{members: &gw.members},
		},
		exchange, peers, gw.suspects,
		&gw.relaying,
	}
}

// manyMembers is the size from which crashes are told to one instance of each
// other zone, not to all; the rest learn of them by asking.
const manyMembers = 16

// confidants returns the addresses of instances that are told of crashes.
func (gw *Gateway) confidants() []string {
	list := gw.members.List()
	told := make(map[string]bool)
	var addresses []string
	for _, me := range list {
		if me.Name == gw.Settings.Instance {
			continue
		}
		if len(list) < manyMembers || me.Zone == gw.Settings.Zone || !told[me.Zone] {
			told[me.Zone] = true
			addresses = append(addresses, me.Address.String())
		}
	}
	return addresses
}

// memberCount returns how many instances share the bounds of endpoints.
func (gw *Gateway) memberCount() int {
	if count := len(gw.members.List()); count > 0 {
		return count
	}
	return assumedMembers
}
