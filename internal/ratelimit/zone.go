package ratelimit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/loadshare"
)

// heartbeat is the longest time between two messages of an instance to its own zone.
const heartbeat = time.Second

// strongLink is the bandwidth, in Mbit/s, from which on more bandwidth does not raise the
// rank of an instance in its zone.
const strongLink = 50

// ZoneView is how an instance sees the instances of one availability zone.
type ZoneView struct {
	// Allocator is the instance of the zone that decides for the others. It is nil if
	// no instance of the zone is alive.
	Allocator *loadshare.Member
	// Informed is set if this instance has run without a pause for long enough to have
	// heard from each of the others.
	Informed bool
	// Alive is the number of instances of the zone that are alive.
	Alive int
}

// Zone returns the view of the instances of a zone. The allocator is the one with the
// highest rank for key: the faster link, up to strongLink, then a hash. All that hear of the same instances
// agree on it. Instances in without are left out.
func (pe *Peers) Zone(zone, key string, without ...string) ZoneView {
	now := pe.Boot.Now()
	list := pe.Members.List()
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.check(now)
	vi := ZoneView{Informed: now-pe.awakeSince >= heartbeat}
	var best zoneRank
	for ix, me := range list {
		if me.Zone != zone || slices.Contains(without, me.Name) {
			continue
		}
		if alive, _ := pe.status(me, now); !alive {
			continue
		}
		vi.Alive++
		ra := zoneRank{link: min(me.LinkMbps, strongLink), hash: xxhash.Sum64String(key + "/" + me.Name)}
		if vi.Allocator == nil || best.lower(ra) {
			vi.Allocator, best = &list[ix], ra
		}
	}
	return vi
}

// zoneRank orders the instances of a zone.
type zoneRank struct {
	link int
	hash uint64
}

// lower reports whether a rank is lower than another.
func (ra zoneRank) lower(other zoneRank) bool {
	if ra.link != other.link {
		return ra.link < other.link
	}
	return ra.hash < other.hash
}
