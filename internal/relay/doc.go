// Package relay lets a few instances read the store on behalf of all. The
// store counts each call and each pending watch against its rate limits, which
// grow more slowly than the number of instances.
//
// In each availability zone one instance, the reader, follows the store. The
// others wait at the reader for changes. The reader is the instance of the zone
// with the fastest link among those seen recently, so that no agreement is
// needed: if two instances choose different readers, both work, at the cost of
// some additional calls. An instance reads the store at once if its reader
// fails, does not read the store itself, or has state that is too old. Shortly
// after its start it waits for a reader that is not ready yet.
//
// The relayed state is small: endpoints, evacuated zones, the version of the
// configuration, and whether the store answers. An instance that lacks the
// version fetches the configuration from the reader, and from the store only if
// the reader cannot provide it. A reader reports the age of the store's last
// confirmation that there is no newer version. Instances never underestimate
// this age.
//
// # Usage
//
//	lo := &relay.Log{Boot: boot, Roster: ro, State: st, Now: clock.Now, Epoch: epoch}
//	err := peers.Register(relay.ServiceName, lo.Service())
//	sw := &relay.Switch{Log: lo, Caller: caller, Members: members, ...}
//	err = sw.Run(ctx) // a controller.Controller
package relay
