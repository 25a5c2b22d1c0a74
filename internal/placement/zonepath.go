package placement

import "time"

const (
	// zonePathCost applies to all endpoints of another zone for each connection
	// attempt that failed there recently, up to maxZonePathFailures. At that
	// maximum it exceeds exhaustedCost, so that even exhausted engines in the
	// instance's zone are usually preferred.
	zonePathCost        = 700.0
	maxZonePathFailures = 3.0
	// zonePathHalfLife is short so that traffic returns within seconds after the
	// path recovers.
	zonePathHalfLife = 2 * time.Second
)

// zonePath tracks the reachability of another zone from this instance. A failed
// connection attempt costs the caller its full duration. During a network
// partition the other endpoints of that zone are unreachable too, so the
// failure counts against the whole zone.
type zonePath struct {
	// failures is the number of failed connection attempts as of at. It decays
	// with zonePathHalfLife.
	failures float64
	at       time.Time
}

// failureScore returns the number of failed connection attempts, decayed to
// now. It is zero for a nil receiver.
func (zp *zonePath) failureScore(now time.Time) float64 {
	if zp == nil || zp.failures == 0 {
		return 0
	}
	return zp.failures * decay(now.Sub(zp.at), zonePathHalfLife)
}

// recordOutcome updates the failures. Done, Failed and Refused count as a sign
// that the path works and reset them. Lost and Abandoned leave them unchanged.
func (zp *zonePath) recordOutcome(ou Outcome, now time.Time) {
	switch ou {
	case Unreachable:
		zp.failures, zp.at = min(zp.failureScore(now)+1, maxZonePathFailures), now
	case Done, Failed, Refused:
		zp.failures = 0
	case Lost, Abandoned:
	}
}

// recordZoneOutcome updates the path to a zone after an attempt there. Attempts
// within the instance's own zone are ignored. The caller must hold mu.
func (lt *LoadTracker) recordZoneOutcome(zone string, ou Outcome) {
	if zone == lt.Zone {
		return
	}
	if lt.zonePaths == nil {
		lt.zonePaths = make(map[string]*zonePath)
	}
	zp := lt.zonePaths[zone]
	if zp == nil {
		zp = &zonePath{}
		lt.zonePaths[zone] = zp
	}
	zp.recordOutcome(ou, lt.Clock.Now())
}
