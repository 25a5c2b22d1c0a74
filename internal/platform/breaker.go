package platform

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// breaker is a circuit breaker. It opens after a number of consecutive failures
// and then admits one probe per interval until a probe succeeds.
type breaker struct {
	clock clockwork.Clock
	// threshold is the number of consecutive failures that opens the breaker.
	threshold     int
	probeInterval time.Duration

	mu                  sync.Mutex
	consecutiveFailures int
	nextProbe           time.Time
}

// allow reports whether a call may be made now. While the breaker is open, it
// admits one call per probe interval.
func (br *breaker) allow() bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	if br.consecutiveFailures < br.threshold {
		return true
	}
	now := br.clock.Now()
	if now.Before(br.nextProbe) {
		return false
	}
	br.nextProbe = now.Add(br.probeInterval)
	return true
}

// record counts the result of a call and reports whether this result opened the
// breaker. available is false if the call failed as Unavailable or Unknown.
func (br *breaker) record(available bool) bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	if available {
		br.consecutiveFailures = 0
		return false
	}
	br.consecutiveFailures++
	if br.consecutiveFailures < br.threshold {
		return false
	}
	if br.consecutiveFailures == br.threshold {
		br.nextProbe = br.clock.Now().Add(br.probeInterval)
		return true
	}
	return false
}
