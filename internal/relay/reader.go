package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/loadshare"
)

// candidates returns the instances of a zone that may read the store for it, in
// the order in which they do: those with the fastest link first. Ties are broken
// by a hash of the name, which spreads the work if zones have many instances.
// Self is always one of them.
func candidates(list []loadshare.Member, self loadshare.Member, alive func(name string) bool) []loadshare.Member {
	eligible := []loadshare.Member{self}
	for _, me := range list {
		if me.Zone == self.Zone && me.Name != self.Name && alive(me.Name) {
			eligible = append(eligible, me)
		}
	}
	slices.SortFunc(eligible, byLink)
	return eligible
}

func byLink(a, b loadshare.Member) int {
	if order := cmp.Compare(b.LinkMbps, a.LinkMbps); order != 0 {
		return order
	}
	return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
}

// readersOf returns the first candidate of each zone other than that of self.
// Different instances start with different zones, so that the readers of the
// other zones share the additional load.
func readersOf(list []loadshare.Member, self loadshare.Member, alive func(name string) bool) []loadshare.Member {
	first := make(map[string]loadshare.Member)
	for _, me := range list {
		if me.Zone == self.Zone || !alive(me.Name) {
			continue
		}
		if best, found := first[me.Zone]; !found || byLink(me, best) < 0 {
			first[me.Zone] = me
		}
	}
	zones := slices.Sorted(maps.Keys(first))
	readers := make([]loadshare.Member, 0, len(zones))
	for ix := range zones {
		start := int(xxhash.Sum64String(self.Name) % uint64(len(zones)))
		readers = append(readers, first[zones[(start+ix)%len(zones)]])
	}
	return readers
}
