package allocation

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/pkg/kind"
)

// acquireFromShare takes a place from this instance's share, without a holder.
// It returns nil if the share has no free place.
func (gt *Granter) acquireFromShare(cf *kind.Configuration, gr Group, at *attempt) *admission.Grant {
	li := gt.link(gr)
	if !li.hasShare() {
		return nil
	}
	now := gt.Clock.Now()
	li.mu.Lock()
	en, source, found := gt.chooseFromShare(cf, li, now, at)
	var pl *place
	if found {
		pl = &place{
			key: gt.newKey(), re: at.re, endpoint: en.Name, url: en.URL, suspect: at.suspect,
			fallback: source == Fallback, sendRequest: true, tokens: new(atomic.Int64),
		}
		li.places[pl.key] = pl
		if lo, seen := li.loads[en.Name]; seen && source == Share {
			lo.started = append(lo.started, now)
		}
	}
	li.mu.Unlock()
	if !found {
		return nil
	}
	return gt.registerGrant(li, pl, en, 0, source)
}

// chooseFromShare returns an endpoint with a free place in this instance's
// share, and the source of that place. It tries fallback places first, and
// among the endpoints the one with the fewest places of this instance.
func (gt *Granter) chooseFromShare(cf *kind.Configuration, li *link, now time.Time, at *attempt) (kind.Endpoint, Source, bool) {
	list := slices.Clone(li.group.endpoints(cf))
	slices.SortStableFunc(list, func(le, ri kind.Endpoint) int {
		if by := li.running(le.Name, false) - li.running(ri.Name, false); by != 0 {
			return by
		}
		return strings.Compare(le.Name, ri.Name)
	})
	for _, source := range []Source{Fallback, Share} {
		for _, en := range list {
			// No holder separates suspects here, so a suspect runs only where
			// this instance has no other request.
			separate := !at.suspect || li.running(en.Name, false) == 0
			if usable(cf, en, at.re) && separate && gt.hasFreePlace(li, now, en, source) {
				return en, source, true
			}
		}
	}
	return kind.Endpoint{}, "", false
}

// hasFreePlace reports whether this instance's share has a free place at the
// endpoint.
func (gt *Granter) hasFreePlace(li *link, now time.Time, en kind.Endpoint, source Source) bool {
	vi := gt.viewsOf(en.Zone)
	if source == Fallback {
		return li.running(en.Name, true) < vi.share(gt.Instance, en.Name, fallbackPlaces(en.Capacity))
	}
	return li.silenceNoticed(now) && li.running(en.Name, false) < vi.share(gt.Instance, en.Name, en.Capacity.Sequences) &&
		li.hasHeadroom(now, en, len(vi.union()))
}

// Within startWindow, all disconnected members together may start requests at
// up to 1/burstDivisor of an endpoint's places, or one request each if that is
// more.
const (
	burstDivisor = 4
	startWindow  = 2 * maxReportLag
)

// hasHeadroom reports whether the endpoint's own load report leaves room for
// everything that all members together may start before a report shows it: a
// quarter of the places, or one place for each member if that is more. Each
// member has a fixed part of this, so that all of them together stay within
// the capacity without communicating. Only an endpoint that the last holder
// reported as warm and that has not restarted since has headroom. The report
// also contains the requests that an unreachable holder granted earlier.
func (li *link) hasHeadroom(now time.Time, en kind.Endpoint, members int) bool {
	lo, seen := li.loads[en.Name]
	if !seen || now.Sub(lo.asked) > maxReportLag {
		return false
	}
	if bo := li.boots[en.Name]; !bo.warm || bo.id != lo.report.BootID {
		return false
	}
	burst := en.Capacity.Sequences / burstDivisor
	if lo.startedSince(now.Add(-startWindow)) >= max(burst/members, 1) {
		return false
	}
	return lo.report.Running+lo.report.Waiting+fallbackPlaces(en.Capacity)+max(burst, members) <= en.Capacity.Sequences
}

// startedSince counts the requests that this instance started after a time,
// and forgets earlier ones.
func (lo *observedLoad) startedSince(since time.Time) int {
	lo.started = slices.DeleteFunc(lo.started, func(at time.Time) bool { return !at.After(since) })
	return len(lo.started)
}
