// Package explain records the decisions about recent requests and their reasons, for
// operators.
//
// # Usage
//
//	ri := &explain.Ring{Clock: clock}
//	ri.Add(id, explain.Event{Step: explain.Queued, Reason: "no room in martin-c"})
//	fi := &explain.Finder{Ring: ri, Caller: caller, Peers: addresses}
//	err := peers.Register(explain.ServiceName, fi.Service())
//	server.Routes["GET /explain"] = fi.Route() // GET /explain?request=ID
//
// The route requires the role view and responds with an Explanation:
//
//	{"request": "4f0c...", "events": [
//	  {"at": "2026-12-03T22:30:00.1Z", "step": "queued", "zone": "martin-c", "reason": "no room yet"},
//	  {"at": "...", "step": "granted", "zone": "martin-c", "endpoint": "engine-3", "reason": "own_zone"}]}
//
// Each instance records the requests of its own callers. An instance that has no
// events of a request queries the other instances. If none of them has any, because
// the request is unknown or too old, the response has the reason not_found.
package explain
