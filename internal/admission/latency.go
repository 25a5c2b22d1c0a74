package admission

import (
	"math"
	"time"
)

const (
	// latencyTarget is the mean time between two tokens that the concurrency
	// limit aims for. It is below the 41 ms at the 95th percentile that callers
	// are promised.
	latencyTarget = 39 * time.Millisecond
	// latencyWindowTokens is the number of tokens over which tokenLatency is
	// averaged.
	latencyWindowTokens = 2000
	// latencyMinTokens is the number of tokens needed before the average is
	// used.
	latencyMinTokens = 200
	// minLimit is the lowest limit that the token latency imposes.
	minLimit = 4
)

// tokenLatency averages the time between two tokens of a sequence, and the
// number of sequences in flight during the measurement. It is immutable.
type tokenLatency struct {
	weight      float64
	seconds     float64
	concurrency float64
}

// with returns a copy that includes fresh tokens of one sequence, produced in
// du while the given number of sequences was in flight.
func (tl tokenLatency) with(du time.Duration, fresh int64, concurrency int) tokenLatency {
	if fresh <= 0 || du <= 0 {
		return tl
	}
	keep := max(1-float64(fresh)/latencyWindowTokens, 0)
	tl.weight = tl.weight*keep + float64(fresh)
	tl.seconds = tl.seconds*keep + du.Seconds()
	tl.concurrency = tl.concurrency*keep + float64(concurrency)*float64(fresh)
	return tl
}

// mean returns the mean time between two tokens in seconds, or zero while too
// few tokens were measured.
func (tl tokenLatency) mean() float64 {
	if tl.weight < latencyMinTokens {
		return 0
	}
	return tl.seconds / tl.weight
}

// limit returns the number of sequences at which the mean meets latencyTarget.
// The calculation assumes that the time is proportional to the number of
// sequences. Part of it is constant, so the result is too high far below the
// target and exact at the target.
func (tl tokenLatency) limit() int {
	mean := tl.mean()
	if mean == 0 {
		return math.MaxInt
	}
	concurrency := tl.concurrency / tl.weight
	return max(int(concurrency*latencyTarget.Seconds()/mean), minLimit)
}

const (
	// recentWindowTokens is the number of tokens over which recentLatency is
	// averaged.
	recentWindowTokens = 50
	// recentMinTokens is the number of tokens needed before the average is
	// used.
	recentMinTokens = 20
	// maxRecentLatency limits what one token of a sequence adds, so that one
	// preempted sequence does not make the endpoint appear slow.
	maxRecentLatency = 400 * time.Millisecond
	// An endpoint is slow if the recent mean exceeds slowFactor times the
	// usual mean or slowLatency, whichever is lower. Only slowLatency applies
	// while the usual mean is unknown.
	slowFactor  = 3
	slowLatency = 150 * time.Millisecond
)

// recentLatency averages the time between two tokens over the last few tokens.
// It is immutable.
type recentLatency struct{ weight, seconds float64 }

func (rl recentLatency) with(du time.Duration, fresh int64) recentLatency {
	keep := max(1-float64(fresh)/recentWindowTokens, 0)
	rl.weight = rl.weight*keep + float64(fresh)
	rl.seconds = rl.seconds*keep + min(du, time.Duration(fresh)*maxRecentLatency).Seconds()
	return rl
}

// slow reports whether the recent mean is unexpectedly high. usualMean is in
// seconds, and zero if unknown.
func (rl recentLatency) slow(usualMean float64) bool {
	limit := slowLatency.Seconds()
	if usualMean > 0 {
		limit = min(limit, slowFactor*usualMean)
	}
	return rl.weight >= recentMinTokens && rl.seconds > rl.weight*limit
}
