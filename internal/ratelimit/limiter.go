package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// askTimeout limits a call to the allocator, which delays a request.
	askTimeout = 80 * time.Millisecond
	// askPause is the time for which an allocator that did not answer is not asked
	// again.
	askPause = time.Second
)

// outcome is the result of Limiter.Take, for the counters.
type outcome string

const (
	outcomeTaken  outcome = "taken"
	outcomeDenied outcome = "denied"
	// outcomeSolo and outcomeSoloDenied are the results without an allocator.
	outcomeSolo       outcome = "solo"
	outcomeSoloDenied outcome = "solo_denied"
)

var outcomes = []outcome{outcomeTaken, outcomeDenied, outcomeSolo, outcomeSoloDenied}

// Limiter takes requests from the limits of endpoints for this instance. It
// implements backpressure.Limiter. Set the exported fields before use. It is safe
// for concurrent use.
type Limiter struct {
	Peers *Peers
	// Allocator is that of this instance.
	Allocator *Allocator
	Caller    peer.Caller
	Boot      boottime.Clock
	// Scope receives the counters. Nil counts nothing.
	Scope tally.Scope

	counters metric.Events[outcome]
	// skips has the instances that did not answer recently.
	skips  peer.Skips
	mu     sync.Mutex
	shares map[key]*share
}

// Take implements backpressure.Limiter.
func (li *Limiter) Take(ctx context.Context, en roster.Endpoint, limit backpressure.Limit, maxWait time.Duration) (wait time.Duration, taken bool) {
	ar := TakeArgs{Endpoint: en.ID, Started: en.Started, Zone: en.Zone, Rate: limit.Rate, Paced: limit.Paced, MaxWait: maxWait}
	vi := li.Peers.View(en.ID, en.Zone)
	re, answered := li.ask(ctx, vi, ar)
	switch {
	case !answered:
		return askPause, false
	case re.Decision == NotAllocator:
		return li.takeShare(ar, vi)
	case re.Decision == Taken:
		li.count(outcomeTaken)
		return re.Wait, true
	}
	li.count(outcomeDenied)
	return re.Wait, false
}

// ask asks the allocator. The decision is NotAllocator if there is none that answers. The
// result is false if ctx ends before the answer of another instance.
func (li *Limiter) ask(ctx context.Context, vi View, ar TakeArgs) (re TakeReply, answered bool) {
	switch {
	case vi.Allocator == nil, li.skips.Has(vi.Allocator.Name, li.Boot.Now()):
		return TakeReply{Decision: NotAllocator}, true
	case vi.Allocator.Name == li.Peers.Self.Name:
		return li.Allocator.Take(ar), true
	}
	return peer.Ask(ctx, func() TakeReply { return li.call(ctx, *vi.Allocator, ar) }, func(TakeReply) {})
}

// call asks an allocator that is another instance.
func (li *Limiter) call(ctx context.Context, me loadshare.Member, ar TakeArgs) TakeReply {
	now := li.Boot.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	var re TakeReply
	if err := li.Caller.Call(ctx, me.Address.String(), methodTake, ar, &re); err != nil || re.Decision == NotAllocator {
		li.skips.Add(me.Name, now+askPause)
		return TakeReply{Decision: NotAllocator}
	}
	return re
}

// takeShare takes a request without an allocator.
func (li *Limiter) takeShare(ar TakeArgs, vi View) (wait time.Duration, taken bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.shares == nil {
		li.shares = make(map[key]*share)
	}
	ke := ar.key()
	sh := li.shares[ke]
	if sh == nil {
		sh = &share{}
		li.shares[ke] = sh
	}
	wait, taken = sh.take(li.Boot.Now(), li.Peers.Self.Name, ar.Endpoint, ar.Rate, vi.Total)
	if taken {
		li.count(outcomeSolo)
		return 0, true
	}
	li.count(outcomeSoloDenied)
	return min(wait, askPause), false
}

func (li *Limiter) count(ou outcome) { li.counters.Count(li.Scope, "rate_limit_takes", outcomes, ou) }

// Forget drops the state of endpoints for which known returns false.
func (li *Limiter) Forget(known func(id string) bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	for ke := range li.shares {
		if !known(ke.endpoint) {
			delete(li.shares, ke)
		}
	}
}
