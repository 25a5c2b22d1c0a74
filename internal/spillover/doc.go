// Package spillover decides which share of a zone's requests leaves the zone, and to
// which other zones.
//
// A request stays in its zone as long as the expected wait there is not much longer
// than in another zone. Beyond that, a share of the requests goes to zones that have
// room, the requests with short answers first: a long stream is exposed for longer to
// a cut between the zones. The difference that matters is a part of the shortest
// objective of the service's routes (share.go).
//
// Each instance decides by itself from the loads that all instances tell each other
// (internal/loadshare). It computes the shares of all zones by the same rules, so it
// also knows, without a message, which other zones spill over themselves: those are no
// lenders. Whether one request leaves follows from a hash of its ID, so that all
// instances of a zone agree on it (admit.go).
//
// Shares rise and fall by a limited amount a second. If a zone has no sound endpoint,
// all of its requests leave at once; they return gradually.
//
// A demand without a service is not decided here: the zone's allocator of engines
// (internal/reservation) names none for a request of another zone, which has decided.
// In a zone with few instances, the Controller is not active.
//
// The package does no network I/O. A Controller implements placement.Zones.
//
// # Usage
//
//	co := &spillover.Controller{Zone: "a", Services: services, Loads: loads, Clock: clock, Log: log, Scope: scope}
//	lt := &placement.LoadTracker{Clock: clock, Zone: "a", Instance: "i1", Zones: co}
//	go co.Run(ctx)
//	dm := placement.Demand{Service: "desk", Request: "r1"}
//	ch, found := lt.Choose(endpoints, dm, nil)
package spillover
