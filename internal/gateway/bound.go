package gateway

import (
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/budget"
)

const (
	// confirmationMargin is the part of KeyRevocationBound that is reserved for
	// the network delay from the caller and for clock skew. The age of a
	// confirmation counts from before the store was asked, so that a key revoked
	// after that is never covered.
	confirmationMargin = 300 * time.Millisecond
	// unlimitedAge is the maximum age of a confirmation if the platform sets no
	// bound.
	unlimitedAge = 24 * time.Hour
	// retryBudgetShare is the part of the shared retry budget that is used. The
	// rest is a reserve, because instances may count requests and retries
	// differently.
	retryBudgetShare = 0.8
	// assumedInstances is the number of instances that share a bound, as long as
	// the real number is unknown. A share that is too small costs some retries,
	// while one that is too large violates the bound.
	assumedInstances   = 100
	defaultRetryWindow = 10 * time.Second
)

// maxKeyAge returns the maximum age of the store's confirmation that a key is
// valid. The margin takes at most half of KeyRevocationBound.
func (se Settings) maxKeyAge() time.Duration {
	if se.KeyRevocationBound == 0 {
		return unlimitedAge
	}
	return max(se.KeyRevocationBound-confirmationMargin, se.KeyRevocationBound/2)
}

// maxDenyAge returns the maximum age of the store's confirmation that a route
// or a key does not exist.
func (se Settings) maxDenyAge() time.Duration {
	if se.ConfigurationBound == 0 {
		return unlimitedAge
	}
	return 2 * se.ConfigurationBound
}

// budget returns this instance's share of the retry budget. The instances
// function returns the number of instances that share it.
func (se Settings) budget(clock clockwork.Clock, instances func() int) *budget.Window {
	span := se.RetryWindow
	if span == 0 {
		span = defaultRetryWindow
	}
	return &budget.Window{
		Clock: clock, Span: span, Ratio: retryBudgetShare * se.RetryRatio, Extra: func() float64 { return retryBudgetShare * se.RetryExtra / float64(instances()) },
	}
}
