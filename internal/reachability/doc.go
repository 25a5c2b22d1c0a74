// Package reachability tells for which services an instance has lost its links to all
// endpoints, and for which the other instances have.
//
// The links are examined once connections to several endpoints of a service have failed
// one after the other, with no success at any of them. Endpoints are probed then, and
// those that can't be reached again and again, so that no request has to wait for a
// failed connection. The links count as lost while more endpoints are known to be
// unreachable than reachable: few of them would get all requests. A service
// most of whose endpoints have stopped looks the same; then all instances say so, and no
// request is forwarded.
//
// # Usage
//
//	tr := &reachability.Tracker{Roster: ro, Probe: pool.Reachable, Clock: clock, Log: log}
//	go tr.Run(ctx) // a controller.Controller
//	tr.Failed(service, endpoint) // and tr.Reached(service, endpoint)
//	if tr.Lost(service) { ... }
//	tr.LostAt("edge-2", service) // what another instance said
package reachability
