package spillover

import (
	"maps"
	"math"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/placement"
)

const (
	// A zone begins to spill over when its wait exceeds that of the best lender by
	// enterShare of the objective, and ends below leaveShare of it. In between, the
	// share grows with the excess, up to all requests at fullShare of the objective.
	enterShare = 1.0 / 8
	leaveShare = 1.0 / 16
	fullShare  = 1.0 / 2
	// defaultObjective applies to services whose routes have none.
	defaultObjective = time.Second
	// lenderAllowance is the share of the slots and of the memory of a zone that stay
	// free for its own callers.
	lenderAllowance = 0.25
	// risePerSecond and fallPerSecond limit the change of a share.
	risePerSecond = 0.5
	fallPerSecond = 0.25
	// waitHalfLife is the half-life of a past wait in the moving average.
	waitHalfLife = 300 * time.Millisecond
	// maxElapsed limits the time that one evaluation accounts for, as after a pause of
	// the process.
	maxElapsed = time.Second
)

// zone is the state of a service in one zone.
type zone struct {
	// load is the last known load. Its Wait is a moving average.
	load placement.ZoneLoad
	// share is the share of the zone's requests that leave it.
	share float64
	// spilling is set while the zone's wait is too long.
	spilling bool
	// known is set once the zone has had a sound endpoint.
	known bool
	// absent is set while the zone has no sound endpoint. returning is set from then on
	// until all requests have returned.
	absent, returning bool
	// lenders are the zones that take the requests, sorted.
	lenders []string
}

// service is the state of a service.
type service struct {
	// evaluated is when the shares were last computed.
	evaluated time.Time
	zones     map[string]*zone
	// typical has the mean prompt and output of the requests.
	typical placement.Demand
	// objective is the shortest objective of the routes.
	objective time.Duration
	// loggedShare is the share that was logged last.
	loggedShare float64
	// hasRemoteZones is set if the service has endpoints in a zone other than the
	// instance's.
	hasRemoteZones bool
}

// update brings the state of all zones up to date. home is the zone whose paths to
// other zones the loads tell.
func (sv *service) update(loads []placement.ZoneLoad, home string, now time.Time) {
	elapsed := min(now.Sub(sv.evaluated), maxElapsed)
	sv.evaluated = now
	sv.observe(loads, home, elapsed)
	// All decisions rest on the state before, so that the order of zones has no
	// influence.
	lenders := make(map[string][]string, len(sv.zones))
	for name, zo := range sv.zones {
		lenders[name] = sv.lendersOf(name, zo, name == home)
	}
	borrowers := sv.countBorrowers()
	for name, zo := range sv.zones {
		zo.lenders = lenders[name]
		sv.decide(zo, borrowers, elapsed)
	}
}

// observe records the loads. A zone without endpoints is absent.
func (sv *service) observe(loads []placement.ZoneLoad, home string, elapsed time.Duration) {
	for _, zo := range sv.zones {
		zo.load.Sound = 0
	}
	keep := math.Exp2(-float64(elapsed) / float64(waitHalfLife))
	for _, zl := range loads {
		zo := sv.zones[zl.Zone]
		if zo == nil {
			zo = &zone{load: zl}
			sv.zones[zl.Zone] = zo
		}
		wait := zl.Wait
		if !zo.absent {
			wait += time.Duration(keep * float64(zo.load.Wait-zl.Wait))
		}
		zo.load = zl
		zo.load.Wait = wait
	}
	if sv.zones[home] == nil {
		sv.zones[home] = &zone{}
	}
	sv.hasRemoteZones = len(loads) > 1 || len(loads) == 1 && loads[0].Zone != home
}

// lendersOf returns the zones that may take requests of a zone: those that do not spill
// over, have room beyond what they keep for their own callers, and where the wait is
// shorter. If the zone has no sound endpoint, they need not have room.
func (sv *service) lendersOf(name string, zo *zone, own bool) []string {
	margin := sv.part(enterShare)
	if zo.spilling {
		margin = sv.part(leaveShare)
	}
	var list, reachable []string
	for _, other := range slices.Sorted(maps.Keys(sv.zones)) {
		le := sv.zones[other]
		if other == name || le.load.Sound == 0 || own && !le.load.Reachable {
			continue
		}
		reachable = append(reachable, other)
		lends := !le.spilling && le.share == 0 && le.freeShare() > lenderAllowance
		if lends && (zo.load.Sound == 0 || zo.returning || le.load.Wait+margin < zo.load.Wait) {
			list = append(list, other)
		}
	}
	if len(list) == 0 && zo.load.Sound == 0 {
		return reachable
	}
	return list
}

// freeShare returns the free share of the zone's slots or memory, whichever is less.
func (zo *zone) freeShare() float64 {
	free := 1 - ratio(zo.load.Running, zo.load.Slots)
	if zo.load.MemoryTokens > 0 {
		free = min(free, 1-ratio(zo.load.ReservedTokens, zo.load.MemoryTokens))
	}
	return free
}

// ratio returns a part of a whole, which counts as at least one.
func ratio(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// part returns a part of the objective, or of defaultObjective if there is none.
func (sv *service) part(share float64) time.Duration {
	objective := sv.objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return time.Duration(share * float64(objective))
}

// countBorrowers returns the number of zones that spill over or whose requests are
// still returning.
func (sv *service) countBorrowers() int {
	count := 0
	for _, zo := range sv.zones {
		if zo.spilling || zo.share > 0 {
			count++
		}
	}
	return count
}

// decide moves the share of a zone towards its target. borrowers is the number of zones
// that divide the lenders' room.
func (sv *service) decide(zo *zone, borrowers int, elapsed time.Duration) {
	zo.absent = zo.load.Sound == 0
	if zo.absent {
		zo.share, zo.returning, zo.spilling = 1, true, false
		return
	}
	if !zo.known {
		// Its first endpoints: there is nothing to return from.
		zo.known, zo.share, zo.returning = true, 0, false
	}
	excess := sv.excess(zo)
	switch {
	case len(zo.lenders) == 0 || excess < sv.part(leaveShare):
		zo.spilling = false
	case excess > sv.part(enterShare):
		zo.spilling = true
	}
	target := 0.0
	if zo.spilling {
		target = float64(excess-sv.part(leaveShare)) / float64(sv.part(fullShare)-sv.part(leaveShare))
		target = min(target, sv.maxShare(zo, max(borrowers, 1)))
	}
	zo.share = approach(zo.share, target, elapsed)
	if zo.share == 0 {
		zo.returning = false
	}
}

// excess returns by how much the wait of a zone exceeds that of its best lender.
func (sv *service) excess(zo *zone) time.Duration {
	excess := time.Duration(0)
	for _, name := range zo.lenders {
		excess = max(excess, zo.load.Wait-sv.zones[name].load.Wait)
	}
	return excess
}

// maxShare returns the largest share of a zone's requests for which its lenders have room
// beside what they keep for their own callers, if the given number of zones divides it.
// For engines it is the room over the requests that run in the zone: those that may leave
// still compare costs. Of calls to plain services exactly the share leaves, so that it is
// the room over the sum of the room and the zone's own slots.
func (sv *service) maxShare(zo *zone, zones int) float64 {
	room := 0.0
	for _, name := range zo.lenders {
		le := sv.zones[name]
		room += (le.freeShare() - lenderAllowance) * float64(le.load.Slots) / float64(zones)
	}
	if zo.load.MemoryTokens > 0 {
		return room / float64(max(zo.load.Running, 1))
	}
	return room / max(room+float64(zo.load.Slots), 1)
}

// approach moves a share towards a target by what the elapsed time allows.
func approach(share, target float64, elapsed time.Duration) float64 {
	target = min(max(target, 0), 1)
	if target > share {
		return min(target, share+risePerSecond*elapsed.Seconds())
	}
	return max(target, share-fallPerSecond*elapsed.Seconds())
}
