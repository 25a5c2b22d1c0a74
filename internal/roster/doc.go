// Package roster knows the endpoints: which are ready, which leave, which are
// cold, and from which availability zones operators want them unused.
//
// It is plain state without network. What a store says of endpoints goes in by
// Reset, Apply, Trouble and Contact; what requests may use comes out by View.
// An endpoint leaves as soon as any source says so: its own entry, the
// removal of the entry, or its answers.
//
// Entries run out while the store is away, whether or not their endpoints
// live. Those that are missing when it is back are held for a while, since
// living endpoints write themselves down again.
//
// # Usage
//
//	ro := &roster.Roster{Clock: clock, Log: log, OnLeave: func(en roster.Endpoint) { ... }}
//	ro.Reset(list)
//	for _, en := range ro.View().Ready("filbert-pool") { ... }
package roster
