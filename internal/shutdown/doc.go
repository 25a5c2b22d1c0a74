// Package shutdown decides which requests an instance still serves while it shuts down.
//
// A shutdown has a fixed end, at which all requests are cut. A request that comes
// meanwhile, or that still waits for an endpoint, is passed on only if its answer will
// be whole before the end: because its deadline is earlier, or because the recent
// answers of its route, and those in progress, took less than the time left. All others are refused at once, as
// not run, and can be served by another instance.
//
// The package needs no network and has no state but the end of the shutdown and, in
// Lengths, how long the answers of each route took.
//
// # Usage
//
//	sd := &shutdown.Schedule{Clock: clock}
//	an := lengths.Begin("study-guide", sentAt)
//	an.End(endedAt, true)
//	sd.Start(shutdown.Period{Begin: now, Accepting: closed, End: end}) // on SIGTERM
//
//	// when a request arrives, and before it is sent
//	re := shutdown.Request{Deadline: deadline, Length: lengths.Longest("study-guide", now)}
//	if pe, begun := sd.Period(); begun && !pe.Takes(re, now) { ... } // refuse it
//
//	ctx, cancel := sd.WhileWaiting(ctx, describe) // for the time that it waits
//	defer cancel()
package shutdown
