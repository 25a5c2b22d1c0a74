package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// ServiceName is the name under which Service is registered with a peer.Server.
const ServiceName = "Member"

// maxReportedStates is the maximum number of members in ProbeReply.News.
const maxReportedStates = 16

// ProbeArgs describes the instance that makes a call. Started is in Unix
// milliseconds.
type ProbeArgs struct {
	Name    string
	Zone    string
	Peer    string
	Started int64
	Version int64
	Leaving bool
}

// ProbeReply describes the instance that answers. Started is in Unix
// milliseconds.
type ProbeReply struct {
	Name    string
	Zone    string
	Started int64
	Version int64
	Leaving bool
	// News lists the members of the answering instance's zone that are not
	// live. It is sent only to other zones, whose instances probe few of these
	// members.
	News []News
}

// News is the state of a member as seen by an instance of its zone.
type News struct {
	Name  string
	State State
}

// Contact is the peer address of a member.
type Contact struct {
	Name string
	Zone string
	Peer string
}

// targets returns the members to probe: zone peers, a few members of each other
// zone and, in every goneProbeRounds-th round, gone members, which may be
// reachable again after a network partition.
func (ta *Table) targets() []Member {
	list := append(ta.dueInRound(ta.ZonePeers()), ta.RemoteZonePeers()...)
	if ta.rounds.Load()%goneProbeRounds != 0 {
		return list
	}
	for _, me := range ta.View().Members {
		if me.State == Gone && me.Peer != "" {
			list = append(list, me)
		}
	}
	return list
}

// dueInRound returns the zone peers to probe in this round. In a large zone
// about half of the peers are due, because a probe informs both sides. Peers
// that did not answer the last probe are always due.
func (ta *Table) dueInRound(peers []Member) []Member {
	if len(peers) <= fullRoundPeers {
		return peers
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return slices.DeleteFunc(peers, func(me Member) bool {
		en, found := ta.entries[me.Name]
		notDue := xxhash.Sum64String(me.Name)%2 == uint64(ta.rounds.Load()%2)
		return notDue && found && en.missed == 0
	})
}

// remoteZoneTargets returns the members of another zone to probe: the first
// probesPerRemoteZone in rendezvous order. Suspected members are probed too but
// do not count towards this number, so that some of the probed members answer.
// The total is at most twice probesPerRemoteZone.
func remoteZoneTargets(self string, all []Member) []Member {
	var list []Member
	responsive := 0
	for _, me := range Rendezvous(self, all) {
		if responsive == probesPerRemoteZone || len(list) == 2*probesPerRemoteZone {
			break
		}
		if me.State != Suspected {
			responsive++
		}
		list = append(list, me)
	}
	return list
}

func (ta *Table) probeAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, me := range ta.targets() {
		wg.Go(func() { ta.probe(ctx, me) })
	}
	wg.Wait()
}

func (ta *Table) probe(ctx context.Context, me Member) {
	ctx, cancel := clockwork.WithTimeout(ctx, ta.Clock, probeTimeout)
	defer cancel()
	var re ProbeReply
	err := ta.Caller.Call(ctx, me.Peer, ServiceName+".Probe", ta.args(), &re)
	if err != nil || re.Name != me.Name {
		ta.count(ProbeFailed)
		ta.recordMissedProbe(me)
		return
	}
	ta.recordContact(Member{Name: re.Name, Zone: re.Zone, Peer: me.Peer, Version: re.Version, Started: time.UnixMilli(re.Started)}, re.Leaving)
	ta.applyReportedStates(re)
}

func (ta *Table) args() ProbeArgs {
	return ProbeArgs{
		Name: ta.Self.Name, Zone: ta.Self.Zone, Peer: ta.Self.Peer, Started: ta.Self.Started.UnixMilli(),
		Version: ta.Version(), Leaving: ta.leaving.Load(),
	}
}

func (ta *Table) recordMissedProbe(me Member) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if en, found := ta.entries[me.Name]; found && en.Peer == me.Peer {
		en.missed++
		en.missedAt = ta.Clock.Now()
	}
}

// recordContact updates the entry of a member that answered a probe or called
// this instance.
func (ta *Table) recordContact(me Member, leaving bool) {
	ta.mu.Lock()
	en := ta.addOrUpdate(me)
	if !me.Started.Before(en.Started) {
		en.lastSeen, en.missed = ta.Clock.Now(), 0
		en.leaving = en.leaving || leaving
		en.Version = max(en.Version, me.Version)
	}
	ta.mu.Unlock()
	if ta.OnContact != nil {
		ta.OnContact(me)
	}
}

// applyReportedStates stores the states that an instance of another zone
// reports for its zone. It clears the states of members that the report does not
// name, because live members are not reported. A report of the greatest length may
// lack some, so that it clears none.
func (ta *Table) applyReportedStates(re ProbeReply) {
	if re.Zone == ta.Self.Zone {
		return
	}
	reportedState := make(map[string]State, len(re.News))
	for _, ne := range re.News {
		reportedState[ne.Name] = ne.State
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for name, en := range ta.entries {
		if en.Zone != re.Zone {
			continue
		}
		if state, reported := reportedState[name]; reported || len(re.News) < maxReportedStates {
			en.reportedState = state
		}
	}
}

// askSeeds fetches members from the seeds when the platform does not answer.
func (ta *Table) askSeeds(ctx context.Context) {
	for _, address := range ta.Seeds {
		if address == ta.Self.Peer {
			continue
		}
		ta.fetchContacts(ctx, address)
	}
	ta.refresh()
}

func (ta *Table) fetchContacts(ctx context.Context, address string) {
	ctx, cancel := clockwork.WithTimeout(ctx, ta.Clock, probeTimeout)
	defer cancel()
	var list []Contact
	if err := ta.Caller.Call(ctx, address, ServiceName+".Contacts", ta.args(), &list); err != nil {
		ta.count(SeedFailed)
		return
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, co := range list {
		if co.Name != ta.Self.Name {
			ta.addOrUpdate(Member{Name: co.Name, Zone: co.Zone, Peer: co.Peer})
		}
	}
}

// Service is the net/rpc service that other instances call.
type Service struct {
	Table *Table
}

// Probe answers a probe and records the contact with the caller.
func (se *Service) Probe(args ProbeArgs, re *ProbeReply) error {
	ta := se.Table
	ta.recordContact(Member{Name: args.Name, Zone: args.Zone, Peer: args.Peer, Version: args.Version, Started: time.UnixMilli(args.Started)}, args.Leaving)
	own := ta.args()
	*re = ProbeReply{Name: own.Name, Zone: own.Zone, Started: own.Started, Version: own.Version, Leaving: own.Leaving}
	if args.Zone == own.Zone {
		return nil
	}
	for _, me := range ta.View().In(own.Zone, Joining, Leaving, Suspected, Gone) {
		if me.Name != own.Name {
			re.News = append(re.News, News{Name: me.Name, State: me.State})
		}
	}
	re.News = sample(re.News)
	return nil
}

// sample returns at most maxReportedStates states, chosen at random, so that several
// reports name all members.
func sample(list []News) []News {
	if len(list) <= maxReportedStates {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:maxReportedStates]
}

// Contacts returns the peer addresses of all members that are not gone, and
// records the contact with the caller.
func (se *Service) Contacts(args ProbeArgs, list *[]Contact) error {
	se.Table.recordContact(Member{Name: args.Name, Zone: args.Zone, Peer: args.Peer, Version: args.Version, Started: time.UnixMilli(args.Started)}, args.Leaving)
	for _, me := range se.Table.View().Members {
		if me.Present() {
			*list = append(*list, Contact{Name: me.Name, Zone: me.Zone, Peer: me.Peer})
		}
	}
	return nil
}
