// Package migration moves generations off leaving engines, which are about to
// shut down, so that their streams continue on other engines as the same run.
//
// A move copies the KV cache of a run to another engine while the run
// continues, then copies what has been added since, stops the run with a final
// copy, and resumes it on the target. Copies from one engine are queued on its
// network link. Runs are therefore moved one after another, across all
// instances: little remains to be copied when a run is stopped, and the pause
// that the caller sees is short. Runs with a usable standby copy on another
// engine are not moved.
//
// Plan functions, which do no I/O, decide which runs are moved, in which order,
// and when they are stopped. A platform implements Engines.
//
// # Usage
//
//	mo := &migration.Mover{Engines: engines, Roster: ro, Tracker: lt, Clock: clock, Log: log, MoveOrder: order}
//	ro.OnLeave = mo.Evacuate
//	ru := &migration.Run{ID: id, Service: service, ...}
//	ru.SetEndpoint(en)
//	mo.Add(ru)
//	defer mo.Remove(ru)
//	// when the stream breaks:
//	moved, ok := ru.Await(ctx)
package migration
