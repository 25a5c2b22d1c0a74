// Package allocation grants places at endpoints across entry instances. A place
// is the right to run one of the concurrent requests (sequences) that an
// endpoint has the capacity for.
//
// For each availability zone and service one instance holds a lease and runs
// the decision core, admission.Allocator. The other instances request places
// from this lease holder over net/rpc. Every SyncInterval, or less often when
// they are idle, they send it a sync: the list of all requests that they have
// waiting or in flight. A new holder rebuilds its state from these syncs.
//
// An instance that cannot reach a holder uses its share of the fallback places,
// which holders never grant. It also stops sending syncs, so that a holder that
// still runs reserves the instance's share of the whole capacity. Once that
// must have happened, the instance uses this share too, as far as the
// endpoint's own load report leaves room. Shares are computed from views: the
// lists of members that the platform has published one after another.
//
// A suspect is a request with the same content as one that was running at an
// endpoint when that crashed. The holder never grants a suspect a place at an
// endpoint where it knows another suspect to run.
//
// # Usage
//
//	gt := &allocation.Granter{Instance: name, Zone: zone, Address: peer, Store: store, Members: members,
//		Caller: client, Endpoints: endpoints, Configuration: &holder, Clock: clock}
//	err := server.Register(allocation.ServiceName, gt.Service())
//	go gt.Run(ctx) // a controller.Controller
//	grant, err := gt.Acquire(ctx, request) // an admission.Granter
package allocation
