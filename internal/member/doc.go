// Package member maintains each instance's view of the other entry instances,
// from the platform's list, which is updated late, and from its own probes. An
// entry instance is one process that accepts the requests of callers.
//
// Instances of one zone probe each other. Between zones, each instance probes
// a few members of every other zone, chosen by rendezvous hashing. A probe
// carries the version of the configuration in force, so that it also repairs
// missed change notifications. No decision requires two instances to have the
// same view.
//
// # Usage
//
//	ta := &member.Table{Self: self, Store: store, Caller: client, Clock: clock, Log: log, Version: version}
//	err := server.Register(member.ServiceName, &member.Service{Table: ta})
//	go ta.Run(ctx)
//	for _, me := range ta.View().Members { ... }
package member
