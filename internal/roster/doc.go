// Package roster keeps the set of known endpoints: which are ready, which are
// leaving, which are in a cold start, and which availability zones operators
// have evacuated.
//
// It holds state only and makes no calls. Changes in the store come in through
// Reset, Apply, CallFailed and CallAnswered; View returns what requests may
// use. An endpoint leaves as soon as any source says so: its own entry, the
// removal of the entry, or the endpoint's answers.
//
// Entries expire while the store is unavailable, whether or not their
// endpoints still run. Entries that are missing when the store recovers are
// retained for a grace period, because running endpoints re-register. Whether it
// was unavailable, or only out of this instance's reach, OutageEnd tells.
//
// # Usage
//
//	ro := &roster.Roster{Clock: clock, Log: log, OnLeave: func(en roster.Endpoint) { ... }}
//	ro.Reset(list)
//	for _, en := range ro.View().Ready("filbert-pool") { ... }
package roster
