// Package backpressure keeps what endpoints say in their answers about further
// requests: that they are leaving, a rate limit, or that they want no requests for
// some time.
//
// A Signal is what one answer says. All calls to endpoints pass a Sender, which
// reads the signal of each answer and records it in the Registry. Statements are
// bound to one process: those of an endpoint that has restarted since are dropped.
//
// # Usage
//
//	re := &backpressure.Registry{Boot: boot, Log: log, Scope: scope}
//	se := &backpressure.Sender{Transport: pool, Decode: codec.Signal, Registry: re}
//	an, err := se.Do(ctx, endpoint, call)
//	limit, limited := re.Limit(endpoint)
package backpressure
