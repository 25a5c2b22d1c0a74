// Package relay lets a few instances read the store for all: the store counts
// every call and every waiting watch, and its rates grow more slowly than the
// fleet.
//
// In each availability zone one instance, the reader, follows the store; the
// others wait at the reader for what changes. The reader is the instance of
// the zone with the fastest link that was heard lately, so nothing has to be
// agreed on: two instances that differ about it both work, at the price of
// some calls. An instance whose reader fails, or knows no more than itself,
// reads the store at once.
//
// What is relayed is small: endpoints, zones without work, the version of the
// configuration, and whether the store answers. An instance that lacks the
// version asks the reader for the configuration, and the store only if the
// reader can't hand it on. A reader states how old its proof is that there is no
// newer version, and ages are only ever rounded up on the way.
//
// # Usage
//
//	lo := &relay.Log{Boot: boot, Roster: ro, State: st}
//	err := peers.Register(relay.ServiceName, lo.Service())
//	sw := &relay.Switch{Log: lo, Caller: caller, Members: members, ...}
//	err := sw.Run(ctx) // a controller.Controller
package relay
