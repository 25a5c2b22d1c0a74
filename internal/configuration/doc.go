// Package configuration distributes the newest accepted configuration to all
// instances and keeps it in force there.
//
// The platform stores a configuration as a Head, which is changed by
// compare-and-set, and as shards, which the head names by the hash of their
// content. A Bundle is a head with its shards. Pack builds a bundle from a
// configuration, and Publish writes it to the platform.
//
// On each instance a State holds the bundle in force and never goes back to a
// lower version. On a few instances of each zone, a Watcher reads new versions
// from the platform. A Distributor notifies other instances of a new version
// and fetches it from any instance that has a higher one.
//
// # Usage
//
//	st := &configuration.State{Holder: &holder, Log: log}
//	wa := &configuration.Watcher{Store: store, State: st, Clock: clock, Log: log}
//	di := &configuration.Distributor{State: st, Peers: peers, Caller: client, Clock: clock, Log: log}
//	if err := server.Register(configuration.ServiceName, &configuration.Service{State: st, Distributor: di}); err != nil {
//		return err
//	}
//	go wa.Run(ctx)
//	go di.Run(ctx)
package configuration
