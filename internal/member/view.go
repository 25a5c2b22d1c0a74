package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as this instance sees it. Instances may
// differ.
type State string

// The states of a member.
const (
	// Joining members are known but have reported no configuration yet.
	Joining State = "joining"
	// Live members take requests.
	Live State = "live"
	// Leaving members take no new requests and finish those in flight.
	Leaving State = "leaving"
	// Suspected members did not answer the last probes.
	Suspected State = "suspected"
	// Gone members have gone unseen for too long, or have left.
	Gone State = "gone"
)

// Member is the identity and the last known state of one entry instance.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Peer is the host and port on which the instance serves net/rpc.
	Peer  string `json:"peer"`
	State State  `json:"state"`
	// Version is the version of the configuration in force on the member at the
	// last contact, zero if it has reported none.
	Version int64 `json:"version"`
	// Started is when the instance started. It distinguishes instances that
	// reuse a name.
	Started time.Time `json:"started"`
}

// Present reports whether the member may still be running.
func (me Member) Present() bool { return me.State != Gone }

// View is an immutable snapshot of the members.
type View struct {
	// Version increases with each change of the membership, or of a member's
	// state, peer address or start time.
	Version int64
	// Members are all known instances, including this one, sorted by name.
	Members []Member
}

// Member returns the member with this name.
func (vi *View) Member(name string) (Member, bool) {
	ix := slices.IndexFunc(vi.Members, func(me Member) bool { return me.Name == name })
	if ix < 0 {
		return Member{}, false
	}
	return vi.Members[ix], true
}

// In returns the members of a zone that are in any of the given states.
func (vi *View) In(zone string, states ...State) []Member {
	var list []Member
	for _, me := range vi.Members {
		if me.Zone == zone && slices.Contains(states, me.State) {
			list = append(list, me)
		}
	}
	return list
}

// Zones returns the sorted zones of all members that are not gone.
func (vi *View) Zones() []string {
	var zones []string
	for _, me := range vi.Members {
		if me.Present() && !slices.Contains(zones, me.Zone) {
			zones = append(zones, me.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Rendezvous returns the members in the order of rendezvous hashing for a key.
// The order depends only on the names and the key; removing a member does not
// reorder the others.
func Rendezvous(key string, members []Member) []Member {
	weights := make(map[string]uint64, len(members))
	for _, me := range members {
		weights[me.Name] = xxhash.Sum64String(key + "\x00" + me.Name)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(le, ri Member) int {
		if weights[le.Name] != weights[ri.Name] {
			if weights[le.Name] > weights[ri.Name] {
				return -1
			}
			return 1
		}
		return strings.Compare(le.Name, ri.Name)
	})
	return ranked
}
