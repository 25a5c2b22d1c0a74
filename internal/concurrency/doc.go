// Package concurrency bounds the requests that all instances together have in progress
// at an endpoint.
//
// An endpoint that is brittle falls over when it has to turn many requests away, so that
// none may be sent for which it has no slot. How many are in progress there is known to no
// instance alone. One instance, the endpoint's allocator, gives out its slots: it lets
// requests wait in order of their arrival, and a slot is free again when the request that
// had it ends. All instances derive the allocator from the list of instances, as package
// ratelimit does.
//
// Requests that have no slot of the allocator's account count, too: those that were sent
// before the endpoint said that it is brittle, or that have a slot of another allocator.
// Their instances report them. An endpoint that turned a request away gets no more requests
// than it had room for at that moment, and from time to time one more.
//
// A slot that is not given back, because its instance has stopped or a message was lost,
// is free when its lease ends. An instance that can't ask the allocator may send one
// request at a time while it is its turn; the turns go round in groups of as many
// instances as the endpoint has slots, and no more of a group send one than there are free
// slots. An allocator that has just started collects the reports first, and then gives out
// one slot at a time until all know of it.
//
// # Usage
//
//	al := &concurrency.Allocator{Peers: peers, Boot: boot}
//	err := server.Register(concurrency.ServiceName, al.Service())
//	li := &concurrency.Limiter{Peers: peers, Allocator: al, Caller: client, Boot: boot}
//	use, wait, taken := li.Take(ctx, endpoint, maxWait, lease) // a backpressure.Slots
//	use.End(false)
//	li.Report() // several times a second, as al.Check()
package concurrency
