package placement

import "time"

// Outcome is the result of one attempt at an endpoint.
type Outcome int

// The outcomes.
const (
	// Done means that a complete answer arrived, or that the attempt ended after its
	// answer had begun, for a reason that does not count against the endpoint. For
	// example, the caller disconnected, or the generation migrated.
	Done Outcome = iota
	// Failed means that the endpoint returned an error.
	Failed
	// Refused means that the endpoint rejected the request without running it.
	Refused
	// Lost means that no complete answer arrived. The request may have run.
	Lost
	// Unreachable means that no connection could be established.
	Unreachable
	// Abandoned means that the caller disconnected or the deadline passed before an
	// answer began, or that nothing was sent. It is no sign that the endpoint works, nor
	// that it doesn't.
	Abandoned
)

// account tracks the requests that this instance has in flight at one endpoint,
// and the endpoint's recent failures.
type account struct {
	// inFlight counts requests that have begun and not ended.
	inFlight int
	// generations counts those in-flight requests that run on an engine.
	generations int
	// prefillTokens is the number of prompt tokens still to be prefilled.
	prefillTokens int
	// reservedTokens is the KV-cache memory, in tokens, that generations and
	// standby copies occupy or are expected to occupy.
	reservedTokens int
	// failures is the weighted failure count as of failuresAt. It decays with
	// failureHalfLife.
	failures   float64
	failuresAt time.Time
	// backoffUntil is the end of the back-off after a failed connection attempt.
	// Until then the endpoint is not chosen.
	backoffUntil time.Time
	// backoffs counts the failed connection attempts since the last Done, Failed
	// or Refused.
	backoffs int
}

const (
	// failureHalfLife is the half-life of the failure score of an endpoint.
	failureHalfLife = 2 * time.Second
	// The back-off for unreachable endpoints doubles from initialBackoff up to
	// maxBackoff.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 1500 * time.Millisecond
)

// weight returns how much one outcome adds to the failure score.
func (ou Outcome) weight() float64 {
	switch ou {
	case Failed:
		return 0.25
	case Refused:
		return 0.5
	case Lost, Unreachable:
		return 1
	default:
		return 0
	}
}

// recordOutcome updates the failure score and the back-off. Lost leaves the
// back-off unchanged.
func (ac *account) recordOutcome(ou Outcome, now time.Time) {
	ac.failures = ac.failureScore(now) + ou.weight()
	ac.failuresAt = now
	switch ou {
	case Unreachable:
		backoff := min(initialBackoff<<min(ac.backoffs, 8), maxBackoff)
		ac.backoffs++
		ac.backoffUntil = now.Add(backoff)
	case Done, Failed, Refused:
		ac.backoffs = 0
	case Lost, Abandoned:
	}
}

// failureScore returns the weighted failure count, decayed to now. Scores older
// than ten half-lives count as zero.
func (ac *account) failureScore(now time.Time) float64 {
	age := now.Sub(ac.failuresAt)
	if ac.failures == 0 || age > 10*failureHalfLife {
		return 0
	}
	return ac.failures * decay(age, failureHalfLife)
}
