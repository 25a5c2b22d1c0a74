package placement

import (
	"maps"
	"time"

	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// zoneFailingCost applies to all endpoints of a zone that is failing. It exceeds the
	// cost of another zone for a long answer and of an exhausted engine together.
	zoneFailingCost = 10_000.0
	// failingEndpoints is the number of endpoints of one zone to which connections must
	// fail within zoneFailurePeriod, without a success there, for the zone to be failing.
	failingEndpoints = 2
	// zoneFailurePeriod is the time for which a failed connection counts.
	zoneFailurePeriod = time.Second
)

// FailingZone is a zone in which connections to several endpoints of one service fail
// within zoneFailurePeriod.
type FailingZone struct {
	Service, Zone string
	// Endpoints is the number of those to which connections failed within
	// zoneFailurePeriod and since the last success.
	Endpoints int
}

// zoneFailures has the failed connections to endpoints by service and zone, the instance's
// own zone included. Unlike zonePath it is about the endpoints, not the link, and has no
// effect after zoneFailurePeriod. The zero value is empty.
type zoneFailures map[zoneKey]*zoneFailure

type zoneKey struct{ service, zone string }

// zoneFailure has the times of the newest failed connection to each endpoint since the
// last success at any of them.
type zoneFailure struct {
	failedAt map[string]time.Time
}

// record records the outcome of an attempt. A success or a refusal ends the failures from
// before the request was sent. It returns true if the zone is failing from now on.
func (zf *zoneFailures) record(en roster.Endpoint, ou Outcome, sent, now time.Time) (FailingZone, bool) {
	key := zoneKey{en.Service, en.Zone}
	switch ou {
	case Unreachable:
	case Done, Failed, Refused:
		if fa := (*zf)[key]; fa != nil {
			fa.drop(sent)
		}
		return FailingZone{}, false
	default:
		return FailingZone{}, false
	}
	if *zf == nil {
		*zf = make(zoneFailures)
	}
	fa := (*zf)[key]
	if fa == nil {
		fa = &zoneFailure{failedAt: make(map[string]time.Time)}
		(*zf)[key] = fa
	}
	before := fa.count(now)
	fa.failedAt[en.ID] = now
	count := fa.count(now)
	return FailingZone{Service: en.Service, Zone: en.Zone, Endpoints: count}, before < failingEndpoints && count >= failingEndpoints
}

// drop drops the failures up to a time.
func (fa *zoneFailure) drop(until time.Time) {
	maps.DeleteFunc(fa.failedAt, func(_ string, at time.Time) bool { return !at.After(until) })
}

// count returns the number of endpoints that failed recently, and drops the others.
func (fa *zoneFailure) count(now time.Time) int {
	fa.drop(now.Add(-zoneFailurePeriod))
	return len(fa.failedAt)
}

// cost returns what an endpoint costs more because its zone is failing.
func (zf zoneFailures) cost(en roster.Endpoint, now time.Time) float64 {
	fa := zf[zoneKey{en.Service, en.Zone}]
	if fa == nil || fa.count(now) < failingEndpoints {
		return 0
	}
	return zoneFailingCost
}
