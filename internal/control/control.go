package control

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/plan"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

// watchersPerZone is the number of instances of a zone that watch the
// configuration in the platform. The others receive it from their peers.
const watchersPerZone = 2

// Control is the control plane of one instance. Set the fields up to Stop, then
// call Build before any other method. Build sets State, Members and Plans.
type Control struct {
	// Self describes this instance, including its peer address and start time.
	Self   member.Member
	Store  platform.Store
	Caller peer.Caller
	Holder *snapshot.Holder[kind.Configuration]
	Clock  clockwork.Clock
	Log    zerolog.Logger
	Scope  tally.Scope
	// Seeds are the peer addresses to ask for members while the platform does not
	// answer.
	Seeds []string
	// Stop starts the graceful shutdown of this instance. It must be idempotent,
	// because the request to stop is repeated until the instance is gone.
	Stop func()

	State       *configuration.State
	Members     *member.Table
	Plans       *plan.Service
	watcher     *configuration.Watcher
	distributor *configuration.Distributor
	executor    *plan.Executor
	sweeper     *plan.Sweeper
	counter     *Counter
}

// Build creates the controllers and services from the exported fields.
func (co *Control) Build() {
	// Other instances receive the start time in milliseconds and compare it, so
	// finer digits would make equal times differ.
	co.Self.Started = co.Self.Started.Truncate(time.Millisecond)
	co.State = &configuration.State{Holder: co.Holder, Log: co.Log, Scope: co.Scope}
	co.Members = &member.Table{
		Self: co.Self, Store: co.Store, Caller: co.Caller, Clock: co.Clock, Log: co.Log, Scope: co.Scope,
		Seeds: co.Seeds, Version: co.State.Version, OnContact: co.memberSeen,
	}
	co.watcher = &configuration.Watcher{Store: co.Store, State: co.State, Clock: co.Clock, Log: co.Log, Elected: co.elected}
	co.distributor = &configuration.Distributor{
		State: co.State, Peers: peers{co.Members}, Caller: co.Caller, Clock: co.Clock, Log: co.Log,
		Zone: co.Self.Zone, Address: co.Self.Peer,
	}
	co.counter = &Counter{Configuration: co.Holder}
	co.Plans = &plan.Service{Store: co.Store, State: co.State, Fleet: co, Clock: co.Clock, Log: co.Log, Scope: co.Scope}
	co.sweeper = &plan.Sweeper{Service: co.Plans, Elected: func() bool { return co.Members.IsCandidate("sweep", 1) }}
	co.executor = &plan.Executor{Service: co.Plans, Self: co.Self.Name, Candidate: co.Members.IsCandidate}
}

// Controllers returns the controllers that the process must run.
func (co *Control) Controllers() []controller.Controller {
	return []controller.Controller{co.watcher, co.distributor, co.Members, co.executor, co.sweeper}
}

// Register registers the services of Services with the peer server.
func (co *Control) Register(se *peer.Server) error {
	for name, service := range co.Services() {
		if err := se.Register(name, service); err != nil {
			return err
		}
	}
	return nil
}

// Services returns the RPC services for other instances by their registered
// names.
func (co *Control) Services() map[string]any {
	return map[string]any{
		configuration.ServiceName: &configuration.Service{State: co.State, Distributor: co.distributor},
		member.ServiceName:        &member.Service{Table: co.Members},
		ServiceName:               &Service{Control: co},
	}
}

// CountGrants returns a granter that passes calls on to gr, counts the grants in
// use by endpoint, and checks each grant against the configuration in force. A
// later call replaces gr.
func (co *Control) CountGrants(gr admission.Granter) admission.Granter {
	co.counter.Granter = gr
	return co.counter
}

// elected reports whether this instance watches the platform. An instance
// without a configuration always does.
func (co *Control) elected() bool {
	return co.State.Version() == 0 || co.Members.IsZoneCandidate("configuration", watchersPerZone)
}

// memberSeen receives the version in force at another member. It lets the
// distributor fetch the configuration from a member that has a higher version.
func (co *Control) memberSeen(me member.Member) {
	co.distributor.HandleNotice(configuration.Notice{Version: me.Version, Zone: me.Zone, Address: me.Peer})
}

// View implements plan.Fleet.
func (co *Control) View() *member.View { return co.Members.View() }

// Settled implements plan.Fleet.
func (co *Control) Settled() bool { return co.Members.Settled() }

// peers gives the distributor access to the members.
type peers struct{ table *member.Table }

// ZonePeers implements configuration.Peers.
func (pe peers) ZonePeers() []configuration.Peer { return toPeers(pe.table.ZonePeers()) }

// RemoteZonePeers implements configuration.Peers.
func (pe peers) RemoteZonePeers() []configuration.Peer { return toPeers(pe.table.RemoteZonePeers()) }

func toPeers(members []member.Member) []configuration.Peer {
	list := make([]configuration.Peer, 0, len(members))
	for _, me := range members {
		list = append(list, configuration.Peer{Name: me.Name, Zone: me.Zone, Address: me.Peer})
	}
	return list
}

// Leave announces the stop of this instance to the members that it probes. It
// takes at most leaveTimeout.
func (co *Control) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	co.Members.Leave(ctx)
}

// leaveTimeout limits how long a stopping instance tries to notify the others.
const leaveTimeout = time.Second
