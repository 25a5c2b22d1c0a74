package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/metric"
)

// Reason is the cause of a retry.
type Reason string

// The reasons of a retry.
const (
	// NotBegun means that the endpoint did not start the request.
	NotBegun Reason = "not_begun"
	// Lost means that no complete response arrived. The request may have run.
	Lost Reason = "lost"
	// Failed means that the endpoint returned an error response.
	Failed Reason = "failed"
	// Slow means that the attempt takes longer than the 95th percentile. The retry
	// is a hedged request.
	Slow Reason = "slow"
)

// Denial is the reason why an attempt is not retried.
type Denial string

// The reasons of a denial.
const (
	// NotIdempotent means that the call is not idempotent and may have begun to
	// run.
	NotIdempotent Denial = "not_idempotent"
	// AttemptsExhausted means that MaxAttempts attempts were made.
	AttemptsExhausted Denial = "tries_spent"
	// BudgetExhausted means that the retry budget of the service is empty.
	BudgetExhausted Denial = "budget_spent"
	// PastDeadline means that the back-off would not end before the deadline.
	PastDeadline Denial = "too_late"
)

var (
	reasons = []Reason{NotBegun, Lost, Failed, Slow}
	denials = []Denial{NotIdempotent, AttemptsExhausted, BudgetExhausted, PastDeadline}
)

const (
	// MaxAttempts is the maximum number of attempts of one request, the first one
	// included.
	MaxAttempts = 3
	// baseBackoff is the upper bound of the first back-off. The bound doubles with
	// each attempt.
	baseBackoff = 20 * time.Millisecond
	// maxBackoff is the upper bound of every back-off.
	maxBackoff = time.Second
)

// Attempt is a failed attempt, or a slow one that may be hedged.
type Attempt struct {
	// Service is the service whose retry budget pays for the retry.
	Service string
	// Number is the position of the attempt within its request, counted from 1.
	Number int
	Reason Reason
	// Idempotent tells whether running the call twice has the same effect as
	// running it once.
	Idempotent bool
	// Remaining is the time until the deadline. Zero means no deadline.
	Remaining time.Duration
}

// Policy decides on retries and holds the retry budget of each service. Set the
// exported fields before the first call. It is safe for concurrent use.
type Policy struct {
	// Scope receives the counters of granted and denied retries. Nil disables
	// them.
	Scope tally.Scope
	// Draw returns a random number in [0, n). Nil means rand.Int64N of
	// math/rand/v2.
	Draw func(n int64) int64

	once    sync.Once
	granted map[Reason]tally.Counter
	denied  map[Denial]tally.Counter
	buckets sync.Map // service name to *bucket
}

func (po *Policy) initialize() {
	po.once.Do(func() {
		if po.Scope == nil {
			po.Scope = tally.NoopScope
		}
		if po.Draw == nil {
			po.Draw = rand.Int64N
		}
		po.granted = metric.Reasons(po.Scope, "retries", reasons)
		po.denied = metric.Reasons(po.Scope, "retries_denied", denials)
	})
}

func (po *Policy) bucket(service string) *bucket {
	if bu, found := po.buckets.Load(service); found {
		return bu.(*bucket)
	}
	bu, _ := po.buckets.LoadOrStore(service, new(bucket))
	return bu.(*bucket)
}

// Arrived adds the deposit of one caller's request to the service's retry
// budget.
func (po *Policy) Arrived(service string) { po.bucket(service).deposit() }

// Decide returns whether an attempt is retried, and the back-off before the
// retry. A granted retry takes one token from the service's retry budget.
func (po *Policy) Decide(at Attempt) (time.Duration, bool) {
	po.initialize()
	if at.Reason != NotBegun && !at.Idempotent {
		return po.deny(NotIdempotent)
	}
	if at.Number >= MaxAttempts {
		return po.deny(AttemptsExhausted)
	}
	backoff := po.backoff(at.Number)
	if at.Remaining > 0 && backoff >= at.Remaining {
		return po.deny(PastDeadline)
	}
	if !po.bucket(at.Service).withdraw() {
		return po.deny(BudgetExhausted)
	}
	po.granted[at.Reason].Inc(1)
	return backoff, true
}

func (po *Policy) deny(de Denial) (time.Duration, bool) {
	po.denied[de].Inc(1)
	return 0, false
}

// backoff draws a back-off with full jitter: uniform between zero and a bound
// that doubles with each attempt.
func (po *Policy) backoff(attempt int) time.Duration {
	bound := min(baseBackoff<<min(attempt-1, 10), maxBackoff)
	return time.Duration(po.Draw(int64(bound)))
}
