// Package routing holds the operators' configuration of routes, services, teams
// and their keys. It looks up the route of a request and the team of a key.
//
// A Configuration is immutable. A State publishes the newest one; its version
// never decreases within a process. The State also tracks the time since the
// store last confirmed that no newer version exists, because an instance that
// cannot reach the store must not accept a revoked key for long.
//
// # Usage
//
//	st := &routing.State{Clock: boottime.System{}}
//	st.Put(cf)                  // by the controller that follows the store
//	st.Confirm(askedAt)         // each time the store confirmed the version
//	cf = st.Load()
//	ro, found := cf.Match("books.example", "/guides/7")
//	te, found := cf.Team(key)
package routing
