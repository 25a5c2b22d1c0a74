package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// Log records the changes of the endpoints and of the registered instances, and
// serves them to other instances. Set the exported fields before use. It is safe
// for concurrent use.
type Log struct {
	Boot    boottime.Clock
	Roster  *roster.Roster
	State   *routing.State
	Members *loadshare.Members
	// Now is the clock to which the end of a cold start refers.
	Now func() time.Time
	// Epoch distinguishes this process from earlier ones of the same instance.
	Epoch int64
	// Eras may be nil.
	Eras *feed.Eras
	// Orders are the roll-outs. It is nil if operators order none.
	Orders *Orders
	// LapseTime is the shortest outage of the store in which entries of endpoints may expire
	// that live. Zero means DefaultLapseTime.
	LapseTime time.Duration
	// AnsweredElsewhere reports whether the store has answered another instance all the
	// while in which it did not answer this one. It may be nil if there is no other.
	AnsweredElsewhere func(silent time.Duration) bool
	// Informed reports whether this instance has asked others for what they know, after
	// its start. If it is nil, it need not.
	Informed func() bool

	// observing is held while the present state is read and recorded, so that no earlier
	// state is recorded after a later one.
	observing sync.Mutex

	mu        sync.Mutex
	endpoints history[roster.Endpoint]
	members   history[loadshare.Member]
	zones     []string
	version   int64
	silent    bool
	// orders is the number of the newest change of Orders.
	orders uint64
	wake   chan struct{}
	role   role
	// silentSince is the boot time at which a call of this instance last failed, or
	// the reader that it follows last reported that the store does not answer; zero if
	// neither ever happened. Only a confirmation from later ends the silence: another
	// candidate that has not asked the store knows nothing of it.
	silentSince time.Duration
	continuity  continuity
	// outageEnd is when an outage ended in which entries may have expired, by Now; zero if
	// there was none.
	outageEnd time.Time
	// judged is closed when it is known what the end of a silence means, nil if there is
	// none to judge.
	judged chan struct{}
	// failures is the number of calls about the configuration that failed since
	// the last answered one, and failingSince the boot time of the first of them.
	// endedAt is the boot time at which the last call was answered or failed.
	failures              int
	failingSince, endedAt time.Duration
	// lastAnswer is the boot time at which the last answered call about
	// endpoints was sent; zero if there is none.
	lastAnswer time.Duration
}

// role states from where an instance gets its state.
type role struct {
	// direct is set while the instance reads the store itself.
	direct bool
	// unable is set after the store did not answer, until the next attempt.
	unable bool
	// doubtful is set while the instance reads the store and has waited for an answer for
	// longer than one takes.
	doubtful bool
	// hops is the number of instances between this one and the store, and reader
	// the one of them that reads it.
	hops   int
	reader string
}

// Observe records the differences to the current state of Roster, State and
// Members.
func (lo *Log) Observe() {
	lo.observing.Lock()
	defer lo.observing.Unlock()
	vi, version := lo.Roster.View(), lo.versionInForce()
	silent, orders := lo.StoreUnresponsive(), lo.Orders.changes()
	lo.mu.Lock()
	defer lo.mu.Unlock()
	endpointsBefore, membersBefore := lo.endpoints.sequence, lo.members.sequence
	lo.endpoints.observe(vi.All())
	lo.members.observe(lo.membersByName())
	if zones := vi.Evacuated(); version != lo.version || silent != lo.silent || orders != lo.orders || !slices.Equal(zones, lo.zones) {
		lo.zones, lo.version, lo.silent, lo.orders = zones, version, silent, orders
		lo.endpoints.append("")
	}
	if lo.endpoints.sequence != endpointsBefore || lo.members.sequence != membersBefore {
		lo.wakeAll()
	}
}

// versionInForce returns the version of the configuration in force, or zero if there is
// none.
func (lo *Log) versionInForce() int64 {
	if cf := lo.State.Load(); cf != nil {
		return cf.Version
	}
	return 0
}

func (lo *Log) membersByName() map[string]loadshare.Member {
	byName := make(map[string]loadshare.Member)
	if lo.Members == nil {
		return byName
	}
	for _, me := range lo.Members.List() {
		byName[me.Name] = me
	}
	return byName
}

// wakeAll answers all held calls. The caller holds mu.
func (lo *Log) wakeAll() {
	if lo.wake != nil {
		close(lo.wake)
		lo.wake = nil
	}
}

// setRole records from where this instance gets its state. Followers learn at
// once of a reader that stops reading.
func (lo *Log) setRole(ro role) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.role == ro {
		return
	}
	stopped := lo.role.direct && !ro.direct
	lo.role = ro
	if stopped {
		lo.tellFollowers()
	}
}

// tellFollowers answers all held calls with the present role. The caller holds mu.
func (lo *Log) tellFollowers() {
	lo.endpoints.append("")
	lo.wakeAll()
}

// Wait answers a query as soon as there is a change, or without one after
// qu.Wait.
func (lo *Log) Wait(ctx context.Context, qu Query) Update {
	begun := lo.Boot.Now()
	ctx, cancel := context.WithTimeout(ctx, qu.Wait)
	defer cancel()
	for {
		lo.mu.Lock()
		if lo.changedSince(qu) || ctx.Err() != nil {
			up := lo.update(qu)
			lo.mu.Unlock()
			up.Held = lo.Boot.Now() - begun
			return up
		}
		if lo.wake == nil {
			lo.wake = make(chan struct{})
		}
		wake := lo.wake
		lo.mu.Unlock()
		select {
		case <-wake:
		case <-ctx.Done():
		}
	}
}

// changedSince reports whether the sender of a query lacks changes. The caller
// holds mu.
func (lo *Log) changedSince(qu Query) bool {
	return qu.Epoch != lo.Epoch || qu.Sequence != lo.endpoints.sequence || qu.Members && qu.MembersSequence != lo.members.sequence
}

// unknownAge is the age that is reported if the store has not confirmed
// anything yet.
const unknownAge = 24 * time.Hour

// status returns the state of this instance as a reader. The caller holds mu.
func (lo *Log) status() Status {
	st := Status{Direct: lo.role.direct, Unable: lo.role.unable, Hops: lo.role.hops, Reader: lo.role.reader, ConfigurationAge: unknownAge, EndpointsAge: unknownAge}
	if age, confirmed := lo.State.Age(); confirmed {
		st.ConfigurationAge = age
	}
	now := lo.Boot.Now()
	if lo.lastAnswer > 0 {
		st.EndpointsAge = now - lo.lastAnswer
	}
	st.Unbroken = lo.continuity.unbroken(now, lo.lapseTime())
	return st
}

// update builds the answer to a query. The caller holds mu.
func (lo *Log) update(qu Query) Update {
	st := lo.status()
	up := Update{
		Direct: st.Direct, Unable: st.Unable, Hops: st.Hops, Reader: st.Reader, ConfigurationAge: st.ConfigurationAge, EndpointsAge: st.EndpointsAge,
		Epoch: lo.Epoch, Sequence: lo.endpoints.sequence, MembersSequence: lo.members.sequence,
		Silent: lo.silent, Zones: lo.zones, ZonesUnknown: !lo.Roster.View().ZonesListed, Version: lo.version,
	}
	if era, known := lo.Eras.Newest(); known {
		up.Era = era + 1
	}
	if answered := lo.continuity.answered; answered > 0 {
		up.AnsweredAge = lo.Boot.Now() - answered + 1
	}
	up.OutageAge, up.Doubtful = lo.outageAge(), lo.role.doubtful
	up.Orders, up.OrdersAge, up.HasOrders = lo.Orders.current()
	known := false
	if qu.Epoch == lo.Epoch {
		up.Endpoints, up.Removed, known = lo.endpoints.since(qu.Sequence)
	}
	if up.Full = !known; up.Full {
		up.Endpoints = lo.endpoints.all()
	}
	for ix := range up.Endpoints {
		up.Endpoints[ix] = lo.withRemainingColdTime(up.Endpoints[ix])
	}
	if qu.Members {
		up.Members = lo.membersSince(qu)
	}
	return up
}

// membersSince returns the instances that the sender of a query lacks. The
// caller holds mu.
func (lo *Log) membersSince(qu Query) []loadshare.Member {
	if qu.Epoch == lo.Epoch {
		if changed, _, known := lo.members.since(qu.MembersSequence); known {
			return changed
		}
	}
	return lo.members.all()
}

// withRemainingColdTime replaces the end of the cold start by its remaining
// time, because the clocks of two instances are not comparable.
func (lo *Log) withRemainingColdTime(en roster.Endpoint) roster.Endpoint {
	en.ColdFor = max(en.ColdUntil.Sub(lo.Now()), 0)
	en.ColdUntil = time.Time{}
	return en
}
