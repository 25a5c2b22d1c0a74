package dispatch

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/shutdown"
)

const (
	// maxWaitShare is the part of a request's remaining time that it may wait for an
	// endpoint. The rest is for the answer.
	maxWaitShare = 0.5
	// maxObjectives is the longest wait of a request as a multiple of its route's
	// objective. A later answer is worth little.
	maxObjectives = 2
	// maxQueues is the number of endpoints at which a request asks for a later turn.
	maxQueues = 2
	// maxPauseSpread is the time over which requests that wait for the end of an
	// endpoint's pause are spread.
	maxPauseSpread = 300 * time.Millisecond
	// minLoggedWait is the shortest wait for an endpoint that is logged.
	minLoggedWait = 20 * time.Millisecond
	// maxPermitAttempts limits how often a request asks for a permit because its call was not
	// sent after the wait.
	maxPermitAttempts = 3
)

// chooseEndpoint returns a ready endpoint that the task has not tried yet and that
// takes the request. If the instance shuts down meanwhile, the task waits only as long as
// its answer can still be whole before the end.
func (di *Dispatcher) chooseEndpoint(ctx context.Context, ta *task, dm placement.Demand) (destination, *refusal.Error) {
	ctx, cancel := di.Shutdown.WhileWaiting(ctx, func() shutdown.Request { return di.shutdownRequest(ta) })
	defer cancel()
	de, er := di.findEndpoint(ctx, ta, dm)
	if er != nil && ctx.Err() != nil {
		er = di.endedBeforeSend(ctx, ta)
	}
	return de, er
}

// findEndpoint returns a ready endpoint that the task has not tried yet and that
// takes the request. Before that, the task may wait for its turn, and for an engine that
// the zone's allocator grants. If all endpoints are at their limits, the task waits for
// one, if there is time.
func (di *Dispatcher) findEndpoint(ctx context.Context, ta *task, dm placement.Demand) (destination, *refusal.Error) {
	usable, er := di.withoutCrashing(ta, di.Roster.View().Ready(ta.service.Name))
	if er != nil {
		return destination{}, er
	}
	ready := di.permitted(ta, usable)
	if len(ready) > 0 {
		if er := di.awaitTurn(ctx, ta, ta.versionOfTurn(ready), ta.maxWait(di.Clock.Now())); er != nil {
			return destination{}, er
		}
		ready = di.permitted(ta, usable)
	}
	exclude := di.withUnreachable(ta)
	for {
		if ctx.Err() != nil {
			return destination{}, di.endedBeforeSend(ctx, ta)
		}
		ch, gr, er := di.choosePlace(ctx, ta, dm, ready, exclude)
		if er != nil {
			return destination{}, er
		}
		if ch.Endpoint.ID == "" {
			if others, differ := di.leaveTrial(ta, ready, usable); differ {
				ready = others
				continue
			}
			return di.awaitEndpoint(ctx, ta, dm, ready)
		}
		pe, err := di.Gate.Request(ctx, ch.Endpoint, di.terms(ta, ch.Endpoint, 0))
		if err == nil {
			di.logPlacement(ta, ch, len(ready))
			return destination{endpoint: ch.Endpoint, demand: dm, permit: pe, grant: gr}, nil
		}
		gr.Settle()
		exclude = withID(exclude, ch.Endpoint.ID)
	}
}

// withUnreachable returns the endpoints that the task has tried and those that are known to
// be unreachable.
func (di *Dispatcher) withUnreachable(ta *task) map[string]bool {
	if di.Paths == nil {
		return ta.tried
	}
	unreachable := di.Paths.Unreachable(ta.service.Name)
	if len(unreachable) == 0 {
		return ta.tried
	}
	all := maps.Clone(unreachable)
	maps.Copy(all, ta.tried)
	return all
}

// terms returns the conditions of a request of a task to an endpoint.
func (di *Dispatcher) terms(ta *task, en roster.Endpoint, maxWait time.Duration) backpressure.Terms {
	te := backpressure.Terms{MaxWait: maxWait, Lease: ta.remaining(di.Clock.Now())}
	if di.Clock.Now().Before(en.ColdUntil) {
		te.ColdRate = ta.service.ColdRate
	}
	return te
}

// withID returns a copy of a set of IDs with one more.
func withID(set map[string]bool, id string) map[string]bool {
	next := maps.Clone(set)
	if next == nil {
		next = make(map[string]bool)
	}
	next[id] = true
	return next
}

// candidate is an endpoint that takes a request later.
type candidate struct {
	endpoint roster.Endpoint
	after    time.Duration
}

// awaitEndpoint waits until one of the endpoints that are at their limits takes the
// request. If that takes too long, it refuses the request at once.
func (di *Dispatcher) awaitEndpoint(ctx context.Context, ta *task, dm placement.Demand, ready []roster.Endpoint) (destination, *refusal.Error) {
	list := di.limitedEndpoints(ta, ready)
	if len(list) == 0 {
		er := refusal.New(refusal.NoCapacity, "no endpoint of "+ta.service.Name+" can take the request")
		return destination{}, er.WithRetryAfter(busyRetryAfter)
	}
	after := list[0].after
	for _, ca := range list[:min(len(list), maxQueues)] {
		pe, err := di.awaitPermit(ctx, ta, ca.endpoint, di.terms(ta, ca.endpoint, ta.maxWait(di.Clock.Now())))
		if ctx.Err() != nil {
			pe.Release()
			return destination{}, di.endedBeforeSend(ctx, ta)
		}
		if err != nil {
			after = laterOf(err, after)
			continue
		}
		if _, usable := di.Roster.View().Usable(ca.endpoint.ID); !usable || !di.isPermitted(ta, ca.endpoint) {
			pe.Release()
			continue
		}
		return destination{endpoint: ca.endpoint, demand: dm, permit: pe}, nil
	}
	er := refusal.New(refusal.RateLimited, "the endpoints of "+ta.service.Name+" limit their requests; the next to take one is "+list[0].endpoint.ID)
	er.Endpoint = list[0].endpoint.ID
	return destination{}, er.WithRetryAfter(spread(max(after, busyRetryAfter)))
}

// awaitPermit waits for a permit for a request to an endpoint, until it is valid, for at
// most the time in its terms.
func (di *Dispatcher) awaitPermit(ctx context.Context, ta *task, en roster.Endpoint, te backpressure.Terms) (*backpressure.Permit, error) {
	begun := di.Clock.Now()
	pe, err := di.Gate.Request(ctx, en, te)
	var er *backpressure.Error
	if errors.As(err, &er) && er.Kind == backpressure.Paused && er.After < te.MaxWait {
		// The requests that wait for the end of a pause do not arrive all at once.
		wait := er.After + rand.N(min(te.MaxWait-er.After, maxPauseSpread))
		pause.For(ctx, di.Clock, wait)
		rest := di.terms(ta, en, te.MaxWait-wait)
		rest.HasRoom = te.HasRoom
		pe, err = di.Gate.Request(ctx, en, rest)
	}
	if err != nil {
		return nil, err
	}
	pause.For(ctx, di.Clock, di.Gate.Wait(pe))
	if waited := di.Clock.Since(begun); waited >= minLoggedWait {
		di.Log.Info().Str("event", "limit_waited").Str("request", ta.ID).Str("endpoint", en.ID).Dur("wait", waited).Msg("dispatch: waited until an endpoint takes the request")
	}
	return pe, nil
}

// laterOf returns the time after which an endpoint takes requests, or otherwise if
// the error does not tell.
func laterOf(err error, otherwise time.Duration) time.Duration {
	var er *backpressure.Error
	if errors.As(err, &er) && er.After > 0 {
		return er.After
	}
	return otherwise
}

// spread returns a random time between a pause and its double, so that callers that
// were refused together do not return together.
func spread(by time.Duration) time.Duration { return by + rand.N(by) }

// limitedEndpoints returns the endpoints that refuse the task's request for now, the
// one that takes it soonest first.
func (di *Dispatcher) limitedEndpoints(ta *task, ready []roster.Endpoint) []candidate {
	var list []candidate
	for _, en := range ready {
		if ta.tried[en.ID] {
			continue
		}
		if after := di.Gate.Registry.After(en); after > 0 {
			list = append(list, candidate{endpoint: en, after: after})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.after, b.after) })
	return list
}

// maxWait returns how long a request may wait for an endpoint. Less urgent requests
// wait only in short queues, so that the turns of long ones go to urgent requests.
func (ta *task) maxWait(now time.Time) time.Duration {
	bound := time.Duration(maxWaitShare * float64(ta.remaining(now)))
	if objective := ta.route.Objective; objective > 0 {
		bound = min(bound, maxObjectives*objective)
	}
	return max(bound, 0) / time.Duration(1+max(ta.priority, 0))
}

// handleRefusedPermit handles a call that was not sent because its permit had expired, as
// after a pause of the process, or because its endpoint must not get it any more.
func (di *Dispatcher) handleRefusedPermit(ta *task, en roster.Endpoint, err error) result {
	delete(ta.tried, en.ID)
	if di.mayChooseAgain(ta, en, outcomeOfPermit(err), err) {
		return result{step: retry}
	}
	er := refusal.Wrap(refusal.RateLimited, "the request could not be sent while its permit was valid", err).WithRetryAfter(busyRetryAfter)
	er.Dispatched = ta.ran > 0
	return result{step: giveUp, refusal: er}
}

// mayChooseAgain counts and logs an attempt that was not sent because of what changed while
// it waited, and reports whether the task may choose an endpoint again.
func (di *Dispatcher) mayChooseAgain(ta *task, en roster.Endpoint, outcome string, err error) bool {
	ta.unsent++
	di.logFailedAttempt(ta, en, outcome, err)
	return ta.unsent < maxPermitAttempts && ta.remaining(di.Clock.Now()) > minAttemptTime
}

// outcomeOfPermit returns the outcome of an attempt that its permit did not allow, by the
// kind of the error.
func outcomeOfPermit(err error) string {
	var er *backpressure.Error
	if !errors.As(err, &er) {
		return "permit_refused"
	}
	return "permit_" + string(er.Kind)
}
