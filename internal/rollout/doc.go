// Package rollout decides how the traffic of a service moves to a new version: which
// endpoints a request may use, when a version is bad, and which state an order has.
// It makes no calls and has no timers; a caller passes in what the store, the roster,
// the answers and the other instances say, and writes what Next returns.
//
// A version on trial gets a share of the requests that keeps the number it gets in the
// whole fleet below a bound, also if instances do not know each other. Its answers are
// compared with those of the old version on the same route at the same time. An
// instance that finds it bad stops using it at once; one instance, the evaluator, tells
// all others and has the verdict written to the store.
//
// # Usage
//
//	re := &rollout.Registry{Bounds: bounds, Instance: name, Clock: clock, Log: log}
//	re.Endpoints(view.All())           // on each change of the roster
//	re.Put(orders)                     // on each change of the orders
//	re.Confirmed(callMadeAt)           // on each answer that has no change
//	list := re.Filter(service, id, view.Ready(service))
//	re.Sent(en)
//	re.Record(en, rollout.Sample{Route: route, Latency: latency})
//	reports, unsent := re.Changed()    // to the others, several times a second
//	re.Merge(instance, reports)        // from the others
//	tr, due := re.Next(evaluator, pending) // several times a second
package rollout
