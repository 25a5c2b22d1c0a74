// Package record stores the state of each call that has an Idempotency-Key and
// is not idempotent. It ensures that calls with the same key run at most once,
// whichever instances they are sent to. The entries are stored in the platform.
//
// A call is identified by the hash of team, service and key. Begin writes an
// entry on the condition that there is none, and only the instance whose write
// created the entry may dispatch the call. No instance dispatches a call whose
// entry already exists. If an instance crashes, the outcome of a call can
// therefore be lost, but the call never runs twice.
//
// Entries are distributed over a few shards, each of which is one object of the
// platform. An instance batches all changes to a shard into one conditional
// update, on average at most one per WriteInterval, not counting retries. Finished
// entries are moved to immutable segments, so that the object that is rewritten
// stays small.
//
// # Usage
//
//	rc := &record.Recorder{Store: guard.For(platform.ClassRecord), Instance: "entry-1", Clock: clock}
//	go rc.Run(ctx) // loads the record, and waits for pending writes at the end
//	id := record.NewID(team, service, key)
//	cl, err := rc.Begin(ctx, id, digest, deadline)
//	switch {
//	case err != nil:  // not recorded: do not dispatch
//	case cl.Own:      // dispatch once, then Answer, MarkLost or Withdraw
//	default:          // cl.Entry is the entry of the first call
//	}
package record
