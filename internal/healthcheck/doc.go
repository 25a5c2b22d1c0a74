// Package healthcheck probes engines to learn whether they are about to shut
// down. It is the fallback for times when the store cannot report this, because
// it is down or rejects this instance. The streams at an engine are lost if its
// shutdown goes unnoticed.
//
// An instance probes only engines that serve its own runs, and only while its
// view of the store is stale. Each probe costs a request, and the notices of an
// available store arrive as early as the answer to a probe.
//
// An engine denies its health at once when it is about to shut down, and may do so, or
// not, for other reasons. Its report tells for certain, half a second later. So the runs
// of an engine that denies its health are moved off, and it counts as leaving only when
// its report says so.
//
// # Usage
//
//	ch := &healthcheck.Checker{Engines: engines, Runs: mover.Endpoints, StoreStale: stale, Path: path, Leave: ro.Leave, Evacuate: mover.Evacuate, Clock: clock, Log: log}
//	err := ch.Run(ctx) // a controller.Controller
package healthcheck
