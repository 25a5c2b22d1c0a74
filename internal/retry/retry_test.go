package retry_test

import (
	"context"
	"flag"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/retry"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against retry storms: the load offered to endpoints stays within 1.1
// times the callers' load, for any share of endpoints that fail.
func TestNoRetryStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		po := &retry.Policy{}
		calls := rapid.IntRange(500, 3000).Draw(t, "calls")
		failing := rapid.IntRange(1, 12).Draw(t, "failing endpoints of 12")
		next := rapid.Uint64().Draw(t, "start")
		offered := 0
		for range calls {
			po.Arrived("filbert-pool")
			for attempt := 1; ; attempt++ {
				offered++
				next = next*6364136223846793005 + 1442695040888963407
				if int(next>>33)%12 >= failing {
					break
				}
				if _, again := po.Decide(retry.Attempt{Service: "filbert-pool", Number: attempt, Reason: retry.Lost, Idempotent: true}); !again {
					break
				}
			}
		}
		if 10*offered > 11*calls {
			t.Fatalf("%d attempts for %d calls exceed 1.1 times the callers' load", offered, calls)
		}
	})
}

// Guards against retrying a call that may have run and is not idempotent, one
// whose back-off passes its deadline, and one that has used up its attempts.
func TestAgain(t *testing.T) {
	gm := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	po := &retry.Policy{Scope: scope, Draw: func(n int64) int64 { return n - 1 }}
	ask := func(at retry.Attempt) bool {
		at.Service = "rental-desk"
		_, again := po.Decide(at)
		return again
	}
	gm.Expect(ask(retry.Attempt{Number: 1, Reason: retry.Lost})).To(BeFalse(), "a call that is not idempotent and may have run must not be retried")
	gm.Expect(ask(retry.Attempt{Number: 1, Reason: retry.Slow})).To(BeFalse())
	gm.Expect(ask(retry.Attempt{Number: 1, Reason: retry.Failed})).To(BeFalse())
	gm.Expect(ask(retry.Attempt{Number: 1, Reason: retry.NotBegun})).To(BeTrue())
	gm.Expect(ask(retry.Attempt{Number: 1, Reason: retry.Lost, Idempotent: true, Remaining: time.Millisecond})).To(BeFalse())
	gm.Expect(ask(retry.Attempt{Number: retry.MaxAttempts, Reason: retry.NotBegun})).To(BeFalse())
	counters := scope.Snapshot().Counters()
	gm.Expect(counters["retries+reason=not_begun"].Value()).To(Equal(int64(1)))
	gm.Expect(counters["retries_denied+reason=not_idempotent"].Value()).To(Equal(int64(3)))
	gm.Expect(counters["retries_denied+reason=too_late"].Value()).To(Equal(int64(1)))
}

func TestHedge(t *testing.T) {
	gm := NewWithT(t)
	clock := clockwork.NewFakeClock()
	la := &retry.Latency{}
	for range 64 {
		la.Record(10 * time.Millisecond)
	}
	he := retry.Hedging{Policy: &retry.Policy{}, Clock: clock, Service: "rental-desk", Idempotent: true, Latency: la}
	var runs atomic.Int64
	call := func(ctx context.Context) (int64, error) {
		number := runs.Add(1)
		if number == 1 {
			<-ctx.Done()
			return 0, ctx.Err()
		}
		return number, nil
	}
	go func() {
		_ = clock.BlockUntilContext(t.Context(), 1)
		clock.Advance(10 * time.Millisecond)
	}()
	value, err := retry.Hedge(t.Context(), he, call)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(value).To(Equal(int64(2)))

	runs.Store(1)
	he.Idempotent = false
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = retry.Hedge(ctx, he, func(ctx context.Context) (int64, error) {
		clock.Advance(time.Hour)
		runs.Add(1)
		return 0, ctx.Err()
	})
	gm.Expect(err).To(HaveOccurred())
	gm.Expect(runs.Load()).To(Equal(int64(2)), "a call that is not idempotent must not be hedged")
}
