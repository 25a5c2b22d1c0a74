package reservation

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the average rate of grants.
	rateTime = 3 * time.Second
	// maxForecast limits an expected wait. Longer ones are told as this one.
	maxForecast = time.Hour
)

// rate is an exponentially weighted average of the rate of grants.
type rate struct {
	// count is the number of grants, of which older ones count less, as of the time at.
	count float64
	at    time.Duration
}

// decay brings count up to the time now.
func (ra *rate) decay(now time.Duration) {
	ra.count *= math.Exp(-(now - ra.at).Seconds() / rateTime.Seconds())
	ra.at = now
}

// add counts a grant.
func (ra *rate) add(now time.Duration) {
	ra.decay(now)
	ra.count++
}

// perSecond returns the average number of grants in a second.
func (ra *rate) perSecond(now time.Duration) float64 {
	ra.decay(now)
	return ra.count / rateTime.Seconds()
}
