// Package routing holds what operators configure for callers: routes, services,
// teams and their keys. It finds the route of a request and the team of a key.
//
// A Configuration is immutable. A State publishes the newest one: its version
// only rises in the life of a process, and it knows how old the proof is that
// no newer one exists, since a key that was taken away must not be accepted
// for long by an instance that is cut off.
//
// # Usage
//
//	st := &routing.State{Clock: boottime.Clock{}}
//	st.Put(cf)                  // by the controller that follows the store
//	st.Confirm(asked)           // each time the store confirmed the version
//	cf := st.Load()
//	ro, found := cf.Match("books.example", "/guides/7")
//	te, found := cf.Team(key)
package routing
