package admission

import (
	"math"
	"time"
)

const (
	// lossBackOff is how long an endpoint gets no new work after a lost
	// connection, and after the first request that it did not accept.
	lossBackOff = 250 * time.Millisecond
	// maxBackOff is the upper limit of the back-off, which doubles with each
	// further request that is not accepted.
	maxBackOff = 4 * time.Second
	// An endpoint that loses restartLosses connections within restartWindow is
	// assumed to have failed itself. Fewer losses are taken as failures of
	// single connections.
	restartLosses = 2
	restartWindow = 2 * time.Second
)

// backOff is the failure state of one endpoint. It is immutable. failures
// counts the requests that the endpoint did not accept since it last produced
// a token, until the delay has reached maxBackOff. losses counts the
// connections lost since windowStart. The endpoint gets no new work before
// until.
type backOff struct {
	failures    int
	losses      int
	windowStart time.Time
	until       time.Time
}

// withLost returns a copy that counts a request whose connection was lost.
func (bo backOff) withLost(now time.Time) backOff {
	if now.Sub(bo.windowStart) > restartWindow {
		bo.losses, bo.windowStart = 0, now
	}
	bo.losses++
	bo.until = later(bo.until, now.Add(lossBackOff))
	return bo
}

// withRefused returns a copy that counts a request that the endpoint did not
// accept.
func (bo backOff) withRefused(now time.Time) backOff {
	delay := time.Duration(math.Ldexp(float64(lossBackOff), bo.failures))
	if delay < maxBackOff {
		bo.failures++
	}
	bo.until = later(bo.until, now.Add(min(delay, maxBackOff)))
	return bo
}

// indicatesRestart reports whether the losses mean that the endpoint itself
// has failed.
func (bo backOff) indicatesRestart() bool { return bo.losses >= restartLosses }

func (bo backOff) paused(now time.Time) bool { return now.Before(bo.until) }

func later(le, ri time.Time) time.Time {
	if le.After(ri) {
		return le
	}
	return ri
}

// recordFailure starts a back-off if the endpoint did not accept the request
// or the request was lost. It resets an endpoint that may have restarted to
// cold.
func (al *Allocator) recordFailure(now time.Time, ac *account, re Result) {
	switch re {
	case NotBegun:
		ac.backOff = ac.backOff.withRefused(now)
		ac.warm = ac.warm.WithCold()
	case Lost:
		ac.backOff = ac.backOff.withLost(now)
		if ac.backOff.indicatesRestart() {
			ac.warm = ac.warm.WithCold()
		}
	default:
		return
	}
	if !ac.paused {
		ac.paused = true
		al.paused = append(al.paused, ac)
	}
}

// resumePaused makes the endpoints whose back-off has ended available again.
func (al *Allocator) resumePaused(now time.Time) {
	kept := al.paused[:0]
	for _, ac := range al.paused {
		if ac.backOff.paused(now) {
			kept = append(kept, ac)
			continue
		}
		ac.paused = false
		if ac.index != nil {
			al.updateScore(ac)
		}
	}
	clear(al.paused[len(kept):])
	al.paused = kept
}

// nextResume returns the time at which the next back-off ends, or false if
// there is none.
func (al *Allocator) nextResume() (time.Time, bool) {
	var next time.Time
	for _, ac := range al.paused {
		if next.IsZero() || ac.backOff.until.Before(next) {
			next = ac.backOff.until
		}
	}
	return next, !next.IsZero()
}
