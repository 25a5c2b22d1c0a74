package dispatch

import (
	"context"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
)

// Rollouts decides which endpoints requests may use while the traffic of a service
// moves to another version, and is told how endpoints answer. rollout.Registry
// implements all but Ordered.
type Rollouts interface {
	// Ordered reports whether a roll-out of a service was ordered.
	Ordered(service string) bool
	// Filter returns the endpoints to which a request may go. The request is its ID,
	// or empty for a repeated attempt.
	Filter(service, request string, ready []roster.Endpoint) []roster.Endpoint
	// Allows reports whether a run may go on at an endpoint, or a standby copy be kept
	// there.
	Allows(en roster.Endpoint) bool
	// Sent records that a request is sent to an endpoint.
	Sent(en roster.Endpoint)
	// Record records a finished answer of an endpoint.
	Record(en roster.Endpoint, sa rollout.Sample)
}

// permitted returns those of the ready endpoints that the task may use during a roll-out
// of the service. A repeated attempt may not use a version on trial.
func (di *Dispatcher) permitted(ta *task, ready []roster.Endpoint) []roster.Endpoint {
	if di.Rollouts == nil {
		return ready
	}
	key := ta.ID
	if ta.noTrial || len(ta.tried) > 0 {
		key = ""
	}
	return di.Rollouts.Filter(ta.service.Name, key, ready)
}

// isPermitted reports whether the task may still use an endpoint after a wait.
func (di *Dispatcher) isPermitted(ta *task, en roster.Endpoint) bool {
	return di.Rollouts == nil || slices.ContainsFunc(di.permitted(ta, di.Roster.View().Ready(ta.service.Name)), func(other roster.Endpoint) bool {
		return other.ID == en.ID
	})
}

// leaveTrial makes the task use the endpoints of versions that are not on trial, and
// reports whether that gives it other endpoints than before.
func (di *Dispatcher) leaveTrial(ta *task, before, ready []roster.Endpoint) ([]roster.Endpoint, bool) {
	if di.Rollouts == nil || ta.noTrial {
		return before, false
	}
	ta.noTrial = true
	after := di.permitted(ta, ready)
	return after, !slices.EqualFunc(before, after, func(a, b roster.Endpoint) bool { return a.ID == b.ID })
}

// allows returns those of the endpoints at which a run may go on.
func (di *Dispatcher) allows(list []roster.Endpoint) []roster.Endpoint {
	if di.Rollouts == nil || !slices.ContainsFunc(list, func(en roster.Endpoint) bool { return !di.Rollouts.Allows(en) }) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(en roster.Endpoint) bool { return !di.Rollouts.Allows(en) })
}

// recordSent records that a request is sent to an endpoint.
func (di *Dispatcher) recordSent(en roster.Endpoint) {
	if di.Rollouts != nil {
		di.Rollouts.Sent(en)
	}
}

// recordAnswer records the answer of an endpoint that came whole, or the first event of
// a stream.
func (di *Dispatcher) recordAnswer(ta *task, en roster.Endpoint, sentAt time.Time, failed bool) {
	if di.Rollouts != nil {
		di.Rollouts.Record(en, rollout.Sample{Route: ta.route.Name, Failed: failed, Latency: di.Clock.Since(sentAt)})
	}
}

// recordTimeout records an answer that did not come in time. If the caller left,
// nothing is known of the endpoint.
func (di *Dispatcher) recordTimeout(ctx context.Context, ta *task, en roster.Endpoint, sentAt time.Time) {
	if isTimeout(ctx) {
		di.recordAnswer(ta, en, sentAt, true)
	}
}

// recordLoss records an answer that broke off. An endpoint that is leaving is expected
// to break answers off, and a lost link says nothing about its endpoint.
func (di *Dispatcher) recordLoss(ta *task, en roster.Endpoint, crashed bool) {
	if di.Rollouts == nil || !di.Rollouts.Ordered(ta.service.Name) {
		return
	}
	if now, known := di.Roster.View().Get(en.ID); !known || now.Leaving {
		return
	}
	sa := rollout.Sample{Route: ta.route.Name, Failed: true, Crashed: crashed}
	if !crashed && di.Reachable != nil {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		sa.LinkLost = !di.Reachable(ctx, en.Address)
	}
	di.Rollouts.Record(en, sa)
}

// mayGoOnAt reports whether the run may go on at an engine. At the engine where it was
// stopped, it may whatever the version is; one that was called without an answer is not that.
func (se *session) mayGoOnAt(en roster.Endpoint) bool {
	return en.ID == se.endpoint.ID && !se.calledAgain || len(se.di.allows([]roster.Endpoint{en})) > 0
}
