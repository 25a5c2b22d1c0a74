package allocation

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// viewWindow is how long a replaced view counts at least, in addition to
	// the last two views.
	viewWindow = 10 * time.Second
	// minViews is the number of views that count regardless of their age.
	minViews = 2
	// departedShareLifetime is how long an instance may still use a share
	// after it has left the list.
	departedShareLifetime = 10 * time.Minute
)

// view is a list of members and the time at which it was first seen.
type view struct {
	from    time.Time
	members []string
}

// views are the newest member views of one zone, oldest first. They are
// immutable.
//
// An instance computes its share from the union of its last views. It takes
// none unless it has at least two views and all of them contain it. Let V be a
// view that all instances have among their last ones. It exists if their
// newest views are at most one version apart. Every instance that takes a
// share is in V. A union contains at least V's members, so the instance's rank
// in it is no better than in V and the number of members is no lower, and its
// share is at most its share by V. The shares by V add up to all places.
//
// A single view counts once it is confirmed: all its members have it as their
// newest view, and none of them has an older view with another instance that
// may still use a share.
type views struct {
	list      []view
	confirmed bool
}

// with returns the views after the platform listed members at now. It drops
// the views that no longer count only if members differ from the newest view.
func (vi *views) with(now time.Time, members []string) *views {
	members = slices.Sorted(slices.Values(members))
	if slices.Equal(vi.newest(), members) {
		return vi
	}
	next := &views{list: append(slices.Clone(vi.list), view{from: now, members: members})}
	for len(next.list) > minViews && now.Sub(next.list[1].from) > viewWindow {
		next.list = next.list[1:]
	}
	return next
}

// withConfirmed returns only the newest view, marked as confirmed.
func (vi *views) withConfirmed() *views {
	return &views{list: vi.list[len(vi.list)-1:], confirmed: true}
}

// coversOlder reports whether the newest view contains every member of the
// older views that may still use a share. It is false if there is no view.
func (vi *views) coversOlder(now time.Time) bool {
	newest := vi.newest()
	for ix := 0; ix+1 < len(vi.list); ix++ {
		if now.Sub(vi.list[ix+1].from) > departedShareLifetime {
			continue
		}
		for _, name := range vi.list[ix].members {
			if !slices.Contains(newest, name) {
				return false
			}
		}
	}
	return len(newest) > 0
}

// newest returns the members of the newest view, sorted, or nil if there is
// none.
func (vi *views) newest() []string {
	if len(vi.list) == 0 {
		return nil
	}
	return vi.list[len(vi.list)-1].members
}

// share returns how many of an endpoint's places the instance may use on its
// own. It is zero while only one, unconfirmed view is known, because other
// instances may still have the view before it, which may lack the instance.
func (vi *views) share(instance, endpoint string, places int) int {
	if len(vi.list) < minViews && !vi.confirmed {
		return 0
	}
	for _, it := range vi.list {
		if !slices.Contains(it.members, instance) {
			return 0
		}
	}
	return shareOf(vi.union(), instance, endpoint, places)
}

// union returns the members of all views that are kept, sorted.
func (vi *views) union() []string {
	var union []string
	for _, it := range vi.list {
		union = append(union, it.members...)
	}
	slices.Sort(union)
	return slices.Compact(union)
}

// maxShare returns an upper bound on another instance's share.
func (vi *views) maxShare(instance, endpoint string, places int) int {
	most := 0
	for _, it := range vi.list {
		if slices.Contains(it.members, instance) {
			most = max(most, shareOf(it.members, instance, endpoint, places))
		}
	}
	return most
}

// shareOf distributes places round-robin over the members in the endpoint's
// rendezvous order: each member gets places/len(members), and the first
// places%len(members) members get one more.
func shareOf(members []string, instance, endpoint string, places int) int {
	own := rendezvousScore(endpoint, instance)
	rank := 0
	for _, name := range members {
		score := rendezvousScore(endpoint, name)
		if score < own || (score == own && name < instance) {
			rank++
		}
	}
	if rank >= places {
		return 0
	}
	return (places-rank-1)/len(members) + 1
}

// rendezvousScore returns the rendezvous hash of an instance for an endpoint,
// lease or zone. The lowest score comes first.
func rendezvousScore(endpoint, instance string) uint64 {
	return xxhash.Sum64String(endpoint + "\x00" + instance)
}
