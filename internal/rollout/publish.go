package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// retirePeriod is the time from the completion of an order in which other versions count
// as those that it has replaced. Versions that appear later are plain releases.
const retirePeriod = 5 * time.Second

// pickTolerance is the part of an old endpoint's load that an endpoint of the target may
// get beyond it.
const pickTolerance = 0.2

// publish makes what is known visible to the request path. The caller must hold mu.
func (re *Registry) publish(now time.Time) {
	vi := &view{rules: make(map[string]*rule, len(re.services))}
	for name, se := range re.services {
		vi.rules[name] = re.rule(se, now)
	}
	re.views.Store(vi)
}

func (re *Registry) rule(se *service, now time.Time) *rule {
	ru := &rule{usable: se.usableVersions()}
	ro := se.rollout
	if ro == nil {
		se.useWithdrawn(ru)
		return ru
	}
	ru.target = ro.order.Target
	delete(ru.usable, ru.target)
	ru.mode = re.modeOf(ro, now)
	count, others := se.running(ru.target)
	alone := count > 0 && others == 0
	if alone && ro.inUse && ro.state == Pending {
		ru.mode = shared
	}
	ru.unread = others > 0 && len(ru.usable) == 0 && re.confirmedAt.Before(se.firstSeen)
	ru.leaving = ro.bad || ro.state == RolledBack
	switch ru.mode {
	case shared:
		ru.share, ru.moving = ro.currentShare(re.Bounds, now), ro.state == Promoting
		if !ru.moving && !alone {
			se.chooseEndpoints(ru, ro)
		}
	case targetOnly:
		se.retire(ru, ro)
	}
	return ru
}

// usableVersions returns the versions that may be used by what is known of the orders.
func (se *service) usableVersions() map[string]bool {
	usable := make(map[string]bool, len(se.versions))
	for name, ve := range se.versions {
		if ve.known && !ve.withdrawn {
			usable[name] = true
		}
	}
	return usable
}

// modeOf returns what the state of an order and the evidence allow. A stage that was
// not confirmed recently is not begun; one that was confirmed is kept.
func (re *Registry) modeOf(ro *rollout, now time.Time) mode {
	switch {
	case ro.state == Completed:
		return targetOnly
	case ro.state == Pending || ro.state == RolledBack || ro.bad || ro.halted:
		return oldOnly
	case ro.state == Canary && re.stale(now):
		return oldOnly
	}
	return shared
}

// useWithdrawn lets versions be used whose order was removed, if there is no other.
func (se *service) useWithdrawn(ru *rule) {
	for _, en := range se.endpoints {
		if ru.usable[en.Version] && !en.Leaving {
			return
		}
	}
	for name, ve := range se.versions {
		if ve.known {
			ru.usable[name] = true
		}
	}
}

// retire takes the versions out of use that a completed order has replaced, as long as
// there is an endpoint of its target.
func (se *service) retire(ru *rule, ro *rollout) {
	if count, _ := se.running(ru.target); count == 0 {
		return
	}
	ru.retired = make(map[string]bool)
	for name, ve := range se.versions {
		if name != ru.target && ve.seenAt.Sub(ro.stateAt) <= retirePeriod {
			ru.retired[name] = true
			delete(ru.usable, name)
		}
	}
}

// chooseEndpoints orders the endpoints of the target, the same at all instances, and
// sets how many of them get requests: so many that each gets no more than an old one.
// Outliers come last.
func (se *service) chooseEndpoints(ru *rule, ro *rollout) {
	if se.ranked == nil {
		se.ranked = se.rankedIDs(ru.target)
	}
	outliers := ro.outliers()
	ru.rank = make(map[string]int, len(se.ranked))
	for _, last := range []bool{false, true} {
		for _, id := range se.ranked {
			if outliers[id] == last {
				ru.rank[id] = len(ru.rank)
			}
		}
	}
	ru.picks = max(int(math.Ceil(ru.share*float64(len(se.ranked))-pickTolerance)), 1)
}

// rankedIDs returns the IDs of the endpoints of a version that do not leave, in the order
// of a hash.
func (se *service) rankedIDs(version string) []string {
	ids := make([]string, 0, len(se.endpoints))
	for ix := range se.endpoints {
		if en := &se.endpoints[ix]; en.Version == version && !en.Leaving {
			ids = append(ids, en.ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return ids
}

// running returns the numbers of endpoints of a version and of others that do not leave.
func (se *service) running(version string) (count, others int) {
	for ix := range se.endpoints {
		switch en := &se.endpoints[ix]; {
		case en.Leaving:
		case en.Version == version:
			count++
		default:
			others++
		}
	}
	return count, others
}
