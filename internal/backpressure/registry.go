package backpressure

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/snapshot"
)

// Change is a change of what is known of an endpoint.
type Change string

// The changes, which are counted.
const (
	ChangeLimited    Change = "limited"
	ChangeLimitEnded Change = "limit_ended"
	ChangeLeaving    Change = "leaving"
	ChangeRetryAfter Change = "retry_after"
	ChangeMalformed  Change = "malformed"
)

var changes = []Change{ChangeLimited, ChangeLimitEnded, ChangeLeaving, ChangeRetryAfter, ChangeMalformed}

// Registry keeps the statements of endpoints. Set the exported fields before use.
// It is safe for concurrent use. Readers take no lock.
type Registry struct {
	// Boot measures ages also while the machine is suspended.
	Boot boottime.Clock
	Log  zerolog.Logger
	// Scope receives the counters. Nil counts nothing.
	Scope tally.Scope

	counters metric.Events[Change]
	mu       sync.Mutex
	states   snapshot.Holder[map[string]state]
}

// state is what one endpoint has said. Endpoints that have said nothing have none.
type state struct {
	// started tells processes with the same ID apart.
	started int64
	limit   Limit
	// limitedSince is when the first answer with a limit arrived.
	limitedSince time.Duration
	// pausedUntil is the end of the time for which the endpoint wants no requests.
	pausedUntil time.Duration
	leaving     bool
}

// Limit returns the rate limit of an endpoint and whether it has one.
func (re *Registry) Limit(en roster.Endpoint) (Limit, bool) {
	st, _ := re.lookup(en)
	return st.limit, st.limit.Named
}

// lookup returns the state of an endpoint.
func (re *Registry) lookup(en roster.Endpoint) (state, bool) {
	all := re.states.Load()
	if all == nil {
		return state{}, false
	}
	st, found := (*all)[en.ID]
	if !found || st.started != en.Started {
		return state{}, false
	}
	return st, true
}

// Observe records the signal of an answer. Signals of a process that has been
// replaced are ignored.
func (re *Registry) Observe(en roster.Endpoint, sg Signal) {
	if len(sg.Malformed) > 0 {
		re.count(ChangeMalformed)
		re.Log.Warn().Str("event", "endpoint_signal_malformed").Str("endpoint", en.ID).Str("part", string(sg.Malformed[0])).
			Msg("backpressure: an endpoint's answer has a statement that cannot be decoded; ignoring it")
	}
	before, known := re.lookup(en)
	if !known && !sg.Leaving && !sg.Limit.Named && sg.RetryAfter == 0 {
		return
	}
	after := re.merge(before, en, sg)
	if known && after == before {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	all := re.states.Load()
	next := make(map[string]state)
	if all != nil {
		next = maps.Clone(*all)
	}
	// Another answer may have been recorded in the meantime.
	current, found := next[en.ID]
	if found && current.started > en.Started {
		return
	}
	if !found || current.started != en.Started {
		current = state{}
	}
	after = re.merge(current, en, sg)
	if after == (state{started: en.Started}) {
		delete(next, en.ID)
	} else {
		next[en.ID] = after
	}
	re.states.Store(&next)
	re.report(en, current, after, sg)
}

// merge returns the state of an endpoint after one more signal.
func (re *Registry) merge(st state, en roster.Endpoint, sg Signal) state {
	now := re.Boot.Now()
	st.started = en.Started
	st.leaving = st.leaving || sg.Leaving
	if !slices.Contains(sg.Malformed, PartLimit) {
		if sg.Limit.Named && !st.limit.Named {
			st.limitedSince = now
		}
		if !sg.Limit.Named {
			st.limitedSince = 0
		}
		st.limit = sg.Limit
	}
	if sg.RetryAfter > 0 {
		st.pausedUntil = max(st.pausedUntil, now+sg.RetryAfter)
	}
	if st.pausedUntil <= now {
		st.pausedUntil = 0
	}
	return st
}

// report logs and counts what has changed.
func (re *Registry) report(en roster.Endpoint, before, after state, sg Signal) {
	log := func(event string) *zerolog.Event {
		return re.Log.Info().Str("event", event).Str("endpoint", en.ID).Str("service", en.Service).Str("zone", en.Zone)
	}
	switch {
	case after.limit.Named && after.limit != before.limit:
		re.count(ChangeLimited)
		log("endpoint_limited").Float64("rate", after.limit.Rate).Float64("before", before.limit.Rate).
			Msg("backpressure: an endpoint named a limit for the requests of all instances")
	case before.limit.Named && !after.limit.Named:
		re.count(ChangeLimitEnded)
		log("endpoint_limit_ended").Float64("rate", before.limit.Rate).Dur("lasted", re.Boot.Now()-before.limitedSince).
			Msg("backpressure: an endpoint no longer names a limit")
	}
	if after.leaving && !before.leaving {
		re.count(ChangeLeaving)
		log("endpoint_leaving").Msg("backpressure: an endpoint says in its answers that it is leaving")
	}
	if sg.RetryAfter > 0 {
		re.count(ChangeRetryAfter)
		log("endpoint_retry_after").Dur("pause", sg.RetryAfter).Msg("backpressure: an endpoint wants no requests from this instance for some time")
	}
}

func (re *Registry) count(ch Change) { re.counters.Count(re.Scope, "endpoint_signals", changes, ch) }

// Forget drops the state of endpoints for which known returns false.
func (re *Registry) Forget(known func(id string) bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	all := re.states.Load()
	if all == nil || len(*all) == 0 {
		return
	}
	next := maps.Clone(*all)
	maps.DeleteFunc(next, func(id string, _ state) bool { return !known(id) })
	re.states.Store(&next)
}
