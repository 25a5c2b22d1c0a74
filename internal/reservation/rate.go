package reservation

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the average rate of grants.
	rateTime = 3 * time.Second
	// maxForecast limits an expected wait.
	maxForecast = time.Hour
	// returnedLifetime is the time for which a refused request is remembered, in which
	// its caller may return. maxReturned limits their number.
	returnedLifetime = 10 * time.Second
	maxReturned      = 4096
	// returnedLead puts requests that return before all new ones of their team.
	returnedLead = time.Hour
)

// rate is an exponentially weighted average of the rate of grants.
type rate struct {
	count float64
	at    time.Duration
}

func (ra *rate) decay(now time.Duration) {
	ra.count *= math.Exp(-(now - ra.at).Seconds() / rateTime.Seconds())
	ra.at = now
}

func (ra *rate) add(now time.Duration) {
	ra.decay(now)
	ra.count++
}

func (ra *rate) perSecond(now time.Duration) float64 {
	ra.decay(now)
	return ra.count / rateTime.Seconds()
}

// returned has the keys of requests that were refused lately, and until when they are
// remembered.
type returned map[uint64]time.Duration

func (rs returned) add(key uint64, now time.Duration) {
	if len(rs) >= maxReturned {
		for other, until := range rs {
			if now > until {
				delete(rs, other)
			}
		}
	}
	if key != 0 && len(rs) < maxReturned {
		rs[key] = now + returnedLifetime
	}
}

func (rs returned) has(key uint64, now time.Duration) bool { return now <= rs[key] && key != 0 }
