package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// falseAlarm bounds the probability with which one comparison finds a version bad
	// that is no worse. A service has two for each route, and one for crashes.
	falseAlarm = 0.0005
	// otherOdds is the evidence that is needed without the worst endpoint.
	otherOdds = 30
	// doubtOdds and doubtOthers are the evidence that delays the decision.
	doubtOdds   = 60
	doubtOthers = 2
	// outlierOdds is the evidence from one endpoint beyond which others are tried.
	outlierOdds = 100
	// stepPeriod is the least time between two steps, longStep the time after which a
	// step ends although the old version gave fewer than stepAnswers answers.
	stepPeriod  = 250 * time.Millisecond
	longStep    = time.Second
	stepAnswers = 8
	// slowBuckets is the distance of a slow answer from the bucket that four fifths of
	// the old version's answers don't exceed. While runs are moved, all are slower.
	slowBuckets      = 2
	slowBucketsMoves = 3
	// minMeasured is the number of answers of the old version from which the bucket of
	// slow answers is known.
	minMeasured = 10
)

// judge tells a bad version from what the old one gives on the same routes at the same
// time.
type judge struct {
	routes  map[string]*routeJudge
	crashes comparison
	// crashed and sent are what the comparison of crashes has counted.
	crashedOld, sentOld, sentNew int
	crashedNew                   map[string]bool
	crashAt                      time.Time
}

// routeJudge judges one route.
type routeJudge struct {
	at         time.Time
	seen       routeTotals
	fail, slow comparison
	// reference are the old version's answers during the canary.
	reference Totals
}

// step enters what the fleet's totals show since the last step. moving is set while the
// order is promoted.
func (ju *judge) step(le *ledger, now time.Time, moving bool) {
	for route, rt := range le.routes {
		rj := ju.routes[route]
		if rj == nil {
			if ju.routes == nil {
				ju.routes = make(map[string]*routeJudge)
			}
			rj = &routeJudge{at: now, seen: routeTotals{targets: make(map[string]*Totals)}}
			ju.routes[route] = rj
		}
		rj.step(rt, now, moving)
	}
	ju.stepCrashes(le, now)
}

func (rj *routeJudge) step(rt *routeTotals, now time.Time, moving bool) {
	elapsed := now.Sub(rj.at)
	old := difference(&rt.old, &rj.seen.old)
	if elapsed < stepPeriod || !moving && elapsed < longStep && old.Answers < stepAnswers {
		return
	}
	rj.at, rj.seen.old = now, rt.old
	news := make(map[string]Totals, len(rt.targets))
	for id, to := range rt.targets {
		seen := rj.seen.targets[id]
		if seen == nil {
			seen = &Totals{}
			rj.seen.targets[id] = seen
		}
		if di := difference(to, seen); di.Answers > 0 {
			news[id] = di
			*seen = *to
		}
	}
	rj.compare(old, news, moving)
}

// compare enters a step. While the order is promoted, few requests or none go to the old
// version. Then the target is compared with what the old one gave during the canary,
// but not while the old one is bad, too.
func (rj *routeJudge) compare(old Totals, news map[string]Totals, moving bool) {
	if len(news) == 0 {
		if !moving {
			rj.reference.add(&old)
		}
		return
	}
	base, distance := old, slowBuckets
	if moving {
		distance = slowBucketsMoves
		if worseThan(old, rj.reference) {
			return
		}
		base.add(&rj.reference)
	}
	fails := counts{old: int(base.Answers), oldBad: int(base.Failures), targets: make(map[string]part, len(news))}
	for id, to := range news {
		fails.targets[id] = part{int(to.Answers), int(to.Failures)}
	}
	rj.fail.step(fails)
	// The bucket comes from earlier steps, so that it does not depend on these answers.
	if from := slowBucket(&rj.reference, distance); from > 0 {
		slows := counts{old: base.measured(), oldBad: base.slow(from), targets: make(map[string]part, len(news))}
		for id, to := range news {
			slows.targets[id] = part{to.measured(), to.slow(from)}
		}
		rj.slow.step(slows)
	}
	if !moving {
		rj.reference.add(&old)
	}
}

// worseThan reports whether the old version fails far more often than it did.
func worseThan(old, reference Totals) bool {
	return old.Failures >= 2 && float64(old.Failures)*float64(reference.Answers) > 4*float64(reference.Failures+1)*float64(old.Answers)
}

// slowBucket returns the first bucket of slow answers, or 0 if it is not known.
func slowBucket(reference *Totals, distance int) int {
	all := reference.measured()
	if all < minMeasured {
		return 0
	}
	sum := 0
	for ix, count := range reference.Latency {
		if sum += int(count); sum*5 >= all*4 {
			return min(ix+distance, LatencyBuckets)
		}
	}
	return 0
}

func difference(to, before *Totals) Totals {
	di := *to
	di.subtract(before)
	return di
}

// stepCrashes compares the crashes of endpoint processes, each counted once, by the
// requests that either version got.
func (ju *judge) stepCrashes(le *ledger, now time.Time) {
	if now.Sub(ju.crashAt) < longStep {
		return
	}
	ju.crashAt = now
	cs := counts{old: le.sentOld - ju.sentOld, oldBad: len(le.crashOld) - ju.crashedOld, targets: make(map[string]part)}
	cs.old = max(cs.old, cs.oldBad)
	for process := range le.crashNew {
		if !ju.crashedNew[process] {
			if ju.crashedNew == nil {
				ju.crashedNew = make(map[string]bool)
			}
			ju.crashedNew[process] = true
			cs.targets[process] = part{1, 1}
		}
	}
	if rest := le.sentNew - ju.sentNew - len(cs.targets); rest > 0 {
		cs.targets[otherEndpoints] = part{rest, 0}
	}
	ju.sentOld, ju.sentNew, ju.crashedOld = le.sentOld, le.sentNew, len(le.crashOld)
	ju.crashes.step(cs)
}

// verdict reports whether the target is bad, and why. several is set if the target has
// more than one endpoint.
func (ju *judge) verdict(several bool) (string, bool) {
	return ju.find(-math.Log(falseAlarm), math.Log(otherOdds), several)
}

// doubt reports whether there is some evidence against the target. It counts as a
// verdict if it is left when the decision can't wait any longer.
func (ju *judge) doubt(several bool) (string, bool) {
	return ju.find(math.Log(doubtOdds), math.Log(doubtOthers), several)
}

// find returns the first comparison whose evidence reaches the limits.
func (ju *judge) find(limit, others float64, several bool) (string, bool) {
	for _, route := range slices.Sorted(maps.Keys(ju.routes)) {
		rj := ju.routes[route]
		if rj.fail.reaches(limit, others, several) {
			return "failures on " + route, true
		}
		if rj.slow.reaches(limit, others, several) {
			return "slow answers on " + route, true
		}
	}
	if ju.crashes.reaches(limit, others, several) {
		return "crashes", true
	}
	return "", false
}

// outliers returns the endpoints of the target that look worse than the others.
func (ju *judge) outliers() map[string]bool {
	set := make(map[string]bool)
	for _, rj := range ju.routes {
		rj.fail.outliers(set, math.Log(outlierOdds))
		rj.slow.outliers(set, math.Log(outlierOdds))
	}
	return set
}
