// Package relay lets a few instances read the store on behalf of all. The store
// counts each call and each pending watch against its rate limits, which grow
// more slowly than the number of instances.
//
// In each availability zone one instance, the reader, follows the store. The
// others wait at the reader for changes. All instances rank the candidates of
// their zone in the same way, those with the fastest link first, so that no
// agreement is needed: if two instances choose different readers, both work, at
// the cost of some additional calls.
//
// A candidate that fails is passed over for some time, and the next one takes its
// place: a reader that the store does not answer reports it, and its followers and
// the next candidate come to the same conclusion at the same time. One that does not
// answer is noticed within 1.2 s; then all others are asked at once, so that any
// number of lost instances costs the time of one. Only a candidate whose turn it is
// calls the store, so that calls grow with the number of zones and not with that of
// instances. A reader is followed as long as it reads. It steps down when the first
// candidate reads again.
//
// A reader that waits for an answer for longer than one takes says so. The first two
// others of its zone then ask the store, since the reader may only be cut off from it; one
// that gets an answer reads the store. What a silence was, an outage or a cut path, is
// judged when it ends (outage.go).
//
// What others report never keeps a zone from the store for long. While the store is
// known not to answer, the first two candidates that can be reached try it each
// 1.2 s, whoever they take for the reader; while it is not, an instance that got
// nothing for 1.7 s reads the store itself. All this is decided by a state machine
// without network or clock (election.go), which zonesim_test.go explores.
//
// An instance may also be followed while it follows another one. So an instance
// that the store or the network keeps from its reader gets the state through a
// neighbor, or from the readers of other zones if no instance of its own zone has it.
// Each update reports how old the store's confirmations are, and how many
// instances are between the sender and the store. Instances never underestimate
// these ages.
//
// The relayed state is small: endpoints, registered instances, evacuated zones,
// the version of the configuration, and whether the store answers. An instance
// that lacks the version fetches the configuration from the sender of the update,
// and from the store only if the sender cannot provide it.
//
// # Usage
//
//	lo := &relay.Log{Boot: boot, Roster: ro, State: st, Members: members, Now: clock.Now, Epoch: epoch}
//	err := peers.Register(relay.ServiceName, lo.Service())
//	sw := &relay.Switch{Log: lo, Caller: caller, Self: self, Members: members, ...}
//	err = sw.Run(ctx) // a controller.Controller
package relay
