package platform

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/metric"
)

// Defaults of the fields of a Guard that are zero. With these rates, a fleet of 7
// instances averages at most 420 writes and 1,750 reads per second.
const (
	defaultWritesPerSecond  = 60
	defaultReadsPerSecond   = 250
	defaultMaxAttempts      = 4
	defaultFailureThreshold = 5
	defaultProbeInterval    = 500 * time.Millisecond
	defaultBackoffBase      = 20 * time.Millisecond
	defaultBackoffCap       = time.Second
)

// Reason is the label of an event that a Guard counts, such as a retried or
// refused call.
type Reason string

// The reasons that a Guard counts in the metric platform_events.
const (
	// RetryUnavailable counts retries of calls that failed as Unavailable and
	// had no effect.
	RetryUnavailable Reason = "retry_unavailable"
	// RetryLostWrite counts retries of writes after a lost response. Reading
	// back had not shown that the write took effect.
	RetryLostWrite Reason = "retry_lost_write"
	// FoundWritten counts writes whose response was lost and that reading back
	// showed to have taken effect.
	FoundWritten Reason = "found_written"
	// Undecided counts writes whose response was lost and whose outcome reading
	// back did not show, because the object has changed since.
	Undecided Reason = "undecided"
	// OverBudget counts calls that got no token of the rate budget before their
	// deadline or their cancellation.
	OverBudget Reason = "over_budget"
	// BreakerOpened counts transitions of the circuit breaker from closed to
	// open.
	BreakerOpened Reason = "breaker_opened"
	// BreakerRefused counts calls refused while the breaker was open.
	BreakerRefused Reason = "breaker_refused"
)

var reasons = []Reason{
	RetryUnavailable, RetryLostWrite, FoundWritten, Undecided, OverBudget, BreakerOpened, BreakerRefused,
}

var errBreakerOpen = errors.New("the breaker is open")

// Guard limits the load on the platform and handles its failures for the callers.
// It applies a rate budget with priorities, back-off, a circuit breaker, and the
// read-back of writes whose responses were lost. One Guard serves a process. Set
// the fields before the first call. A numeric field of zero selects its default.
//
// Read-back compares values byte by byte. A value that is written through a Guard
// must therefore contain something unique to the write. Otherwise, the Guard would
// mistake an equal value of another writer for the result of its own write.
type Guard struct {
	Store Store
	Clock clockwork.Clock
	// Scope receives the metrics. Nil means that none are reported.
	Scope tally.Scope
	// WritesPerSecond and ReadsPerSecond limit the rates of calls and their
	// bursts. A watch counts as one read.
	WritesPerSecond, ReadsPerSecond int
	// MaxAttempts is the maximum number of attempts per call.
	MaxAttempts int
	// FailureThreshold is the number of consecutive failures that opens the
	// circuit breaker. ProbeInterval is the time between probes while it is open.
	FailureThreshold int
	ProbeInterval    time.Duration
	// Backoff computes the delays between attempts. Its Base and Cap have
	// defaults, too.
	Backoff Backoff

	once    sync.Once
	writes  *budget
	reads   *budget
	breaker *breaker
	counts  map[Reason]tally.Counter
	calls   [classCount]tally.Counter
}

func orDefault[N int | time.Duration](value, fallback N) N {
	if value == 0 {
		return fallback
	}
	return value
}

func (gu *Guard) prepare() {
	gu.once.Do(func() {
		writes := orDefault(gu.WritesPerSecond, defaultWritesPerSecond)
		reads := orDefault(gu.ReadsPerSecond, defaultReadsPerSecond)
		gu.writes = newBudget(gu.Clock, writes, writes)
		gu.reads = newBudget(gu.Clock, reads, reads)
		gu.MaxAttempts = orDefault(gu.MaxAttempts, defaultMaxAttempts)
		gu.Backoff.Base = orDefault(gu.Backoff.Base, defaultBackoffBase)
		gu.Backoff.Cap = orDefault(gu.Backoff.Cap, defaultBackoffCap)
		gu.breaker = &breaker{
			clock:         gu.Clock,
			threshold:     orDefault(gu.FailureThreshold, defaultFailureThreshold),
			probeInterval: orDefault(gu.ProbeInterval, defaultProbeInterval),
		}
		scope := gu.Scope
		if scope == nil {
			scope = tally.NoopScope
		}
		gu.counts = metric.Reasons(scope, "platform_events", reasons)
		for cl := range classCount {
			gu.calls[cl] = scope.Tagged(map[string]string{"class": cl.String()}).Counter("platform_calls")
		}
	})
}

// For returns a Store that makes its calls with the priority of the class.
func (gu *Guard) For(cl Class) Store {
	gu.prepare()
	return &classStore{gu: gu, class: cl}
}

// classStore is the Store that a Guard returns for one class.
type classStore struct {
	gu    *Guard
	class Class
}

// attempt makes one call, subject to the rate budget and the circuit breaker.
func (cs *classStore) attempt(ctx context.Context, op, key string, bu *budget, do func() error) error {
	if err := bu.take(ctx, cs.class); err != nil {
		cs.gu.counts[OverBudget].Inc(1)
		return &Error{Op: op, Key: key, Kind: Unavailable, Err: err}
	}
	if !cs.gu.breaker.allow() {
		cs.gu.counts[BreakerRefused].Inc(1)
		return &Error{Op: op, Key: key, Kind: Unavailable, Err: errBreakerOpen}
	}
	cs.gu.calls[cs.class].Inc(1)
	err := do()
	failed := IsKind(err, Unavailable) || IsKind(err, Unknown)
	if failed && ctx.Err() != nil {
		// The caller canceled the call or its deadline passed, which is no
		// evidence that the platform failed.
		return err
	}
	if cs.gu.breaker.record(!failed) {
		cs.gu.counts[BreakerOpened].Inc(1)
	}
	return err
}

// waitForRetry waits for the back-off delay and reports whether the caller may
// make another attempt. Calls that the circuit breaker or the rate budget refused
// are not retried.
func (cs *classStore) waitForRetry(ctx context.Context, try int, err error) bool {
	if errors.Is(err, errBreakerOpen) || errors.Is(err, errBudgetExhausted) || try >= cs.gu.MaxAttempts {
		return false
	}
	return cs.gu.Backoff.sleep(ctx, cs.gu.Clock, try)
}

// read makes a read call and retries it while the platform is unavailable.
func (cs *classStore) read(ctx context.Context, op, key string, do func() error) error {
	for try := 1; ; try++ {
		err := cs.attempt(ctx, op, key, cs.gu.reads, do)
		if !IsKind(err, Unavailable) || !cs.waitForRetry(ctx, try, err) {
			return err
		}
		cs.gu.counts[RetryUnavailable].Inc(1)
	}
}

// Get implements Store.
func (cs *classStore) Get(ctx context.Context, key string) (ob Object, err error) {
	err = cs.read(ctx, "get", key, func() error {
		ob, err = cs.gu.Store.Get(ctx, key)
		return err
	})
	return ob, err
}

// List implements Store.
func (cs *classStore) List(ctx context.Context, prefix string) (li Listing, err error) {
	err = cs.read(ctx, "list", prefix, func() error {
		li, err = cs.gu.Store.List(ctx, prefix)
		return err
	})
	return li, err
}

// Watch implements Store.
func (cs *classStore) Watch(ctx context.Context, prefix string, after int64) (li Listing, err error) {
	err = cs.read(ctx, "watch", prefix, func() error {
		li, err = cs.gu.Store.Watch(ctx, prefix, after)
		return err
	})
	return li, err
}

// Instances implements Store.
func (cs *classStore) Instances(ctx context.Context) (list []Instance, err error) {
	err = cs.read(ctx, "instances", "instances", func() error {
		list, err = cs.gu.Store.Instances(ctx)
		return err
	})
	return slices.Clone(list), err
}

// Update implements Store.
func (cs *classStore) Update(ctx context.Context, key string, previous int64, value []byte) (version int64, err error) {
	wr := conditionalWrite{op: "update", key: key, previous: previous}
	wr.send = func() error {
		version, err = cs.gu.Store.Update(ctx, key, previous, value)
		return err
	}
	wr.applied = func(ob Object) bool {
		version = ob.Version
		return ob.Version != previous && bytes.Equal(ob.Value, value)
	}
	err = cs.write(ctx, wr)
	return version, err
}

// Delete implements Store.
func (cs *classStore) Delete(ctx context.Context, key string, previous int64) error {
	wr := conditionalWrite{op: "delete", key: key, previous: previous}
	wr.send = func() error { return cs.gu.Store.Delete(ctx, key, previous) }
	wr.applied = func(ob Object) bool { return ob.Version == 0 }
	return cs.write(ctx, wr)
}
