// Package healthcheck probes engines to learn whether they are about to shut
// down. It is the fallback for times when the store cannot report this, because
// it is down or rejects this instance. The streams at an engine are lost if its
// shutdown goes unnoticed.
//
// An instance probes only engines that serve its own runs, and only while its
// view of the store is stale. Each probe costs a request, and the notices of an
// available store arrive as early as the answer to a probe.
//
// # Usage
//
//	ch := &healthcheck.Checker{Engines: engines, Runs: mover.Endpoints, StoreStale: stale, Leave: ro.Leave, Clock: clock, Log: log}
//	err := ch.Run(ctx) // a controller.Controller
package healthcheck
