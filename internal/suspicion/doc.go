// Package suspicion detects requests that crash endpoints. It records which
// requests were running on endpoints that crashed, and shares these records
// among all instances.
//
// A request is identified by its fingerprint. A loss is the crash of an endpoint
// that ran the request. After one loss the request is a suspect: it may be
// retried, but not on the same endpoint as another suspect at the same time.
// After two losses it is refused. A request that completes is cleared of the
// losses known at that time. Losses and clearings only accumulate, and merging
// them is idempotent and commutative, so instances may learn of them in any
// order and more than once.
//
// # Usage
//
//	re := &suspicion.Registry{Caller: client, Peers: addresses, Clock: clock}
//	err := server.Register(suspicion.ServiceName, re.Service())
//	re.Lost(ctx, fingerprint, suspicion.Loss{Endpoint: "engine-3", Boot: "b1"})
//	if re.Verdict(fingerprint) == suspicion.Refuse { ... }
//	go re.Run(ctx) // a controller.Controller, repairs lost notifications
package suspicion
