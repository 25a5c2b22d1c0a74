package ratelimit

import "time"

const (
	// maxBurst is the number of requests that may follow one another at once after a
	// time without any.
	maxBurst = 3
	// minRate is the lowest rate that is given out, in requests per second. Without
	// any request, the end of a limit of zero would never be noticed.
	minRate = 0.1
)

// bucket gives out the requests of one endpoint. It is the generic cell rate
// algorithm: next is the time at which all requests given out so far are due at the
// present rate.
type bucket struct {
	next time.Duration
}

// newBucket returns a bucket that gives out one request at once, and the following
// ones one by one.
func newBucket(now time.Duration, rate float64, burst int) *bucket {
	return &bucket{next: now + tolerance(rate, burst)}
}

func interval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate, minRate))
}

func tolerance(rate float64, burst int) time.Duration { return time.Duration(burst-1) * interval(rate) }

// take takes one request at the given rate. It returns after how long it may be
// sent. If that is longer than maxWait, it takes none and returns false.
func (bu *bucket) take(now time.Duration, rate float64, burst int, maxWait time.Duration) (wait time.Duration, taken bool) {
	// After a limit was raised, the requests given out at the lower rate would block
	// it for too long.
	bu.next = min(bu.next, now+maxBacklog+tolerance(rate, burst))
	wait = max(bu.next-tolerance(rate, burst)-now, 0)
	if wait > maxWait {
		return wait, false
	}
	bu.next = max(bu.next, now) + interval(rate)
	return wait, true
}

// maxBacklog is the longest time ahead for which requests are given out.
const maxBacklog = 10 * time.Second
