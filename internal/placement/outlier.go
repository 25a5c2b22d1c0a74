package placement

import (
	"time"

	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// setAsideCost applies to an endpoint that is set aside. It exceeds all other costs of
	// a usable endpoint, so that it gets a request only if there is no other.
	setAsideCost = 50_000.0
	// doubtCost applies to an engine that is doubted. It equals exhaustedCost: an engine that
	// fails at once has no load.
	doubtCost = 2000.0
)

// Standing is the judgement on an endpoint.
type Standing int

// The standings.
const (
	// Sound means that nothing speaks against the endpoint.
	Sound Standing = iota
	// Doubted means that the last requests that are known of failed.
	Doubted
	// SetAside means that the endpoint should get no requests for now.
	SetAside
)

// Outliers tells which endpoints fail while others do not. outlier.Detector implements it.
type Outliers interface {
	// Begin records that a request is sent to an endpoint.
	Begin(en roster.Endpoint)
	// Record records the outcome of a request at an endpoint. For a stream, Done means
	// that it has begun. Its later end shows only that the engine goes on with what it
	// has, and counts as Abandoned. sent is when the request was sent: its success says
	// nothing of failures since.
	Record(en roster.Endpoint, ou Outcome, sent time.Time)
	// Standing returns the judgement on an endpoint.
	Standing(en roster.Endpoint) Standing
}

// isSetAside reports whether an endpoint should get no requests for now.
func (lt *LoadTracker) isSetAside(en roster.Endpoint) bool {
	return lt.Outliers != nil && lt.Outliers.Standing(en) == SetAside
}

// riskCost returns the cost of what is known of the failures of an endpoint and of its zone.
// The caller must hold mu.
func (lt *LoadTracker) riskCost(en roster.Endpoint, dm Demand, now time.Time) float64 {
	cost := lt.zoneFailures.cost(en, now)
	if lt.Outliers == nil {
		return cost
	}
	switch st := lt.Outliers.Standing(en); {
	case st == SetAside:
		cost += setAsideCost
	case st == Doubted && dm.Engine != nil:
		cost += doubtCost
	}
	return cost
}

// recordBegin tells Outliers that a request is sent to an endpoint.
func (lt *LoadTracker) recordBegin(en roster.Endpoint) {
	if lt.Outliers != nil {
		lt.Outliers.Begin(en)
	}
}

// recordEndpoint records the outcome of a request for the judgement on its endpoint and on
// the endpoint's zone. The caller must hold the tracker's mu.
func (ti *Ticket) recordEndpoint(ou Outcome) {
	lt := ti.tracker
	if zone, failing := lt.zoneFailures.record(ti.endpoint, ou, ti.sentAt, lt.Clock.Now()); failing && lt.OnZoneFailing != nil {
		lt.OnZoneFailing(zone)
	}
	if lt.Outliers != nil {
		lt.Outliers.Record(ti.endpoint, ou, ti.sentAt)
	}
}

// recordEnd records the end of an attempt. Done counts as Abandoned here: Answered has
// recorded the success already.
func (ti *Ticket) recordEnd(ou Outcome) {
	if ou == Done {
		ou = Abandoned
	}
	ti.recordEndpoint(ou)
}

// Answered records that a whole answer has arrived, or that a stream has begun, which shows
// that the endpoint takes requests.
func (ti *Ticket) Answered() {
	ti.tracker.mu.Lock()
	defer ti.tracker.mu.Unlock()
	if !ti.ended {
		ti.recordEndpoint(Done)
	}
}
