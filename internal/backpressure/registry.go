package backpressure

import (
	"maps"
	"math"
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
	ChangeBrittle    Change = "brittle"
	ChangeBrittleEnd Change = "brittle_ended"
	ChangeRetryAfter Change = "retry_after"
	ChangeMalformed  Change = "malformed"
)

var changes = []Change{ChangeLimited, ChangeLimitEnded, ChangeLeaving, ChangeBrittle, ChangeBrittleEnd, ChangeRetryAfter, ChangeMalformed}

// Registry keeps the statements of endpoints. Set the exported fields before use.
// It is safe for concurrent use. Readers take no lock.
type Registry struct {
	// Boot measures ages also while the machine is suspended.
	Boot boottime.Clock
	Log  zerolog.Logger
	// Scope receives the counters. Nil counts nothing.
	Scope tally.Scope
	// OnLeaving is called, without locks held, when an endpoint says for the first
	// time that it is leaving. It may be nil.
	OnLeaving func(id string, started int64)
	// Changes receives a value when there is a statement to tell other instances.
	// The send does not block: it is skipped if the channel is full.
	Changes chan<- struct{}

	counters metric.Events[Change]
	mu       sync.Mutex
	states   snapshot.Holder[map[string]state]
	news     map[string]news
	unsent   bool
}

// state is what one endpoint has said. Endpoints that have said nothing have none.
type state struct {
	// started tells processes with the same ID apart.
	started int64
	limit   Limit
	// limitedSince is when the first answer with a limit arrived, observedAt when
	// the limit was last stated.
	limitedSince, observedAt time.Duration
	// nextAt is when the next request may be sent, as far as is known. Until
	// deniedUntil, which is sooner, that is taken as still true.
	nextAt, deniedUntil time.Duration
	// pausedUntil is the end of the time for which the endpoint wants no requests.
	pausedUntil time.Duration
	leaving     bool
	brittle     bool
}

// isEmpty reports whether the state differs in nothing from that of an endpoint
// that has said nothing.
func (st state) isEmpty(now time.Duration) bool {
	return !st.limit.Named && !st.leaving && !st.brittle && st.pausedUntil <= now && st.deniedUntil <= now
}

// setLimit sets the limit that the endpoint stated at a given time.
func (st *state) setLimit(limit Limit, at time.Duration) {
	switch {
	case !limit.Named && st.limit.Named:
		st.limitedSince, st.nextAt, st.deniedUntil = 0, 0, 0
	case !limit.Named:
	case !st.limit.Named:
		st.limitedSince = at
	case limit.Rate > st.limit.Rate:
		st.nextAt, st.deniedUntil = 0, 0
	}
	st.limit, st.observedAt = limit, at
}

// Limit returns the rate limit of an endpoint and whether it has one.
func (re *Registry) Limit(en roster.Endpoint) (Limit, bool) {
	st, _ := re.lookup(en)
	return st.limit, st.limit.Named
}

// IsLimited reports whether an endpoint has a rate limit.
func (re *Registry) IsLimited(en roster.Endpoint) bool {
	_, limited := re.Limit(en)
	return limited
}

// IsBrittle reports whether an endpoint must not get requests for which it has no room.
func (re *Registry) IsBrittle(en roster.Endpoint) bool {
	st, _ := re.lookup(en)
	return st.brittle
}

// Available reports whether it is worth asking for a permit for a request to an
// endpoint: it is not in a pause, and its limit is not known to be reached.
func (re *Registry) Available(en roster.Endpoint) bool {
	st, found := re.lookup(en)
	return !found || re.Boot.Now() >= max(st.pausedUntil, st.deniedUntil)
}

// After returns after how long an endpoint may take a request, as far as is known.
func (re *Registry) After(en roster.Endpoint) time.Duration {
	st, _ := re.lookup(en)
	return max(max(st.pausedUntil, st.nextAt)-re.Boot.Now(), 0)
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
	if _, known := re.lookup(en); !known && !sg.Leaving && !sg.Limit.Named && !sg.Brittle && sg.RetryAfter == 0 {
		return
	}
	now := re.Boot.Now()
	re.update(en, func(st state) state {
		st.leaving = st.leaving || sg.Leaving
		if sg.tellsLimit() {
			st.setLimit(sg.Limit, now)
		}
		if sg.tellsBrittle() {
			st.brittle = sg.Brittle
		}
		if sg.RetryAfter > 0 {
			st.pausedUntil = max(st.pausedUntil, now+sg.RetryAfter)
		}
		return st
	}, true)
	if sg.RetryAfter > 0 {
		re.count(ChangeRetryAfter)
		re.Log.Info().Str("event", "endpoint_retry_after").Str("endpoint", en.ID).Dur("pause", sg.RetryAfter).
			Msg("backpressure: an endpoint wants no requests from this instance for some time")
	}
}

// maxDenial is the longest time for which a limit counts as reached without asking
// again, because other instances may need less than before.
const maxDenial = time.Second

// deny records that the limit of an endpoint is reached for some time.
func (re *Registry) deny(en roster.Endpoint, wait time.Duration) {
	now := re.Boot.Now()
	re.update(en, func(st state) state {
		st.nextAt, st.deniedUntil = now+wait, now+min(wait, maxDenial)
		return st
	}, false)
}

// update changes the state of an endpoint, unless a later process has its ID.
// Statements that the endpoint made to this instance itself are told to others.
func (re *Registry) update(en roster.Endpoint, change func(state) state, own bool) {
	before, after, changed := re.replace(en, change, own)
	if !changed {
		return
	}
	re.report(en, before, after)
	if after.leaving && !before.leaving && re.OnLeaving != nil {
		re.OnLeaving(en.ID, en.Started)
	}
}

func (re *Registry) replace(en roster.Endpoint, change func(state) state, own bool) (before, after state, changed bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	next := make(map[string]state)
	if all := re.states.Load(); all != nil {
		next = maps.Clone(*all)
	}
	before, found := next[en.ID]
	if found && before.started > en.Started {
		return before, before, false
	}
	if before.started != en.Started {
		before = state{started: en.Started}
	}
	after = change(before)
	if after.isEmpty(re.Boot.Now()) {
		delete(next, en.ID)
	} else {
		next[en.ID] = after
	}
	re.states.Store(&next)
	if own && (limitMoved(before.limit, after.limit) || after.leaving != before.leaving || after.brittle != before.brittle) {
		re.announce(en.ID, after)
	}
	return before, after, true
}

// toldRateChange is the relative change of a rate from which on other instances are
// told at once. The instance that divides a limit learns of smaller ones when it is
// asked.
const toldRateChange = 0.1

func limitMoved(before, after Limit) bool {
	return before.Named != after.Named || math.Abs(after.Rate-before.Rate) > toldRateChange*before.Rate
}

// report logs and counts what has changed.
func (re *Registry) report(en roster.Endpoint, before, after state) {
	switch {
	case after.limit.Named && after.limit != before.limit:
		re.count(ChangeLimited)
		re.Log.Info().Str("event", "endpoint_limited").Str("endpoint", en.ID).Float64("rate", after.limit.Rate).Float64("before", before.limit.Rate).
			Msg("backpressure: an endpoint named a limit for the requests of all instances")
	case before.limit.Named && !after.limit.Named:
		re.count(ChangeLimitEnded)
		re.Log.Info().Str("event", "endpoint_limit_ended").Str("endpoint", en.ID).Float64("rate", before.limit.Rate).Dur("lasted", re.Boot.Now()-before.limitedSince).
			Msg("backpressure: an endpoint no longer names a limit")
	}
	switch {
	case after.brittle && !before.brittle:
		re.count(ChangeBrittle)
		re.Log.Info().Str("event", "endpoint_brittle").Str("endpoint", en.ID).Msg("backpressure: an endpoint says that it falls over when it has to turn requests away")
	case before.brittle && !after.brittle:
		re.count(ChangeBrittleEnd)
		re.Log.Info().Str("event", "endpoint_brittle_ended").Str("endpoint", en.ID).Msg("backpressure: an endpoint no longer says that it is brittle")
	}
	if after.leaving && !before.leaving {
		re.count(ChangeLeaving)
		re.Log.Info().Str("event", "endpoint_leaving").Str("endpoint", en.ID).Msg("backpressure: an endpoint says in its answers that it is leaving")
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
