package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/relay"
	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// configurationSink puts new configurations into effect.
type configurationSink struct {
	name  string
	state *routing.State
	log   zerolog.Logger
	// onChange is called after a new configuration has taken effect. It may be
	// nil.
	onChange func()
	// onAnswer and onFailure are called after each call that the store answered
	// or that failed.
	onAnswer, onFailure func()
	// onRestored is called when the store was restored from an older copy. It may be
	// nil.
	onRestored func()
}

// Restored implements feed.Sink. The version in force never goes back. A newer one
// that only other zones have must be in force before the store's copy counts as a
// confirmation.
func (cs *configurationSink) Restored() {
	if cs.onRestored != nil {
		cs.onRestored()
	}
}

// Reset implements feed.Sink.
func (cs *configurationSink) Reset(list []feed.Object[routing.Configuration]) {
	for _, ob := range list {
		cs.apply(ob)
	}
}

// Apply implements feed.Sink.
func (cs *configurationSink) Apply(list []feed.Change[routing.Configuration]) {
	for _, ch := range list {
		if !ch.Removed {
			cs.apply(ch.Object)
		}
	}
}

// CallAnswered implements feed.Sink.
func (cs *configurationSink) CallAnswered(start time.Duration) {
	cs.state.Confirm(start)
	cs.onAnswer()
}

// CallFailed implements feed.Sink.
func (cs *configurationSink) CallFailed(error) { cs.onFailure() }

func (cs *configurationSink) apply(ob feed.Object[routing.Configuration]) {
	if ob.Name != cs.name {
		return
	}
	if ob.Value == nil {
		cs.log.Error().Str("event", "configuration_unreadable").Err(ob.Err).Msg("gateway: configuration could not be decoded, keeping the current one")
		return
	}
	if cs.state.Put(ob.Value) {
		if cs.onChange != nil {
			cs.onChange()
		}
		cs.log.Info().Str("event", "configuration").Int64("version", ob.Value.Version).Int("keys", ob.Value.Keys()).Msg("gateway: new configuration in effect")
	}
}

// endpointSink updates the roster. It also reports answered calls to the relay log,
// so that other instances learn how old the roster is.
type endpointSink struct {
	*roster.Roster
	// onList is called before a list or changes are applied.
	onList func()
	// onAnswer is called with the boot time at which an answered call started.
	onAnswer func(start time.Duration)
}

// Reset implements feed.Sink.
func (es *endpointSink) Reset(list []feed.Object[roster.Endpoint]) {
	es.onList()
	es.Roster.Reset(list)
}

// Apply implements feed.Sink.
func (es *endpointSink) Apply(list []feed.Change[roster.Endpoint]) {
	es.onList()
	es.Roster.Apply(list)
}

// CallAnswered implements feed.Sink.
func (es *endpointSink) CallAnswered(start time.Duration) {
	es.Roster.CallAnswered(start)
	es.onAnswer(start)
}

// evacuationSink tracks the zones that operators have evacuated.
type evacuationSink struct {
	roster *roster.Roster
	clock  clockwork.Clock
	zones  map[string]bool
	// held has the zones that were evacuated when the store was restored from an
	// older copy, until operators have had time to write them again.
	held      map[string]bool
	heldUntil time.Time
}

// rewriteTime is the time in which operators write again what a restored store lost.
const rewriteTime = 5 * time.Second

// Restored implements feed.Sink.
func (es *evacuationSink) Restored() {
	es.held, es.heldUntil = make(map[string]bool), es.clock.Now().Add(rewriteTime)
	for _, zone := range es.roster.View().Evacuated() {
		es.held[zone] = true
	}
}

// Reset implements feed.Sink.
func (es *evacuationSink) Reset(list []feed.Object[string]) {
	es.zones = make(map[string]bool, len(list))
	for _, ob := range list {
		es.zones[ob.Name] = true
	}
	es.publish()
}

// Apply implements feed.Sink.
func (es *evacuationSink) Apply(list []feed.Change[string]) {
	for _, ch := range list {
		if ch.Removed {
			delete(es.zones, ch.Object.Name)
			continue
		}
		es.zones[ch.Object.Name] = true
	}
	es.publish()
}

// CallAnswered implements feed.Sink.
func (es *evacuationSink) CallAnswered(time.Duration) {
	if es.held != nil && !es.clock.Now().Before(es.heldUntil) {
		es.held = nil
		es.publish()
	}
}

// CallFailed implements feed.Sink.
func (*evacuationSink) CallFailed(error) {}

func (es *evacuationSink) publish() {
	all := maps.Clone(es.held)
	if all == nil {
		all = make(map[string]bool)
	}
	maps.Copy(all, es.zones)
	zones := slices.Sorted(maps.Keys(all))
	es.roster.SetEvacuatedZones(zones)
}

// rolloutSink tracks the roll-outs that operators have ordered.
type rolloutSink struct {
	orders *relay.Orders
	clock  clockwork.Clock
	log    zerolog.Logger
	list   map[string]rollout.Order
	// held has the orders that were known when the store was restored from an older
	// copy, until operators have had time to write them again.
	held      map[string]rollout.Order
	heldUntil time.Time
}

// Restored implements feed.Sink.
func (rs *rolloutSink) Restored() {
	rs.held, rs.heldUntil = make(map[string]rollout.Order), rs.clock.Now().Add(rewriteTime)
	for _, or := range rs.orders.List() {
		rs.held[or.Service] = or
	}
}

// Reset implements feed.Sink.
func (rs *rolloutSink) Reset(list []feed.Object[rollout.Order]) {
	rs.list = make(map[string]rollout.Order, len(list))
	for _, ob := range list {
		rs.put(ob)
	}
	rs.publish()
}

// Apply implements feed.Sink.
func (rs *rolloutSink) Apply(list []feed.Change[rollout.Order]) {
	for _, ch := range list {
		if ch.Removed {
			delete(rs.list, ch.Object.Name)
			continue
		}
		rs.put(ch.Object)
	}
	rs.publish()
}

// put records an order. One that can't be read orders nothing.
func (rs *rolloutSink) put(ob feed.Object[rollout.Order]) {
	if ob.Value == nil {
		delete(rs.list, ob.Name)
		rs.log.Warn().Str("event", "rollout_unreadable").Str("service", ob.Name).Err(ob.Err).Msg("gateway: order of a roll-out could not be decoded; it orders nothing")
		return
	}
	rs.list[ob.Name] = *ob.Value
}

// CallAnswered implements feed.Sink.
func (rs *rolloutSink) CallAnswered(begun time.Duration) {
	if rs.held != nil && !rs.clock.Now().Before(rs.heldUntil) {
		rs.held = nil
		rs.publish()
	}
	rs.orders.Confirm(begun)
}

// CallFailed implements feed.Sink.
func (*rolloutSink) CallFailed(error) {}

func (rs *rolloutSink) publish() {
	all := maps.Clone(rs.list)
	for service, or := range rs.held {
		if _, known := all[service]; !known {
			all[service] = or
		}
	}
	rs.orders.Put(slices.Collect(maps.Values(all)))
}
