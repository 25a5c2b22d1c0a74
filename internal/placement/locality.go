package placement

import (
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/roster"
)

// Zones decides which availability zones a request may be sent to.
// spillover.Controller implements it.
type Zones interface {
	// Active reports whether Admit decides at all. If it does not, other zones have a
	// fixed extra cost.
	Active() bool
	// Admit returns the zones for one request from the zone home.
	Admit(dm Demand, home string) Admission
	// Sent counts a request that is sent from the zone home to an endpoint.
	Sent(en roster.Endpoint, home string)
}

// Admission is the decision of Zones on one request. Its zero value admits all zones.
type Admission struct {
	// Restricted is set if the request should stay in the zones that the other fields
	// name as long as an endpoint there takes it.
	Restricted bool
	// Home is set if the request may be sent to its own zone.
	Home bool
	// Leaves is set if it may be sent to the zones in Lenders.
	Leaves bool
	// Lenders are the other zones that take requests now.
	Lenders []string
	// Margin is how much shorter the expected delay in another zone must be than in the
	// request's own.
	Margin time.Duration
}

// ZoneLoad is the load of the endpoints of a service in one zone.
type ZoneLoad struct {
	Zone string
	// Sound is the number of endpoints that take requests, are not in cold start and
	// have not failed recently. The other fields are sums over these, but for Wait.
	Sound int
	// Wait is the mean expected delay of a typical request there.
	Wait time.Duration
	// Running is the number of requests in flight, and Slots how many run at once.
	Running, Slots int
	// ReservedTokens and MemoryTokens are the reserved and the plannable memory of
	// engines.
	ReservedTokens, MemoryTokens int
	// Reachable is set unless connection attempts to the zone have failed recently.
	Reachable bool
}

const (
	// unsoundScore is the failure score from which an endpoint does not count as sound.
	unsoundScore = 0.75
	// lostPathScore is the failure score of the path to a zone from which the zone does
	// not count as reachable.
	lostPathScore = 0.5
	// spreadCost is the largest offset, for each request, of an engine in another zone.
	spreadCost = 100.0
)

// Choose returns the endpoint of lowest cost, leaving out those whose ID is in
// exclude, in the zones that Zones admits, or in any zone if no endpoint there has room. It
// returns false if no endpoint is usable now.
func (lt *LoadTracker) Choose(list []roster.Endpoint, dm Demand, exclude map[string]bool) (Choice, bool) {
	now := lt.Clock.Now()
	lt.mu.Lock()
	defer lt.mu.Unlock()
	if !lt.zonesApply(dm) {
		return lt.choose(list, dm, exclude, now)
	}
	ad := lt.Zones.Admit(dm, lt.Zone)
	dm.margin = ad.Margin
	if ch, found := lt.choose(lt.admitted(list, ad, now), dm, exclude, now); found && ch.Cost < exhaustedCost {
		return ch, true
	}
	// No endpoint in the admitted zones has room for the request.
	ad.Home, ad.Leaves = true, true
	if ch, found := lt.choose(lt.admitted(list, ad, now), dm, exclude, now); found {
		return ch, true
	}
	return lt.choose(list, dm, exclude, now)
}

// zonesApply reports whether Zones decides on a request. The target of a migration
// depends on the zone of the KV cache instead, and a request that another zone lets leave
// has no service here: for both, the extra cost of another zone decides.
func (lt *LoadTracker) zonesApply(dm Demand) bool {
	return dm.Service != "" && dm.Zone == "" && lt.hasZones()
}

// hasZones reports whether Zones decides on requests.
func (lt *LoadTracker) hasZones() bool { return lt.Zones != nil && lt.Zones.Active() }

// admitted returns the endpoints in the zones of an admission.
func (lt *LoadTracker) admitted(list []roster.Endpoint, ad Admission, now time.Time) []roster.Endpoint {
	if !ad.Restricted {
		return list
	}
	kept := make([]roster.Endpoint, 0, len(list))
	for _, en := range list {
		if en.Zone == lt.Zone && ad.Home || en.Zone != lt.Zone && ad.Leaves && slices.Contains(ad.Lenders, en.Zone) && lt.isReachable(en.Zone, now) {
			kept = append(kept, en)
		}
	}
	return kept
}

// isReachable reports whether no connection attempt to a zone has failed recently. The
// caller must hold mu.
func (lt *LoadTracker) isReachable(zone string, now time.Time) bool {
	return lt.zonePaths[zone].failureScore(now) < lostPathScore
}

// remoteZoneCost returns the extra cost of an endpoint in another zone. The loads there are
// told late: instances that know the same of them spread over endpoints that differ
// by less than spreadCost.
func (lt *LoadTracker) remoteZoneCost(en roster.Endpoint, dm Demand) float64 {
	if !lt.zonesApply(dm) {
		return dm.remoteZoneCost()
	}
	cost := zoneCost + float64(dm.margin)/float64(time.Millisecond)
	if dm.Engine == nil {
		return cost
	}
	return cost + spreadCost*tieBreak(dm.Request, en.ID)
}

// ZoneLoads returns the loads of the zones that have endpoints in the list. typical is
// the mean demand of a request.
func (lt *LoadTracker) ZoneLoads(list []roster.Endpoint, typical Demand) []ZoneLoad {
	now := lt.Clock.Now()
	lt.mu.Lock()
	defer lt.mu.Unlock()
	var loads []ZoneLoad
	waits := make(map[string]float64)
	for _, en := range list {
		ix := slices.IndexFunc(loads, func(zl ZoneLoad) bool { return zl.Zone == en.Zone })
		if ix < 0 {
			ix = len(loads)
			loads = append(loads, ZoneLoad{Zone: en.Zone, Reachable: lt.isReachable(en.Zone, now)})
		}
		if !lt.isSound(en, now) {
			continue
		}
		lo := lt.load(en.ID)
		waits[en.Zone] += expectedWait(en, lo, typical)
		loads[ix].add(en, lo, typical)
	}
	for ix := range loads {
		loads[ix].Wait = time.Duration(waits[loads[ix].Zone] / float64(max(loads[ix].Sound, 1)) * float64(time.Millisecond))
	}
	return loads
}

// add counts a sound endpoint.
func (zl *ZoneLoad) add(en roster.Endpoint, lo Load, typical Demand) {
	zl.Sound++
	zl.Running += lo.Running
	if typical.Engine == nil {
		zl.Slots += max(en.Slots, 1)
		return
	}
	zl.Slots += typical.Engine.Slots
	zl.ReservedTokens += lo.ReservedTokens
	zl.MemoryTokens += int(plannableMemoryShare * float64(typical.Engine.MemoryTokens))
}

// isSound reports whether an endpoint counts in the load of its zone. The caller must
// hold mu.
func (lt *LoadTracker) isSound(en roster.Endpoint, now time.Time) bool {
	if now.Before(en.ColdUntil) || !lt.accepts(en, false) || lt.isSetAside(en) {
		return false
	}
	ac := lt.accounts[en.ID]
	return ac == nil || !now.Before(ac.backoffUntil) && ac.failureScore(now) < unsoundScore
}

// expectedWait returns the expected delay of a typical request at an endpoint, in
// milliseconds.
func expectedWait(en roster.Endpoint, lo Load, typical Demand) float64 {
	if typical.Engine != nil {
		return engineCost(lo, typical)
	}
	slots := max(en.Slots, 1)
	return callCost * float64(max(lo.Running+1-slots, 0)) / float64(slots)
}

// countSent counts a request for Zones.
func (lt *LoadTracker) countSent(en roster.Endpoint) {
	if lt.Zones != nil {
		lt.Zones.Sent(en, lt.Zone)
	}
}
