// Package suspicion finds out what crashes endpoints. Instances record which
// requests were running on endpoints that crashed, and tell each other.
//
// What crashes endpoints may be one request, which its caller sends again, or a part
// of a prompt that many different requests share. So a crash is held against each
// Feature of a lost request: the request as a whole and the parts that it shares with
// others. A request that completes clears its features of the crashes known then.
//
// A feature with crashes is a suspect. With enough of them it is judged guilty, and
// requests with it are refused. A crash that a guilty feature explains counts against
// no other one, so that requests which were running beside a guilty one, or share its
// caller or its other parts, stay clear. Parts that have completed before need more
// crashes, and crashes of a part count only at different moments, because a failure
// of many endpoints at once is no sign of what ran there.
//
// Crashes and clearings only accumulate, and merging them is idempotent and
// commutative, so instances may learn of them in any order and more than once.
//
// # Usage
//
//	re := &suspicion.Registry{Caller: client, Peers: addresses, Clock: clock, Log: log}
//	err := server.Register(suspicion.ServiceName, re.Service())
//	features := []suspicion.Feature{suspicion.Whole(fingerprint), suspicion.SharedPart(service, version, part)}
//	if re.Judge(features...).Verdict == suspicion.Refuse { ... }
//	re.Lost(ctx, suspicion.Loss{Endpoint: "engine-3", Boot: "b1"}, features...)
//	go re.Run(ctx) // a controller.Controller, repairs lost notifications
//
// Without Registry.Changes, each loss is told to the peers by calls. With it, the
// owner is woken and sends what Registry.Changed returns, as package loadshare does.
package suspicion
