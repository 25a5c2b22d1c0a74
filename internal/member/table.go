package member

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/snapshot"
)

const (
	// ProbeInterval is the time between two rounds of probes.
	ProbeInterval = 2 * time.Second
	// probeTimeout is the timeout of a probe and of a request for contacts.
	probeTimeout = time.Second
	// suspectAfter is the number of consecutive unanswered probes after which a
	// member is suspected.
	suspectAfter = 2
	// goneAfter is how long a member that the platform no longer lists as live
	// may go unseen before it counts as gone. indirectState applies the same
	// limit to the time since a member was last listed and to the time since any
	// member of a zone was last seen.
	goneAfter = 10 * time.Second
	// directContactWindow is how long, after the last contact with a member of
	// another zone or its last unanswered probe, this instance derives the
	// member's state from its own probes.
	directContactWindow = 3 * ProbeInterval
	// leaveTimeout is how long a member that announced its departure may go
	// unseen before it counts as gone although the platform still lists it as
	// live. It exceeds the drain time of an instance.
	leaveTimeout = 45 * time.Second
	// forgetAfter is how long a gone member stays in the view.
	forgetAfter = 5 * time.Minute
	// fullRoundPeers is the largest number of zone peers that are all probed in
	// every round; with more, each round probes about half of them.
	fullRoundPeers = 3
	// goneProbeRounds is the interval, in rounds, at which gone members are
	// probed.
	goneProbeRounds = 5
	// probesPerRemoteZone is how many members of each other zone an instance
	// probes.
	probesPerRemoteZone = 2
	// minListInterval and listIntervalPerMember limit the reads of the platform's
	// list, over all instances, to 20 per second. An instance without a
	// configuration reads the list every ProbeInterval instead.
	minListInterval       = 5 * time.Second
	listIntervalPerMember = 50 * time.Millisecond
)

// Table is the controller that maintains the view. Set the exported fields
// before Run.
type Table struct {
	// Self is this instance. Its State and Version are ignored.
	Self   Member
	Store  platform.Store
	Caller peer.Caller
	Clock  clockwork.Clock
	Log    zerolog.Logger
	// Scope receives the counters of probes and state changes; nil disables
	// them.
	Scope tally.Scope
	// Seeds are the peer addresses to fetch members from when the platform does
	// not answer.
	Seeds []string
	// Version returns the version of the configuration in force on this
	// instance, zero if there is none.
	Version func() int64
	// OnContact is called after each contact with another member, with the version
	// in force there. It may be nil.
	OnContact func(me Member)

	view   snapshot.Holder[View]
	events metric.Events[Reason]

	mu      sync.Mutex
	entries map[string]*entry
	leaving atomic.Bool
	settled atomic.Bool
	rounds  atomic.Int64
}

// Name implements controller.Controller.
func (ta *Table) Name() string { return "members" }

// View returns the newest view. It always contains this instance.
func (ta *Table) View() *View {
	if vi := ta.view.Load(); vi != nil {
		return vi
	}
	return &View{Members: []Member{ta.self()}}
}

// Run maintains the view until ctx ends.
func (ta *Table) Run(ctx context.Context) error {
	gr, ctx := errgroup.WithContext(ctx)
	gr.Go(func() error { return ta.runList(ctx) })
	gr.Go(func() error { return ta.runProbes(ctx) })
	return gr.Wait()
}

// Leave marks this instance as leaving and probes its targets at once, so that
// they learn of it.
func (ta *Table) Leave(ctx context.Context) {
	ta.leaving.Store(true)
	ta.refresh()
	ta.probeAll(ctx)
}

// Settled reports whether this instance has read the platform's list and then
// completed a round of probes.
func (ta *Table) Settled() bool { return ta.settled.Load() }

// IsZoneCandidate reports whether this instance is among the first live
// members of its zone in the rendezvous order of the key. The argument places
// is the number of members that qualify. IsZoneCandidate uses only the local
// view, so more instances than places may qualify while their views differ.
func (ta *Table) IsZoneCandidate(key string, places int) bool {
	return ta.isAmongFirst(key, places, ta.View().In(ta.Self.Zone, Live))
}

// IsCandidate is IsZoneCandidate over the live members of all zones.
func (ta *Table) IsCandidate(key string, places int) bool {
	var live []Member
	for _, me := range ta.View().Members {
		if me.State == Live {
			live = append(live, me)
		}
	}
	return ta.isAmongFirst(key, places, live)
}

func (ta *Table) isAmongFirst(key string, places int, live []Member) bool {
	for ix, me := range Rendezvous(key, live) {
		if me.Name == ta.Self.Name {
			return ix < places
		}
	}
	return false
}

// ZonePeers returns the other members of this instance's zone that are not
// gone and have a known peer address.
func (ta *Table) ZonePeers() []Member {
	all := ta.View().In(ta.Self.Zone, Joining, Live, Leaving, Suspected)
	return slices.DeleteFunc(all, func(me Member) bool { return me.Name == ta.Self.Name || me.Peer == "" })
}

// RemoteZonePeers returns the members of each other zone that this instance
// probes.
func (ta *Table) RemoteZonePeers() []Member {
	var list []Member
	vi := ta.View()
	for _, zone := range vi.Zones() {
		if zone != ta.Self.Zone {
			list = append(list, remoteZoneTargets(ta.Self.Name, vi.In(zone, Joining, Live, Leaving, Suspected))...)
		}
	}
	return list
}

func (ta *Table) self() Member {
	me := ta.Self
	me.Version = ta.Version()
	me.State = Live
	if me.Version == 0 {
		me.State = Joining
	}
	if ta.leaving.Load() {
		me.State = Leaving
	}
	return me
}

func (ta *Table) runList(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := ta.Store.Instances(ctx)
		if err == nil {
			ta.merge(list)
		} else {
			ta.count(ListFailed)
			ta.askSeeds(ctx)
		}
		if !ta.settled.Load() {
			ta.probeAll(ctx)
			ta.refresh()
			ta.settled.Store(err == nil)
		}
		interval := max(minListInterval, time.Duration(len(ta.View().Members))*listIntervalPerMember)
		if ta.Version() == 0 {
			interval = ProbeInterval
		}
		ta.wait(ctx, interval)
	}
	return nil
}

// runProbes runs the rounds of probes. The delay before the second round is
// derived from the instance's name, so that instances that started together do
// not keep probing at the same time.
func (ta *Table) runProbes(ctx context.Context) error {
	next := time.Duration(xxhash.Sum64String(ta.Self.Name)%uint64(ProbeInterval)) + 1
	for ctx.Err() == nil {
		ta.rounds.Add(1)
		ta.probeAll(ctx)
		ta.refresh()
		ta.wait(ctx, next)
		next = ProbeInterval
	}
	return nil
}

func (ta *Table) wait(ctx context.Context, du time.Duration) {
	select {
	case <-ctx.Done():
	case <-ta.Clock.After(du):
	}
}

// merge applies the platform's list.
func (ta *Table) merge(list []platform.Instance) {
	ta.mu.Lock()
	listed := make(map[string]platform.InstanceState, len(list))
	for _, in := range list {
		listed[in.Name] = in.State
		if in.Name != ta.Self.Name {
			ta.addOrUpdate(Member{Name: in.Name, Zone: in.Zone, Peer: in.Peer})
		}
	}
	for name, en := range ta.entries {
		en.listed = listed[name]
		if en.listed != "" {
			en.unlisted = time.Time{}
		} else if en.unlisted.IsZero() {
			en.unlisted = ta.Clock.Now()
		}
	}
	ta.mu.Unlock()
	ta.refresh()
}

// addOrUpdate adds a member, or applies the new address of one that restarted
// or stopped answering at its old address. The caller holds mu.
func (ta *Table) addOrUpdate(me Member) *entry {
	if ta.entries == nil {
		ta.entries = make(map[string]*entry)
	}
	en, found := ta.entries[me.Name]
	if !found {
		me.State = Joining
		en = &entry{Member: me, lastSeen: ta.Clock.Now()}
		ta.entries[me.Name] = en
	}
	if me.Started.After(en.Started) || (en.missed > 0 && me.Peer != en.Peer) {
		en.Peer, en.Zone, en.Started = me.Peer, me.Zone, me.Started
		en.leaving, en.missed, en.Version = false, 0, 0
		en.goneAt = time.Time{}
	}
	return en
}

// refresh recomputes the state of each member and publishes the view. It
// removes members that have been gone for forgetAfter.
func (ta *Table) refresh() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	now := ta.Clock.Now()
	next := &View{Members: []Member{ta.self()}}
	lastSeen := ta.zonesLastSeen()
	for name, en := range ta.entries {
		state := en.state(now)
		if en.Zone != ta.Self.Zone && !en.hasDirectContact(now) {
			state = en.indirectState(now, lastSeen[en.Zone])
		}
		if state != en.State {
			ta.count(stateReasons[state])
			ta.Log.Info().Str("member", name).Str("state", string(state)).Msg("members: state changed")
			en.State = state
		}
		if state != Gone {
			en.goneAt = time.Time{}
		} else if en.goneAt.IsZero() {
			en.goneAt = now
		}
		if state == Gone && now.Sub(en.goneAt) > forgetAfter {
			delete(ta.entries, name)
			continue
		}
		next.Members = append(next.Members, en.Member)
	}
	slices.SortFunc(next.Members, func(le, ri Member) int { return strings.Compare(le.Name, ri.Name) })
	ta.publish(next)
}

func (ta *Table) publish(next *View) {
	last := ta.view.Load()
	if last != nil {
		next.Version = last.Version
		if slices.EqualFunc(last.Members, next.Members, sameState) {
			ta.view.Store(next)
			return
		}
	}
	next.Version++
	ta.view.Store(next)
}

// sameState ignores the version of the configuration, which is not a change of
// membership.
func sameState(le, ri Member) bool {
	return le.Name == ri.Name && le.Peer == ri.Peer && le.State == ri.State && le.Started.Equal(ri.Started)
}

// zonesLastSeen returns, by zone, when any member of it was last seen.
func (ta *Table) zonesLastSeen() map[string]time.Time {
	lastSeen := make(map[string]time.Time)
	for _, en := range ta.entries {
		if en.lastSeen.After(lastSeen[en.Zone]) {
			lastSeen[en.Zone] = en.lastSeen
		}
	}
	return lastSeen
}
