package rollout

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/roster"
)

// Registry knows the orders and decides which endpoints a request may use. Set the
// exported fields before use. It is safe for concurrent use.
type Registry struct {
	Bounds   Bounds
	Instance string
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Scope    tally.Scope
}

// Put replaces the list of orders by the complete one that the store, or the reader
// that is followed, has.
func (re *Registry) Put(list []Order) {}

// Confirmed records that the list was current at a time: when the call that the store
// answered was made, by the own clock.
func (re *Registry) Confirmed(at time.Time) {}

// Endpoints records all known endpoints, also leaving ones. It must be called before
// Filter is asked about them: whenever the roster publishes a view.
func (re *Registry) Endpoints(all map[string]roster.Endpoint) {}

// Filter returns the endpoints among ready to which a request may go. ready holds
// endpoints of one service. The result must not be changed. request is the request's ID;
// it is empty for a repeated attempt, which never goes to a version on trial if there
// is another.
func (re *Registry) Filter(service, request string, ready []roster.Endpoint) []roster.Endpoint {
	return ready
}

// Leaves reports whether the runs at an endpoint should move to endpoints that Allows
// accepts: off old endpoints while an order is promoted, off the target once it is
// rolled back.
func (re *Registry) Leaves(en roster.Endpoint) bool { return false }

// Allows reports whether a run may go on at this endpoint now, or a standby copy be
// kept there.
func (re *Registry) Allows(en roster.Endpoint) bool { return true }

// Sent records that a request is sent to an endpoint. Each sending counts.
func (re *Registry) Sent(en roster.Endpoint) {}

// Record records a finished answer.
func (re *Registry) Record(en roster.Endpoint, sa Sample) {}

// Changed returns the reports of this instance, and whether they differ from those
// that the previous call returned.
func (re *Registry) Changed() (list []Report, unsent bool) { return nil, false }

// Merge replaces what another instance has reported.
func (re *Registry) Merge(instance string, list []Report) {}

// Next evaluates all orders and returns a status that should be written now. It must be
// called several times a second on each instance. evaluator reports whether this
// instance is the one that evaluates a service. pending returns how many runs and
// requests are still at endpoints of other versions than the target, in the fleet.
func (re *Registry) Next(evaluator func(service string) bool, pending func(service, target string) int) (Transition, bool) {
	return Transition{}, false
}
