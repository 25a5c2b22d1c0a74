package retry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// latencySamples is the number of samples that a Latency keeps.
	latencySamples = 64
	// slowRank is the index of the 95th percentile in the sorted samples.
	slowRank = latencySamples * 95 / 100
)

// Latency keeps the most recent latencies of a service. It is safe for
// concurrent use. The zero value is ready to use.
type Latency struct {
	mu      sync.Mutex
	samples [latencySamples]time.Duration
	count   int
}

// Record adds the latency of a successful call.
func (la *Latency) Record(took time.Duration) {
	la.mu.Lock()
	defer la.mu.Unlock()
	la.samples[la.count%latencySamples] = took
	la.count++
}

// Slow returns the latency above which a call counts as slow, the 95th
// percentile of the samples. It returns false until latencySamples calls are
// recorded.
func (la *Latency) Slow() (time.Duration, bool) {
	la.mu.Lock()
	defer la.mu.Unlock()
	if la.count < latencySamples {
		return 0, false
	}
	sorted := la.samples
	slices.Sort(sorted[:])
	return sorted[slowRank], true
}

// Hedging configures Hedge.
type Hedging struct {
	// Policy decides whether the retry budget of Service allows a second attempt.
	Policy  *Policy
	Clock   clockwork.Clock
	Service string
	// Idempotent tells whether running the call twice has the same effect as
	// running it once. Other calls are not hedged.
	Idempotent bool
	// Latency is the latency of the service. Hedge records successful attempts in
	// it.
	Latency *Latency
}

// result is the result of one attempt of a hedged call.
type result[T any] struct {
	value T
	err   error
}

// Hedge runs a call. If the call is idempotent and slow, and the retry budget
// allows it, a second attempt runs concurrently. Hedge returns the first
// success, the error of the last attempt to fail, or the error of ctx if that
// ends first. It cancels the context of the other attempt.
func Hedge[T any](ctx context.Context, he Hedging, run func(ctx context.Context) (T, error)) (T, error) {
	threshold, known := he.Latency.Slow()
	if !he.Idempotent || !known {
		return measure(ctx, he, run)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	start := func() {
		value, err := measure(ctx, he, run)
		results <- result[T]{value, err}
	}
	go start()
	running := 1
	timer := he.Clock.NewTimer(threshold)
	defer timer.Stop()
	for {
		select {
		case re := <-results:
			running--
			if re.err == nil || running == 0 {
				return re.value, re.err
			}
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		case <-timer.Chan():
			if he.Policy.allowHedge(he.Service) {
				running++
				go start()
			}
		}
	}
}

// measure runs one attempt and records its latency if it succeeds.
func measure[T any](ctx context.Context, he Hedging, run func(ctx context.Context) (T, error)) (T, error) {
	begun := he.Clock.Now()
	value, err := run(ctx)
	if err == nil {
		he.Latency.Record(he.Clock.Since(begun))
	}
	return value, err
}

// allowHedge takes a token for a second attempt from the service's retry
// budget.
func (po *Policy) allowHedge(service string) bool {
	_, again := po.Decide(Attempt{Service: service, Number: 1, Reason: Slow, Idempotent: true})
	return again
}
