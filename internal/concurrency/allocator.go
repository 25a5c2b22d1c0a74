package concurrency

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// leaseMargin is added to the lease of a slot, for the way of the message that gives
	// it back.
	leaseMargin = 200 * time.Millisecond
	// maxWaiting is the largest number of requests that wait for one endpoint.
	maxWaiting = 1024
	// holdLifetime is the time for which a report of requests in progress counts. It is
	// three intervals of reports.
	holdLifetime = 3 * reportInterval
	// collectTime is the time after the first call for an endpoint in which no slots are
	// given out, so that all instances can report their requests in progress.
	collectTime = 400 * time.Millisecond
	// roomStep is the time after which an endpoint that turned a request away may get one
	// more than it had at that moment.
	roomStep = 1500 * time.Millisecond
	// maxFirstSlot limits the number of the first slot of a process. The number is chosen at
	// random, so that a slot of the process before is not taken for one of this one.
	maxFirstSlot = 1 << 62
	// retryAfter is the time after which a request that got no slot may ask again.
	retryAfter = 50 * time.Millisecond
)

// Allocator gives out the slots of the endpoints for which this instance is the
// allocator. Set the exported fields before use. It is safe for concurrent use.
type Allocator struct {
	Peers *ratelimit.Peers
	Boot  boottime.Clock

	mu        sync.Mutex
	endpoints map[key]*endpoint
	lastSlot  uint64
	// epoch tells the accounts of different processes of an instance apart.
	epoch int64
}

// key identifies a process of an endpoint.
type key struct {
	endpoint string
	started  int64
}

func keyOf(en roster.Endpoint) key { return key{endpoint: en.ID, started: en.Started} }

// endpoint has the slots of one endpoint.
type endpoint struct {
	// since is when the account began, usedAt when it was last asked.
	since, usedAt time.Duration
	// slots is how many requests this part of the fleet may have in progress.
	slots int
	// starting is ratelimit.View.Starting of this instance.
	starting bool
	// taken maps the slots that are given out, by number, to the end of their leases.
	taken map[uint64]time.Duration
	// holds has the requests in progress that have no slot of this account, by instance.
	holds   map[string]hold
	waiting []*waiter
	// room is how many requests the endpoint had room for when it last turned one away,
	// at roomAt. It is below zero if it turned none away.
	room   int
	roomAt time.Duration
}

// hold is the number of requests in progress that an instance reported.
type hold struct {
	count int
	until time.Duration
	// process and sequence are those of the report.
	process  int64
	sequence uint64
}

// waiter is a request that waits for a slot.
type waiter struct {
	lease time.Duration
	// granted receives the number of the slot.
	granted chan uint64
}

// TakeArgs asks for a slot of an endpoint.
type TakeArgs struct {
	Endpoint string
	// Started is the start time of the endpoint's process.
	Started int64
	// Zone is the availability zone of the endpoint.
	Zone string
	// Slots is the number of requests that the endpoint processes at once.
	Slots int
	// MaxWait is how long the request can wait.
	MaxWait time.Duration
	// Lease is the time for which the request needs the slot at most.
	Lease time.Duration
}

func (ar TakeArgs) key() key { return key{endpoint: ar.Endpoint, started: ar.Started} }

// TakeReply is the answer to TakeArgs.
type TakeReply struct {
	// IsAllocator is false if the asked instance does not give out these slots, or not
	// yet.
	IsAllocator bool
	// Epoch is that of the allocator's process. Instances of earlier versions send none;
	// it is zero then.
	Epoch int64
	// Slot is the number of the slot, or zero if there was none in time.
	Slot uint64
}

// ReleaseArgs gives a slot back.
type ReleaseArgs struct {
	Endpoint string
	Started  int64
	Slot     uint64
	// TurnedAway is set if the endpoint had no room for the request. Instances of earlier
	// versions ignore it.
	TurnedAway bool
}

func (ar ReleaseArgs) key() key { return key{endpoint: ar.Endpoint, started: ar.Started} }

// Take gives out a slot, if this instance is the allocator and there is one in time.
func (al *Allocator) Take(ar TakeArgs) TakeReply {
	vi := al.Peers.View(ar.Endpoint, ar.Zone)
	if vi.Allocator == nil || vi.Allocator.Name != al.Peers.Self.Name || !vi.Settled && !vi.Starting {
		// After a pause, a call may have waited for so long that the slot would not be used.
		return TakeReply{}
	}
	slots := ar.Slots * vi.Alive / max(vi.Total, 1)
	if slots == 0 {
		// The part that can be reached has less than a slot; its instances take turns.
		return TakeReply{}
	}
	slot, wa := al.takeOrWait(ar, slots, vi.Starting)
	if wa == nil {
		return TakeReply{IsAllocator: true, Epoch: al.Epoch(), Slot: slot}
	}
	ti := time.NewTimer(ar.MaxWait)
	defer ti.Stop()
	select {
	case slot = <-wa.granted:
	case <-ti.C:
		slot = al.giveUp(ar.key(), wa)
	}
	return TakeReply{IsAllocator: true, Epoch: al.Epoch(), Slot: slot}
}

// takeOrWait takes a free slot, or else adds a waiter if the request can wait.
func (al *Allocator) takeOrWait(ar TakeArgs, slots int, starting bool) (uint64, *waiter) {
	al.mu.Lock()
	defer al.mu.Unlock()
	en := al.endpoint(ar.key())
	en.slots, en.starting = slots, starting
	al.grantWaiting(en)
	if len(en.waiting) == 0 && en.hasRoom(al.Boot.Now()) {
		return al.grant(en, ar.Lease), nil
	}
	if ar.MaxWait <= 0 || len(en.waiting) >= maxWaiting {
		return 0, nil
	}
	wa := &waiter{lease: ar.Lease, granted: make(chan uint64, 1)}
	en.waiting = append(en.waiting, wa)
	return 0, wa
}

// endpoint returns the account of an endpoint. The caller must hold mu.
func (al *Allocator) endpoint(ke key) *endpoint {
	en := al.endpoints[ke]
	if en == nil {
		if al.endpoints == nil {
			al.endpoints = make(map[key]*endpoint)
		}
		en = &endpoint{since: al.Boot.Now(), taken: make(map[uint64]time.Duration), holds: make(map[string]hold), room: -1}
		al.endpoints[ke] = en
	}
	en.usedAt = al.Boot.Now()
	return en
}

// Epoch returns a number that differs between the processes of an instance. It is not
// zero.
func (al *Allocator) Epoch() int64 {
	al.mu.Lock()
	defer al.mu.Unlock()
	if al.epoch == 0 {
		al.epoch = rand.Int64N(math.MaxInt64-1) + 1
	}
	return al.epoch
}

// inProgress returns the number of requests in progress at the endpoint.
func (en *endpoint) inProgress() int {
	count := len(en.taken)
	for _, ho := range en.holds {
		count += ho.count
	}
	return count
}

// hasRoom reports whether a slot may be given out. An instance that has just started gives
// out one at a time, after all others have reported: without it, each of them would send
// a request to find out whether there is room.
func (en *endpoint) hasRoom(now time.Duration) bool {
	bound := en.slots
	if en.room >= 0 {
		bound = min(bound, en.room+int((now-en.roomAt)/roomStep))
	}
	if en.starting && (now-en.since < reportInterval+collectTime || len(en.taken) > 0) {
		return false
	}
	return now-en.since >= collectTime && en.inProgress() < bound
}

// turnedAway records that the endpoint had room for count requests only.
func (en *endpoint) turnedAway(count int, now time.Duration) { en.room, en.roomAt = count, now }

// grant gives out a slot. The caller must hold mu.
func (al *Allocator) grant(en *endpoint, lease time.Duration) uint64 {
	if al.lastSlot == 0 {
		al.lastSlot = rand.Uint64N(maxFirstSlot)
	}
	al.lastSlot++
	en.taken[al.lastSlot] = al.Boot.Now() + lease + leaseMargin
	return al.lastSlot
}

// grantWaiting gives free slots to the requests that wait, the one that waits longest
// first. The caller must hold mu.
func (al *Allocator) grantWaiting(en *endpoint) {
	now := al.Boot.Now()
	en.expire(now)
	for len(en.waiting) > 0 && en.hasRoom(now) {
		wa := en.waiting[0]
		en.waiting = en.waiting[1:]
		wa.granted <- al.grant(en, wa.lease)
	}
}

// giveUp removes a waiter. It returns a slot that was given out in the meantime.
func (al *Allocator) giveUp(ke key, wa *waiter) uint64 {
	al.mu.Lock()
	defer al.mu.Unlock()
	if en := al.endpoints[ke]; en != nil {
		en.waiting = slices.DeleteFunc(en.waiting, func(other *waiter) bool { return other == wa })
	}
	select {
	case slot := <-wa.granted:
		return slot
	default:
		return 0
	}
}

// Release takes a slot back and gives it to the next request.
func (al *Allocator) Release(ar ReleaseArgs) {
	al.mu.Lock()
	defer al.mu.Unlock()
	en := al.endpoints[ar.key()]
	if en == nil {
		return
	}
	if _, taken := en.taken[ar.Slot]; !taken {
		return
	}
	delete(en.taken, ar.Slot)
	if ar.TurnedAway {
		en.turnedAway(en.inProgress(), al.Boot.Now())
	}
	al.grantWaiting(en)
}

// expire drops the slots whose leases have ended, and reports that are too old.
func (en *endpoint) expire(now time.Duration) {
	maps.DeleteFunc(en.taken, func(_ uint64, until time.Duration) bool { return now > until })
	maps.DeleteFunc(en.holds, func(_ string, ho hold) bool { return now > ho.until })
}

// Check gives out slots that have become free by the passing of time. It must be called
// several times a second.
func (al *Allocator) Check() {
	starting := al.Peers.Starting()
	al.mu.Lock()
	defer al.mu.Unlock()
	for _, en := range al.endpoints {
		en.starting = starting
		al.grantWaiting(en)
	}
}

// pruneAfter is the time for which an account without requests is kept.
const pruneAfter = time.Minute

// Prune drops the accounts of endpoints without requests.
func (al *Allocator) Prune() {
	now := al.Boot.Now()
	al.mu.Lock()
	defer al.mu.Unlock()
	for ke, en := range al.endpoints {
		if en.expire(now); en.inProgress()+len(en.waiting) == 0 && now-en.usedAt > pruneAfter {
			delete(al.endpoints, ke)
		}
	}
}

// ServiceName is the name of the net/rpc service of an Allocator.
const ServiceName = "Concurrency"

// Service serves an Allocator over net/rpc.
type Service struct{ al *Allocator }

// Service returns the net/rpc service.
func (al *Allocator) Service() *Service { return &Service{al: al} }

// Take is Allocator.Take as net/rpc requires it.
func (se *Service) Take(ar TakeArgs, re *TakeReply) (err error) {
	defer peer.Recover(&err)
	*re = se.al.Take(ar)
	return nil
}

// Release is Allocator.Release as net/rpc requires it.
func (se *Service) Release(ar ReleaseArgs, _ *ReleaseReply) (err error) {
	defer peer.Recover(&err)
	se.al.Release(ar)
	return nil
}

// Report is Allocator.Report as net/rpc requires it.
func (se *Service) Report(ar ReportArgs, re *ReportReply) (err error) {
	defer peer.Recover(&err)
	*re = se.al.Report(ar)
	return nil
}

// ReleaseReply is the answer to ReleaseArgs.
type ReleaseReply struct {
	// Reserved is unused. It is present because gob cannot encode empty structs.
	Reserved bool
}
