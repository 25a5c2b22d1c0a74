package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// soloShare is the part of a limit that all instances together may use while none
	// of them can ask the allocator.
	soloShare = 0.5
	// soloWindow is the time within which an instance may use its turn. Turns that
	// are not used don't add up, so that many instances that were idle can't use
	// theirs at the same moment.
	soloWindow = 500 * time.Millisecond
)

// share divides a limit without asking anybody: each instance has a turn for one
// request once in a period that is long enough for all.
type share struct {
	lastTurn int64
}

// take uses the present turn of an instance. If there is none, or if it was used, it
// returns the time until the next one.
func (sh *share) take(now time.Duration, instance, endpoint string, rate float64, instances int) (wait time.Duration, taken bool) {
	period := time.Duration(float64(instances) / soloShare * float64(interval(rate)))
	const steps = 1 << 20
	offset := time.Duration(float64(period) * float64(xxhash.Sum64String(endpoint+"/"+instance)%steps) / steps)
	turn := int64((now + period - offset) / period)
	begins := time.Duration(turn-1)*period + offset
	if turn != sh.lastTurn && now-begins <= soloWindow {
		sh.lastTurn = turn
		return 0, true
	}
	return begins + period - now, false
}
