// Package dispatch answers requests of callers whose form is that of a
// platform: it finds the route and the team, chooses an endpoint, sends the
// request there, sends it again where that is allowed, and hands the answer
// back whole.
//
// What may be repeated follows from the route alone. A request that is not
// idempotent is sent again only if the endpoint has proved that it did not
// run. A stream goes on at another endpoint only as the same run: from memory
// that was moved there (internal/migration), or from a standby copy that its
// engine kept there while it ran (standby.go).
//
// The package knows no names of a platform. A Codec makes calls out of
// attempts and says what an answer proves.
//
// # Usage
//
//	di := &dispatch.Dispatcher{State: st, Roster: ro, Board: bo, Sender: po, Codec: codec, ...}
//	rp := di.Serve(ctx, re)
//	// rp.Refusal, or rp.Status with rp.Body, or rp.Events to read to its end
package dispatch
