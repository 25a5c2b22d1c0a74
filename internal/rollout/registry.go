package rollout

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/snapshot"
)

// confirmationPeriod is how long after the list of orders was last confirmed this
// instance still sends requests to a version on trial.
const confirmationPeriod = 3 * time.Second

// Registry knows the orders and decides which endpoints a request may use. Set the
// exported fields before use. It is safe for concurrent use.
type Registry struct {
	Bounds   Bounds
	Instance string
	Clock    clockwork.Clock
	Log      zerolog.Logger
	// Scope may be nil.
	Scope tally.Scope

	views snapshot.Holder[view]

	mu          sync.Mutex
	boot        uint64
	confirmedAt time.Time
	services    map[string]*service
}

// service is what is known of one service. It is kept while the service has an order,
// endpoints or versions that must not be used.
type service struct {
	name     string
	versions map[string]*version
	// firstSeen is when the first of versions was seen.
	firstSeen time.Time
	endpoints []roster.Endpoint
	rollout   *rollout
	// ranked are the IDs of the target's endpoints in the order in which they are
	// tried; nil if they may have changed.
	ranked []string
	// removed is the last order that is not in the list any more.
	removed   *rollout
	removedAt time.Time
}

// Put replaces the list of orders by the complete one that the store, or the reader
// that is followed, has.
func (re *Registry) Put(list []Order) {
	if re.Bounds.Share <= 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.Clock.Now()
	listed := make(map[string]bool, len(list))
	for _, or := range list {
		listed[or.Service] = true
		re.putOrder(or, now)
	}
	for name, se := range re.services {
		if se.rollout != nil && !listed[name] {
			re.removeOrder(se, now)
		}
	}
	re.publish(now)
}

// putOrder takes an order in. One that names another target replaces the earlier one.
func (re *Registry) putOrder(or Order, now time.Time) {
	se := re.service(or.Service)
	if se.rollout != nil && se.rollout.order.Target != or.Target {
		re.removeOrder(se, now)
	}
	if se.rollout == nil {
		if se.removed != nil && se.removed.order.Target == or.Target && now.Sub(se.removedAt) < forgetPeriod {
			// A restored store had lost the order, and an operator has written it again.
			se.rollout = se.removed
		} else {
			se.rollout = re.newRollout(or, now)
			ve := se.versions[or.Target]
			se.rollout.inUse = ve != nil && ve.known && !ve.withdrawn
		}
		se.removed = nil
	}
	if ve := se.versions[or.Target]; ve != nil {
		ve.withdrawn = false
	}
	se.useOnlyVersion()
	se.ranked = nil
	se.rollout.put(or, now)
}

// removeOrder forgets an order that is not in the list any more. Unless it was
// completed, its target gets no request until another order names it.
func (re *Registry) removeOrder(se *service, now time.Time) {
	ro := se.rollout
	se.rollout, se.removed, se.removedAt = nil, ro, now
	if ro.state != Completed {
		se.version(ro.order.Target, now).withdrawn = true
	}
	re.Log.Info().Str("event", "rollout_order_removed").Str("service", se.name).Str("target", ro.order.Target).Stringer("state", ro.state).Msg("rollout: order was removed or replaced")
}

// Confirmed records that the list was current at a time: when the call that the store
// answered was made, by the own clock.
func (re *Registry) Confirmed(at time.Time) {
	if re.Bounds.Share <= 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if !at.After(re.confirmedAt) {
		return
	}
	now := re.Clock.Now()
	stale := re.stale(now)
	re.confirmedAt = at
	if re.confirmVersions() || stale {
		re.publish(now)
	}
}

// stale reports whether the list was not confirmed recently.
func (re *Registry) stale(now time.Time) bool {
	return re.confirmedAt.IsZero() || now.Sub(re.confirmedAt) > confirmationPeriod
}

// Endpoints records all known endpoints, also leaving ones. It must be called before
// Filter is asked about them: whenever the roster publishes a view.
func (re *Registry) Endpoints(all map[string]roster.Endpoint) {
	if re.Bounds.Share <= 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.Clock.Now()
	for _, se := range re.services {
		se.endpoints, se.ranked = se.endpoints[:0], nil
	}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		en := all[id]
		se := re.service(en.Service)
		se.endpoints = append(se.endpoints, en)
	}
	for name, se := range re.services {
		se.observe(now)
		if se.idle() {
			delete(re.services, name)
		}
	}
	re.confirmVersions()
	re.publish(now)
}

// Sent records that a request is sent to an endpoint. Each sending counts.
func (re *Registry) Sent(en roster.Endpoint) {
	if re.views.Load().rule(en.Service).target == "" {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if ro := re.active(en.Service); ro != nil {
		ro.ledger.sent(en.Version == ro.order.Target)
	}
}

// Record records a finished answer.
func (re *Registry) Record(en roster.Endpoint, sa Sample) {
	if re.views.Load().rule(en.Service).target == "" {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if ro := re.active(en.Service); ro != nil {
		ro.ledger.record(en, en.Version == ro.order.Target, sa, re.Clock.Now())
	}
}

// active returns the order of a service that is not finished. The caller must hold mu.
func (re *Registry) active(name string) *rollout {
	se := re.services[name]
	if se == nil || se.rollout == nil || se.rollout.state.Final() {
		return nil
	}
	return se.rollout
}

// Changed returns the reports of this instance, and whether they differ from those
// that the previous call returned.
func (re *Registry) Changed() (list []Report, unsent bool) {
	if re.Bounds.Share <= 0 {
		return nil, false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.Clock.Now()
	for _, name := range slices.Sorted(maps.Keys(re.services)) {
		ro := re.services[name].rollout
		if ro == nil || ro.state.Final() && !ro.bad {
			continue
		}
		if ro.ledger.unsent {
			ro.ledger.own.Sequence++
			ro.ledger.unsent, unsent = false, true
		}
		list = append(list, ro.ledger.report(ro.age(now)))
	}
	return list, unsent
}

// Merge replaces what another instance has reported.
func (re *Registry) Merge(instance string, list []Report) {
	if re.Bounds.Share <= 0 || instance == re.Instance {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.Clock.Now()
	stopped := false
	for _, rep := range list {
		se := re.services[rep.Service]
		if se == nil || se.rollout == nil || se.rollout.order.Target != rep.Target {
			continue
		}
		stopped = se.rollout.merge(instance, rep, now, re.Log) || stopped
	}
	if stopped {
		re.publish(now)
	}
}

// count increments a counter, if there is a Scope.
func (re *Registry) count(name string) {
	if re.Scope != nil {
		re.Scope.Counter(name).Inc(1)
	}
}

func (re *Registry) service(name string) *service {
	se := re.services[name]
	if se == nil {
		if re.services == nil {
			re.services = make(map[string]*service)
		}
		se = &service{name: name, versions: make(map[string]*version)}
		re.services[name] = se
	}
	return se
}
