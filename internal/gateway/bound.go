package gateway

import (
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/budget"
)

const (
	// proofMargin is what is left of a bound on keys for the way from the caller
	// and for clocks. A proof counts from before the store was asked, so that a
	// key that was taken away later can't be covered by it.
	proofMargin = 300 * time.Millisecond
	// noBound is the age of proofs where the platform states no bound.
	noBound = 24 * time.Hour
	// budgetShare is how much of the shared budget for repeats is used: a share
	// is kept for what instances count differently.
	budgetShare = 0.8
	// assumedMembers is how many instances are taken to share bounds as long as
	// they are not known: a part that is too small costs some repeats, one that is
	// too large breaks the bound.
	assumedMembers = 100
	defaultSpan    = 10 * time.Second
)

// keyAge bounds the age of the proof that a key is valid.
func (se Settings) keyAge() time.Duration {
	if se.KeyBound == 0 {
		return noBound
	}
	return max(se.KeyBound-proofMargin, se.KeyBound/2)
}

// denyAge bounds the age of the proof that a route does not exist.
func (se Settings) denyAge() time.Duration {
	if se.ConfigurationBound == 0 {
		return noBound
	}
	return 2 * se.ConfigurationBound
}

// budget returns this instance's part of the budget for repeats; members counts
// the instances that share it.
func (se Settings) budget(clock clockwork.Clock, members func() int) *budget.Window {
	span := se.RetrySpan
	if span == 0 {
		span = defaultSpan
	}
	return &budget.Window{
		Clock: clock, Span: span, Ratio: budgetShare * se.RetryRatio, Extra: func() float64 { return budgetShare * se.RetryExtra / float64(members()) },
	}
}
