// Package backpressure keeps what endpoints say in their answers about further
// requests: that they are leaving, a rate limit, or that they want no requests for
// some time.
//
// A Signal is what one answer says. All calls to endpoints pass a Gate: it gives out
// a Permit for each call, for which the Registry of earlier signals is asked, and
// reads the signal of each answer. Statements are bound to one process: those of an
// endpoint that has restarted since are dropped. Instances tell each other the
// statements that changed. A process that starts asks others for those that hold (Pull).
//
// # Usage
//
//	re := &backpressure.Registry{Boot: boot, Log: log, Scope: scope}
//	ga := &backpressure.Gate{Transport: pool, Decode: codec.Signal, Registry: re, Limiter: limiter}
//	pe, err := ga.Request(ctx, endpoint, backpressure.Terms{MaxWait: bound})
//	pause.For(ctx, clock, ga.Wait(pe))
//	an, err := ga.Do(ctx, pe, call)
package backpressure
