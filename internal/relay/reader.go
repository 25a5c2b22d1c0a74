package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/loadshare"
)

// readerOf returns the instance that reads the store for a zone: the one with
// the fastest link among those alive. Ties are broken by a hash of the name,
// which spreads the work if zones have many instances.
func readerOf(list []loadshare.Member, self, zone string, alive func(name string) bool) (loadshare.Member, bool) {
	var eligible []loadshare.Member
	for _, me := range list {
		if me.Zone == zone && (me.Name == self || alive(me.Name)) {
			eligible = append(eligible, me)
		}
	}
	if len(eligible) == 0 {
		return loadshare.Member{}, false
	}
	return slices.MinFunc(eligible, func(a, b loadshare.Member) int {
		if order := cmp.Compare(b.LinkMbps, a.LinkMbps); order != 0 {
			return order
		}
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	}), true
}

// readersOf returns the readers of the other zones, sorted by zone.
func readersOf(list []loadshare.Member, self, zone string, alive func(name string) bool) []loadshare.Member {
	zones := make(map[string]bool)
	for _, me := range list {
		if me.Zone != zone {
			zones[me.Zone] = true
		}
	}
	var readers []loadshare.Member
	for _, other := range slices.Sorted(maps.Keys(zones)) {
		if me, found := readerOf(list, self, other, alive); found {
			readers = append(readers, me)
		}
	}
	return readers
}
