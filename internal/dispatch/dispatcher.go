package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/budget"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Sender sends calls; upstream.Pool is one.
type Sender interface {
	Do(ctx context.Context, ca upstream.Call) (*upstream.Answer, error)
}

// Dispatcher answers requests. Set the fields before the first request. It is
// safe for concurrent use.
type Dispatcher struct {
	State  *routing.State
	Roster *roster.Roster
	Board  *placement.Board
	Budget *budget.Window
	Sender Sender
	Codec  Codec
	Clock  clockwork.Clock
	Log    zerolog.Logger
	// Ages returns the bounds on the age of what the store confirmed.
	Ages func() Ages
	// Members returns how many instances share the bounds of an endpoint.
	Members func() int
	// Runs takes in streams, so that they can be moved; nil moves none.
	Runs Runs
	// Suspects knows requests that crash endpoints; nil knows none. Reachable
	// tells whether an endpoint takes connections.
	Suspects  Suspects
	Reachable func(ctx context.Context, address string) bool
	// Meter counts; nil counts nothing.
	Meter *Meter

	outputs outputs
}

// Ages bounds the age of proofs.
type Ages struct {
	// Key is for the proof that a caller's key is still valid.
	Key time.Duration
	// Deny is for the proof that a route or key does not exist.
	Deny time.Duration
}

// task is a request under way.
type task struct {
	*Request
	route   routing.Route
	service routing.Service
	team    string
	// open tells that no team is configured, so that credentials are the
	// endpoints' affair.
	open     bool
	deadline time.Time
	// ran counts the attempts that may have run.
	ran int
	// arrivals counts the attempts that may have reached an endpoint.
	arrivals int
	tried    map[string]bool
	// fingerprint is the same for all sendings of a request; see suspect.go.
	fingerprint uint64
}

// Serve answers one request. Canceling ctx gives it up.
func (di *Dispatcher) Serve(ctx context.Context, re *Request) Reply {
	rp := di.serve(ctx, re)
	di.Meter.reply(rp, di.Clock.Since(re.Arrived))
	return rp
}

func (di *Dispatcher) serve(ctx context.Context, re *Request) Reply {
	ta, err := di.admit(re)
	if err != nil {
		return di.refuse(re, err)
	}
	di.Budget.Arrived(ta.service.Name)
	if ta.route.Repeat == routing.Streaming {
		return di.stream(ctx, ta)
	}
	return di.call(ctx, ta)
}

// admit finds what the configuration says of a request.
func (di *Dispatcher) admit(re *Request) (*task, *refusal.Error) {
	cf := di.State.Load()
	age, proven := di.State.Age()
	if cf == nil || !proven {
		return nil, refusal.New(refusal.NoConfiguration, "no configuration is known yet").WithRetryAfter(startRetryAfter)
	}
	route, found := cf.Match(re.Host, re.Path)
	if !found {
		return nil, di.deny(age, refusal.New(refusal.NotFound, "no route for "+re.Host+re.Path))
	}
	if bound := cf.Limits().BodyBytes; bound > 0 && len(re.Body) > bound {
		return nil, refusal.New(refusal.TooLarge, "the body is over "+strconv.Itoa(bound)+" bytes")
	}
	ta := &task{Request: re, route: route, open: !cf.HasTeams()}
	if cf.NeedsKey(route) {
		team, known := cf.Team(re.Key)
		switch {
		case !re.HasKey || !known:
			return nil, di.deny(age, refusal.New(refusal.Unauthenticated, "the key is not known"))
		case age > di.Ages().Key:
			return nil, di.stale(age, "keys")
		}
		ta.team = team.Name
	}
	ta.service, found = cf.Service(route.ServiceOf(re.ID))
	if !found {
		return nil, refusal.New(refusal.NoCapacity, "the route's service is not configured")
	}
	if er := di.suspected(ta); er != nil {
		return nil, er
	}
	ta.deadline = re.Arrived.Add(boundOf(route.Timeout, re.Budget))
	return ta, nil
}

// The pauses that refused callers are asked to make.
const (
	startRetryAfter = 300 * time.Millisecond
	staleRetryAfter = 500 * time.Millisecond
	busyRetryAfter  = 250 * time.Millisecond
)

// deny refuses for good, or for now if a newer configuration may allow it.
func (di *Dispatcher) deny(age time.Duration, er *refusal.Error) *refusal.Error {
	if age <= di.Ages().Deny {
		return er
	}
	return di.stale(age, "routes")
}

func (di *Dispatcher) stale(age time.Duration, what string) *refusal.Error {
	detail := "the store has not confirmed " + what + " for " + age.Truncate(time.Millisecond).String()
	return refusal.New(refusal.StaleConfiguration, detail).WithRetryAfter(staleRetryAfter)
}

// unboundedTime stands for the time of a request without any bound.
const unboundedTime = 10 * time.Minute

func boundOf(timeout, budget time.Duration) time.Duration {
	bound := unboundedTime
	if timeout > 0 {
		bound = min(bound, timeout)
	}
	if budget > 0 {
		bound = min(bound, budget)
	}
	return bound
}

func (di *Dispatcher) refuse(re *Request, er *refusal.Error) Reply {
	version := int64(0)
	if cf := di.State.Load(); cf != nil {
		version = cf.Version
	}
	age, _ := di.State.Age()
	di.Log.Info().Str("event", "refused").Str("request", re.ID).Str("reason", string(er.Reason)).
		Str("outcome", string(er.Rule().Outcome)).Int64("version", version).Dur("proof_age", age).
		Dur("took", di.Clock.Since(re.Arrived)).Str("detail", er.Detail).AnErr("cause", er.Err).Msg("dispatch: refused")
	return Reply{Refusal: er}
}

// work is what a task asks of an endpoint.
func (di *Dispatcher) work(ta *task) placement.Work {
	wo := placement.Work{Engine: ta.service.Engine, Prompt: ta.Prompt.Tokens, Output: di.outputs.expect(ta.route.Name, ta.Prompt)}
	if ta.service.ColdRate > 0 {
		wo.ColdRate = max(ta.service.ColdRate/float64(max(di.Members(), 1)), 1)
	}
	return wo
}

// choose finds an endpoint that the task has not tried.
func (di *Dispatcher) choose(ta *task, wo placement.Work) (roster.Endpoint, *refusal.Error) {
	ready := di.Roster.View().Ready(ta.service.Name)
	ch, found := di.Board.Choose(ready, wo, ta.tried)
	if found {
		di.placed(ta, ch, len(ready))
		return ch.Endpoint, nil
	}
	er := refusal.New(refusal.NoCapacity, "no endpoint of "+ta.service.Name+" can take the request")
	return ch.Endpoint, er.WithRetryAfter(busyRetryAfter)
}

// placed logs why a generation goes to its engine. Plain calls are too many to
// be logged one by one; theirs are the attempts that fail.
func (di *Dispatcher) placed(ta *task, ch placement.Choice, ready int) {
	if ta.service.Engine == nil {
		return
	}
	di.Log.Info().Str("event", "placed").Str("request", ta.ID).Str("endpoint", ch.Endpoint.ID).Str("zone", ch.Endpoint.Zone).
		Float64("cost_ms", ch.Cost).Int("running", ch.Load.Running).Int("reading", ch.Load.Reading).Int("held", ch.Load.Held).
		Int("ready", ready).Int("prompt", ta.Prompt.Tokens).Msg("dispatch: engine chosen")
}

// mark remembers that an endpoint was tried.
func (ta *task) mark(en roster.Endpoint) {
	if ta.tried == nil {
		ta.tried = make(map[string]bool)
	}
	ta.tried[en.ID] = true
}

// left returns the time until the task's deadline.
func (ta *task) left(now time.Time) time.Duration { return ta.deadline.Sub(now) }
