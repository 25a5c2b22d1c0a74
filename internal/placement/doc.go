// Package placement chooses the endpoint for a request by the estimated load
// and the recent failures of each endpoint.
//
// It holds in-memory state only and does no network I/O. A LoadTracker keeps an
// account for each endpoint: prompt tokens still to be prefilled, generations
// in flight, the KV-cache memory that they reserve, and recent failures.
// Several instances send to the same engines, so they exchange their loads
// (internal/loadshare), and SetRemoteLoads adds the loads of the others. Failed
// connection attempts in another zone raise the cost of that whole zone for a
// few seconds (zonepath.go). A standby copy, from which a generation resumes if
// its engine crashes or becomes unreachable, is placed on an engine with free
// memory (standby.go).
//
// Zones decides which zones a request may be sent to (locality.go). Endpoints that fail
// while others do not (outlier.go), and all of a zone where connections to several fail
// (zonefailure.go), cost more for a time.
//
// # Usage
//
//	lt := &placement.LoadTracker{Clock: clock, Zone: "zilina-a", Instance: "edge-1"}
//	demand := placement.Demand{Prompt: 3000, Output: 900, Engine: engine}
//	ch, found := lt.Choose(view.Ready("filbert-pool"), demand, nil)
//	ti := lt.Begin(ch.Endpoint, demand)
//	ti.Started()      // the first event arrived: the prompt is prefilled
//	ti.End(placement.Done)
package placement
