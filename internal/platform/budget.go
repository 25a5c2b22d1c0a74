package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Class is the priority of a call to the platform.
type Class int

// The classes, from the highest to the lowest priority.
const (
	// ClassConfiguration is for configuration, plans, leases and the list of
	// instances.
	ClassConfiguration Class = iota
	// ClassRecord is for the stored records of calls.
	ClassRecord
	// ClassStatus is for status reports, which can wait the longest. No component
	// makes calls of this class.
	ClassStatus
	classCount
)

var classNames = [classCount]string{"configuration", "record", "status"}

// String returns the class as the value of the metric label class.
func (cl Class) String() string { return classNames[cl] }

// reservedShare is the share of the burst that each class leaves to the classes
// of higher priority.
var reservedShare = [classCount]float64{0, 0.25, 0.5}

var errBudgetExhausted = errors.New("no call left in the budget before the deadline")

// budget is a token bucket that reserves a part of its burst for the classes of
// higher priority. It is safe for concurrent use.
type budget struct {
	clock clockwork.Clock
	// rate is the number of tokens that are added per second, up to burst.
	rate  float64
	burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

func newBudget(clock clockwork.Clock, perSecond, burst int) *budget {
	return &budget{clock: clock, rate: float64(perSecond), burst: float64(burst), tokens: float64(burst), refilledAt: clock.Now()}
}

// take waits for a token until ctx ends. It returns errBudgetExhausted without
// waiting if no token is available to the class before the deadline of ctx.
func (bu *budget) take(ctx context.Context, cl Class) error {
	for {
		wait := bu.tryTake(cl)
		if wait == 0 {
			return nil
		}
		if until, ok := ctx.Deadline(); ok && bu.clock.Until(until) < wait {
			return errBudgetExhausted
		}
		select {
		case <-bu.clock.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryTake takes a token and returns zero, or returns the time until a token is
// available to the class.
func (bu *budget) tryTake(cl Class) time.Duration {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	now := bu.clock.Now()
	elapsed := max(0, now.Sub(bu.refilledAt).Seconds())
	bu.tokens = min(bu.burst, bu.tokens+elapsed*bu.rate)
	bu.refilledAt = now
	need := 1 + reservedShare[cl]*(bu.burst-1)
	if bu.tokens >= need {
		bu.tokens--
		return 0
	}
	return time.Duration((need-bu.tokens)/bu.rate*float64(time.Second)) + time.Nanosecond
}
