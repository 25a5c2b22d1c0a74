// Package migration moves generations off engines that leave, so that their
// streams go on elsewhere as the same run.
//
// A move copies a run's memory to another engine while it goes on, copies what
// is new since, stops the run, and goes on with it at the target. Copies of
// one engine queue on its link, so runs are moved one after another, over all
// instances: what is left to copy when a run is stopped is short, and so is the
// pause that the caller sees. Runs with a standby copy elsewhere are not moved.
//
// Which runs move, in which order and when they are stopped is decided by plan
// functions without network. Engines is the seam to a platform's engines.
//
// # Usage
//
//	mo := &migration.Mover{Engines: engines, Roster: ro, Board: bo, Clock: clock, Log: log}
//	ro.OnLeave = mo.Leaving
//	ru := &migration.Run{ID: id, Endpoint: en, ...}
//	mo.Add(ru)
//	defer mo.Remove(ru)
//	// when the stream breaks:
//	moved, ok := ru.Await(ctx)
package migration
