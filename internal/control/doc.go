// Package control assembles the control plane of an entry instance: the
// controllers that keep its configuration and its member table up to date and
// execute the plans of operators.
//
// # Usage
//
//	co := &control.Control{Self: self, Store: store, Caller: client, Holder: &holder, Clock: clock, Log: log, Stop: stop}
//	co.Build()
//	err := co.Register(server)           // a peer.Server
//	granter = co.CountGrants(granter)    // an admission.Granter that counts grants in use
//	operators.Routes = co.Routes()
//	controllers = append(controllers, co.Controllers()...)
package control
