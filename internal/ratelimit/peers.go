package ratelimit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/loadshare"
)

const (
	// silence is the time without a message after which an instance no longer counts
	// as alive. It is three heartbeats of loadshare.
	silence = 3 * time.Second
	// forgetAfter is the time without a message after which an instance counts as
	// removed and not as cut off.
	forgetAfter = time.Minute
	// maxGap is the time without a call of Check after which this process counts as
	// paused.
	maxGap = time.Second
	// unknownInstances is the number of instances that is assumed before it is known.
	unknownInstances = 100
)

// Peers knows which instances are alive, and from that which of them divides the
// limit of an endpoint. Set the exported fields before use. It is safe for
// concurrent use.
type Peers struct {
	Self    loadshare.Member
	Members *loadshare.Members
	Boot    boottime.Clock

	mu sync.Mutex
	// heard has when the last message of another instance arrived, or when the
	// instance was first listed.
	heard map[string]contact
	// checkedAt is when Check was last called. awakeSince is the end of the last
	// time for which this process did not run, startedAt its start.
	checkedAt, awakeSince, startedAt time.Duration
	started                          bool
}

type contact struct {
	at time.Duration
	// listedOnly is set until a message arrives.
	listedOnly bool
}

// Heard records that a message of another instance has arrived.
func (pe *Peers) Heard(name string) {
	now := pe.Boot.Now()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.check(now)
	pe.heard[name] = contact{at: now}
}

// Check must be called several times a second. A longer gap shows that this process
// was paused.
func (pe *Peers) Check() {
	now := pe.Boot.Now()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.check(now)
}

// check detects pauses. The caller must hold mu.
func (pe *Peers) check(now time.Duration) {
	if pe.heard == nil {
		pe.heard = make(map[string]contact)
	}
	switch {
	case !pe.started:
		pe.started, pe.startedAt, pe.awakeSince = true, now, now
	case now-pe.checkedAt > maxGap:
		pe.awakeSince = now
	}
	pe.checkedAt = now
}

// View is what an instance knows of the others at one moment.
type View struct {
	// Allocator is the instance that divides the limit. It is nil if the list of
	// instances is not known yet.
	Allocator *loadshare.Member
	// Settled is set if this instance has run without a pause for long enough that
	// the others and it know of each other.
	Settled bool
	// Starting is set if it is not settled because its process has just started, and not
	// because of a pause.
	Starting bool
	// Alive is the number of instances that are alive, and Total the number that
	// are alive or cut off.
	Alive, Total int
}

// Starting returns View.Starting, which is the same for all endpoints.
func (pe *Peers) Starting() bool {
	now := pe.Boot.Now()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.check(now)
	return pe.isStarting(now)
}

// isSettled is View.Settled. The caller must hold mu.
func (pe *Peers) isSettled(now time.Duration) bool { return now-pe.awakeSince >= silence }

// isStarting is View.Starting. The caller must hold mu.
func (pe *Peers) isStarting(now time.Duration) bool {
	return !pe.isSettled(now) && pe.awakeSince == pe.startedAt
}

// View returns what this instance knows, for an endpoint in a given zone.
func (pe *Peers) View(endpoint, zone string) View {
	now := pe.Boot.Now()
	list := pe.Members.List()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.check(now)
	vi := View{Settled: pe.isSettled(now), Starting: pe.isStarting(now)}
	best := rankOf{}
	for ix, me := range list {
		alive, counts := pe.status(me, now)
		if counts {
			vi.Total++
		}
		if !alive {
			continue
		}
		vi.Alive++
		if best.sameZone && me.Zone != zone {
			continue
		}
		if ra := (rankOf{sameZone: me.Zone == zone, hash: xxhash.Sum64String(endpoint + "/" + me.Name)}); vi.Allocator == nil || best.before(ra) {
			vi.Allocator, best = &list[ix], ra
		}
	}
	if vi.Total == 0 {
		vi.Total = unknownInstances
	}
	return vi
}

// rankOf orders the instances for an endpoint. Those in its own zone come first,
// because they reach each other and the endpoint when the zone is cut off.
type rankOf struct {
	sameZone bool
	hash     uint64
}

func (ra rankOf) before(other rankOf) bool {
	if ra.sameZone != other.sameZone {
		return other.sameZone
	}
	return ra.hash < other.hash
}

// status reports whether an instance is alive, and whether it counts among those
// that are alive or cut off. For a while after its start, an instance takes all
// others as alive. The caller must hold mu.
func (pe *Peers) status(me loadshare.Member, now time.Duration) (alive, counts bool) {
	if me.Name == pe.Self.Name {
		return true, true
	}
	co, known := pe.heard[me.Name]
	if !known {
		co = contact{at: now, listedOnly: true}
		pe.heard[me.Name] = co
	}
	if !pe.isSettled(now) {
		return true, true
	}
	return !co.listedOnly && now-co.at <= silence, now-co.at <= forgetAfter
}
