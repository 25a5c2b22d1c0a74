// Package ratelimit divides the rate limits of endpoints among the instances.
//
// An endpoint names the rate of requests that it takes from all instances together.
// It may be a few requests a second, far fewer than there are instances, so a fixed
// share of each instance would be a fraction of a request. Instead, one instance
// gives out the requests of an endpoint one by one: its allocator. All instances
// derive it from the list of instances (peers.go), so that none has to be elected.
// The others ask it before they send (limiter.go).
//
// If the network is partitioned, each side may have an allocator. Each gives out
// only the part of the rate that corresponds to the instances that it knows to be alive, so
// that the sum stays below the limit. An instance that can't ask its allocator sends
// a small share by itself (share.go). An allocator that has just started, or that
// was paused, gives out nothing until the others must have noticed.
//
// # Usage
//
//	pe := &ratelimit.Peers{Self: self, Members: members, Boot: boot}
//	al := &ratelimit.Allocator{Peers: pe, Boot: boot}
//	err := server.Register(ratelimit.ServiceName, al.Service())
//	li := &ratelimit.Limiter{Peers: pe, Allocator: al, Caller: client, Boot: boot}
//	wait, taken := li.Take(ctx, endpoint, limit, maxWait) // a backpressure.Limiter
package ratelimit
