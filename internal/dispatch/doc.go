// Package dispatch answers requests that arrive in a platform's format. It
// finds the route and the team of a request, chooses an endpoint, sends the
// request there, sends it again where that is allowed, and returns the
// complete answer or the stream of events.
//
// The route alone determines whether a request may run more than once. A
// request that is not idempotent is sent again only if the endpoint has proved
// that it did not run the request, or if no connection to the endpoint was
// made. An interrupted stream continues at another endpoint only as the same
// run, either from a KV-cache copy made by a migration (internal/migration) or
// from a standby copy that its engine kept up to date there (standby.go).
//
// The package is independent of the names that a platform uses on the wire. A
// Codec encodes attempts as calls and evaluates what an answer proves.
//
// # Usage
//
//	di := &dispatch.Dispatcher{State: st, Roster: ro, Tracker: lt, Gate: ga, Codec: codec, ...}
//	rp := di.Serve(ctx, re)
//	// rp.Refusal, or rp.Status with rp.Body, or rp.Events to read to its end
package dispatch
