package admission

import (
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/endpoint"
)

const (
	// maxPrefixes is the maximum number of prompt prefixes that are tracked.
	maxPrefixes = 16384
	// maxHolders is the maximum number of endpoints tracked per prefix.
	maxHolders = 4
	// affinityShare limits how much room a cached prefix may cost: an
	// endpoint that holds the prefix is preferred to the best one if its score
	// is lower by at most this share of the best one's memory.
	affinityShare = 0.1
)

// prefixes tracks which endpoints hold which prompt prefixes in their
// KV-cache. Cache events arrive late and with gaps. If an entry is wrong, the
// engine computes the prompt again.
type prefixes struct {
	holders map[uint64][]*account
	// order is a ring buffer of the tracked prefixes, with the oldest at next.
	order []uint64
	next  int
}

// add records that the endpoint holds the prefix. The oldest entries are
// evicted once maxHolders or maxPrefixes is reached.
func (pr *prefixes) add(prefix uint64, ac *account) {
	if prefix == 0 {
		return
	}
	list, found := pr.holders[prefix]
	if slices.Contains(list, ac) {
		return
	}
	if !found {
		pr.track(prefix)
	}
	if len(list) == maxHolders {
		list = append(list[:0], list[1:]...)
	}
	pr.holders[prefix] = append(list, ac)
}

func (pr *prefixes) track(prefix uint64) {
	if pr.holders == nil {
		pr.holders = make(map[uint64][]*account)
	}
	if len(pr.order) < maxPrefixes {
		pr.order = append(pr.order, prefix)
		return
	}
	delete(pr.holders, pr.order[pr.next])
	pr.order[pr.next] = prefix
	pr.next = (pr.next + 1) % maxPrefixes
}

// remove records that the endpoint no longer holds the prefix.
func (pr *prefixes) remove(prefix uint64, ac *account) {
	if list, found := pr.holders[prefix]; found {
		pr.holders[prefix] = slices.DeleteFunc(list, func(each *account) bool { return each == ac })
	}
}

// removeEndpoint removes all entries of an endpoint, because a restart empties
// its cache.
func (pr *prefixes) removeEndpoint(ac *account) {
	for prefix := range pr.holders {
		pr.remove(prefix, ac)
	}
}

// CacheEvents records which prompt prefixes an endpoint has cached or evicted.
func (al *Allocator) CacheEvents(_ time.Time, name string, list []endpoint.CacheEvent) {
	ac, found := al.accounts[name]
	if !found {
		return
	}
	for _, ev := range list {
		if ev.Evicted {
			al.prefixes.remove(ev.Prefix, ac)
		} else {
			al.prefixes.add(ev.Prefix, ac)
		}
	}
}

// preferPrefixHolder returns an endpoint that holds the prefix of the prompt,
// has room for the request and scores only slightly lower than best. If there
// is none, it returns best.
func (al *Allocator) preferPrefixHolder(dm *demand, best *account) *account {
	if dm.re.Prefix == 0 {
		return best
	}
	for _, ac := range al.prefixes.holders[dm.re.Prefix] {
		near := ac.index == best.index && ac.score >= best.score-affinityShare*best.memory()
		if ac != best && near && ac.ready() && ac.fits(dm) {
			return ac
		}
	}
	return best
}
