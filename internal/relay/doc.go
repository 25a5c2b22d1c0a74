// Package relay lets a few instances read the store on behalf of all. The
// store limits the rate of calls and of pending watches, and its limits grow
// more slowly than the number of instances.
//
// In each availability zone one instance, the reader, follows the store. The
// others wait at the reader for changes. The reader is the instance of the zone
// with the fastest link among those seen recently, so that no agreement is
// needed: if two instances choose different readers, both work, at the cost of
// some additional calls. An instance whose reader fails, or is no more up to
// date than itself, reads the store at once.
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
//	lo := &relay.Log{Boot: boot, Roster: ro, State: st}
//	err := peers.Register(relay.ServiceName, lo.Service())
//	sw := &relay.Switch{Log: lo, Caller: caller, Members: members, ...}
//	err := sw.Run(ctx) // a controller.Controller
package relay
