package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Backoff computes exponential back-off with full jitter. Each delay is uniform
// between zero and a bound that doubles with each attempt, so that callers that
// failed at the same time do not retry at the same time.
type Backoff struct {
	// Base is the upper bound of the first delay. The bound doubles with each
	// attempt up to Cap.
	Base, Cap time.Duration
	// Random returns a number in [0, n). Nil selects the global source.
	Random func(n int64) int64
}

// Delay returns the delay after a failed attempt. Attempts count from 1.
func (ba Backoff) Delay(try int) time.Duration {
	bound := ba.Base
	for range try - 1 {
		bound = min(2*bound, ba.Cap)
	}
	random := ba.Random
	if random == nil {
		random = rand.Int64N
	}
	return time.Duration(random(int64(bound) + 1))
}

// sleep waits for the delay after the given attempt and reports whether it
// waited in full. It returns false at once if the delay would end after the
// deadline of ctx, and as soon as ctx is canceled.
func (ba Backoff) sleep(ctx context.Context, clock clockwork.Clock, try int) bool {
	delay := ba.Delay(try)
	if until, ok := ctx.Deadline(); ok && clock.Until(until) < delay {
		return false
	}
	select {
	case <-clock.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}
