// Package reservation chooses engines for the requests of all instances of an
// availability zone at one of them, so that requests that come to different instances at
// the same time do not meet at one engine while another is free.
//
// Which instance decides for a zone and a service follows from the list of instances
// (ratelimit.Peers.Zone). It keeps nothing that must last: what it gave out counts as
// load at the engine until the load message of the instance that got it includes it, or
// for grantLifetime. An instance that gets no answer in time chooses by itself, as it
// does in zones with fewer than minInstances instances.
//
// # Usage
//
//	al := &reservation.Allocator{Peers: peers, Tracker: tracker, Ready: ready, Boot: boot, Clock: clock, Wake: make(chan struct{}, 1)}
//	go al.Run(ctx)                   // call al.Prune now and then
//	err := server.Register(reservation.ServiceName, al.Service())
//	cl := &reservation.Client{Peers: peers, Allocator: al, Caller: &peer.Client{}, Boot: boot}
//	gr, err := cl.Reserve(ctx, re)   // nil without an error: choose alone
//	...                              // account for the request, then
//	gr.Settle()
//
// The exchange of loads sends Client.Settled with the loads of its instance and passes
// on those of others to Allocator.Settle.
package reservation
