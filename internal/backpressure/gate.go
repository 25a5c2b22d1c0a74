package backpressure

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Transport sends calls to endpoints. upstream.Pool implements it.
type Transport interface {
	Do(ctx context.Context, ca upstream.Call) (*upstream.Answer, error)
}

// Limiter divides the rate limits of endpoints among the instances.
// ratelimit.Limiter implements it.
type Limiter interface {
	// Take takes one request from the rate limit of an endpoint and returns after
	// how long it may be sent, which is at most maxWait. If there is none, it
	// returns false, and after how long there may be one.
	Take(ctx context.Context, en roster.Endpoint, limit Limit, maxWait time.Duration) (wait time.Duration, taken bool)
}

// Slots gives out the slots of endpoints that must not get more requests than they
// process at once. concurrency.Limiter implements it.
type Slots interface {
	// Take takes a slot of an endpoint for at most lease. If there is none within
	// maxWait, it returns false, and after how long it is worth asking again.
	Take(ctx context.Context, en roster.Endpoint, maxWait, lease time.Duration) (use Use, wait time.Duration, taken bool)
	// Enter counts a request that needs no slot, since it may still be in progress when
	// its endpoint's slots are given out.
	Enter(en roster.Endpoint) Use
}

// Use is one request in progress at an endpoint.
type Use interface {
	// End must be called once, when the request is no longer in progress. turnedAway is
	// set if the endpoint had no room for it.
	End(turnedAway bool)
}

// permitLifetime is the time after which a permit that was not used expires. A
// process that was paused for longer must ask again.
const permitLifetime = 500 * time.Millisecond

// Permit allows one call to one endpoint. Only a Gate issues permits.
type Permit struct {
	endpoint roster.Endpoint
	// validFrom is when the call may be sent, validUntil when the permit expires.
	validFrom, validUntil time.Duration
	// terms are those of the request, and limit the one under which it has its turn.
	terms Terms
	limit Limit
	// hasSlot is set if the request has a slot of its endpoint, or no slots are given out.
	hasSlot bool
	// control is set for calls to the control API.
	control bool
	used    atomic.Bool
	// use is the call as a request in progress at its endpoint. It may be nil.
	use        Use
	turnedAway atomic.Bool
	once       sync.Once
}

// TurnedAway records that the endpoint had no room for the call. It must be called before
// Release.
func (pe *Permit) TurnedAway() { pe.turnedAway.Store(true) }

// Release must be called when the call has ended, or will not be made. Further calls have
// no effect, nor has one on a nil permit.
func (pe *Permit) Release() {
	if pe != nil && pe.use != nil {
		pe.once.Do(func() { pe.use.End(pe.turnedAway.Load()) })
	}
}

// Gate sends calls to endpoints. Each call needs a permit, for which the endpoint's
// own statements are asked, and each answer is read for new ones. Set the fields
// before use. It is safe for concurrent use.
type Gate struct {
	Transport Transport
	// Decode returns the signal in the header of an answer.
	Decode   func(*upstream.Answer) Signal
	Registry *Registry
	// Limiter divides rate limits. If it is nil, they are not kept.
	Limiter Limiter
	// Slots gives out the slots of brittle endpoints. If it is nil, they get requests
	// like others.
	Slots Slots
	// SlotsOf returns how many requests an endpoint processes at once. If it is nil, the
	// number is that of the endpoint's entry.
	SlotsOf func(en roster.Endpoint) int
	// Usable reports whether an endpoint may get requests, by what is known of it beside
	// its answers. If it is nil, all may.
	Usable func(en roster.Endpoint) bool
}

// Terms are the conditions of a request to an endpoint.
type Terms struct {
	// MaxWait is how long the request can wait.
	MaxWait time.Duration
	// ColdRate is the rate of requests, of all instances together, that the endpoint
	// can process because it is in cold start. Zero means that it is not.
	ColdRate float64
	// Lease is how long the request may last.
	Lease time.Duration
	// HasRoom is set if the endpoint keeps room for the request, as for a run whose copy
	// it holds: the request needs no slot, and is sent although the endpoint leaves.
	HasRoom bool
	// IsCheck is set for health checks, which go to endpoints that get no requests, too.
	IsCheck bool
}

// limitWith returns the lower one of the limit that an endpoint named and the rate
// that it can process in cold start.
func (te Terms) limitWith(named Limit) Limit {
	if te.ColdRate <= 0 || named.Named && named.Rate <= te.ColdRate {
		return named
	}
	return Limit{Rate: te.ColdRate, Named: true, Paced: true}
}

// Request returns a permit for a request of a caller, valid after at most
// Terms.MaxWait. It must be released. An error is of type *Error.
func (ga *Gate) Request(ctx context.Context, en roster.Endpoint, te Terms) (*Permit, error) {
	pe := &Permit{endpoint: en, terms: te}
	st, _ := ga.Registry.lookup(en)
	if err := ga.judgeEndpoint("request", pe, st); err != nil {
		return nil, err
	}
	if err := ga.takeSlot(ctx, pe, st); err != nil {
		return nil, err
	}
	// The request may have waited for its slot.
	st, _ = ga.Registry.lookup(en)
	pe.limit = te.limitWith(st.limit)
	if err := ga.judge("request", pe, st); err != nil {
		pe.Release()
		return nil, err
	}
	// A pause of the process while the limiter is asked counts toward the permit's life.
	begun := ga.Registry.Boot.Now()
	wait, err := ga.takeRate(ctx, pe, st)
	if err != nil {
		pe.Release()
		return nil, err
	}
	pe.validFrom = begun + wait
	pe.validUntil = pe.validFrom + permitLifetime
	return pe, nil
}

// takeSlot takes a slot for a permit if its endpoint is brittle.
func (ga *Gate) takeSlot(ctx context.Context, pe *Permit, st state) error {
	if ga.Slots == nil {
		pe.hasSlot = true
		return nil
	}
	en, te := pe.endpoint, pe.terms
	if ga.SlotsOf != nil {
		en.Slots = ga.SlotsOf(en)
	}
	if !st.brittle || te.HasRoom {
		pe.use = ga.Slots.Enter(en)
		return nil
	}
	if left := st.deniedUntil - ga.Registry.Boot.Now(); te.MaxWait <= 0 && left > 0 {
		return &Error{Op: "request", Endpoint: en.ID, Kind: Full, After: left}
	}
	use, wait, taken := ga.Slots.Take(ctx, en, te.MaxWait, te.Lease)
	if !taken {
		ga.Registry.deny(en, wait)
		return &Error{Op: "request", Endpoint: en.ID, Kind: Full, After: wait}
	}
	pe.use, pe.hasSlot = use, true
	return nil
}

// takeRate takes a request from the rate limit of an endpoint and returns after how long
// it may be sent.
func (ga *Gate) takeRate(ctx context.Context, pe *Permit, st state) (time.Duration, error) {
	now := ga.Registry.Boot.Now()
	en, te, limit := pe.endpoint, pe.terms, pe.limit
	if !limit.Named || ga.Limiter == nil {
		return 0, nil
	}
	if left := st.nextAt - now; now < st.deniedUntil && left > te.MaxWait {
		return 0, &Error{Op: "request", Endpoint: en.ID, Kind: Limited, After: left}
	}
	wait, taken := ga.Limiter.Take(ctx, en, limit, te.MaxWait)
	if !taken {
		ga.Registry.deny(en, wait)
		return 0, &Error{Op: "request", Endpoint: en.ID, Kind: Limited, After: wait}
	}
	return wait, nil
}

// Probe returns a permit for a call that asks an endpoint for its state. Such calls
// do not count toward its rate limit. An error is of type *Error.
func (ga *Gate) Probe(en roster.Endpoint) (*Permit, error) {
	st, _ := ga.Registry.lookup(en)
	if left := st.pausedUntil - ga.Registry.Boot.Now(); left > 0 {
		return nil, &Error{Op: "probe", Endpoint: en.ID, Kind: Paused, After: left}
	}
	return ga.Order(en), nil
}

// Order returns a permit for a call that moves runs off an endpoint, or frees their
// copies. It is given in a pause, too: an endpoint that is leaving may turn requests
// away with a pause, and runs that stay there are lost.
func (ga *Gate) Order(en roster.Endpoint) *Permit {
	pe := newPermit(en, ga.Registry.Boot.Now())
	pe.control = true
	return pe
}

func newPermit(en roster.Endpoint, from time.Duration) *Permit {
	return &Permit{endpoint: en, validFrom: from, validUntil: from + permitLifetime}
}

// Wait returns how long to wait until the permit is valid.
func (ga *Gate) Wait(pe *Permit) time.Duration {
	return max(pe.validFrom-ga.Registry.Boot.Now(), 0)
}

// Do sends a call to the endpoint of a permit and reads the head of its answer. The
// caller must close the answer. An error of type *Error means that the call was not
// sent because of its permit.
func (ga *Gate) Do(ctx context.Context, pe *Permit, ca upstream.Call) (*upstream.Answer, error) {
	if pe == nil || pe.used.Swap(true) {
		return nil, &Error{Op: "send", Endpoint: ca.Address, Kind: NoPermit}
	}
	if err := ga.judgePermit(pe); err != nil {
		return nil, err
	}
	an, err := ga.Transport.Do(ctx, ca)
	if err != nil {
		return nil, err
	}
	// A misdirected call was answered by another endpoint, which now has the address.
	if an.Status != http.StatusMisdirectedRequest {
		sg := ga.Decode(an)
		sg.Partial = sg.Partial || pe.control
		ga.Registry.Observe(pe.endpoint, sg)
	}
	return an, nil
}
