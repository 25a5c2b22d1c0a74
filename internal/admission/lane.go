package admission

import (
	"math"
	"time"

	"filbertstall.example/filbertstall/internal/length"
	"filbertstall.example/filbertstall/internal/queue"
)

// lane is one of the queues of an allocator. Each lane has its own order and
// limit, so that short requests do not suffer head-of-line blocking behind
// long ones.
type lane struct {
	kind  laneKind
	queue queue.Queue[queuedRequest]
	rate  rate
	// teams holds the grant rate of each team.
	teams map[string]*rate
	// blocked is set if no endpoint had room for the head of the lane in the
	// last decision, or if the lane was suspended in it.
	blocked bool
	// suspended is set while the lane gets no grants in the current decision.
	suspended bool
}

type laneKind int

// Lanes in the order in which they are served.
const (
	// resumedLane holds answers that are resumed at another endpoint.
	resumedLane laneKind = iota
	shortLane
	longLane
	laneCount
)

// queuedRequest is a request together with the curve of its answer length.
type queuedRequest struct {
	re    Request
	curve *length.Curve
}

// expectedWait returns the time that a new request of the team is expected to
// wait. It divides the requests ahead, under fair sharing, by the grant rate
// of the lane. For a team with queued requests, it divides their number by the
// grant rate of the team if that gives a longer time. The result is zero while
// the lane is not blocked or has not granted anything yet.
func (la *lane) expectedWait(now time.Time, re Request) time.Duration {
	if !la.blocked {
		return 0
	}
	ahead, perSecond := la.queue.Ahead(re.Team, re.Weight), la.rate.perSecond(now)
	if ra, found := la.teams[re.Team]; found && la.queue.TeamLen(re.Team) > 0 {
		own := float64(la.queue.TeamLen(re.Team))
		if ownRate := ra.perSecond(now); ownRate > 0 && own/ownRate > ahead/perSecond {
			ahead, perSecond = own, ownRate
		}
	}
	if ahead <= 0 || perSecond <= 0 {
		return 0
	}
	return time.Duration(min(ahead/perSecond, maxWaitSeconds) * float64(time.Second))
}

// maxWaitSeconds limits the result of expectedWait.
const maxWaitSeconds = 3600

// recordGrant updates the grant rates of the lane and of the team.
func (la *lane) recordGrant(now time.Time, team string) {
	la.rate.add(now)
	ra, found := la.teams[team]
	if !found {
		ra = &rate{}
		if la.teams == nil {
			la.teams = make(map[string]*rate)
		}
		la.teams[team] = ra
	}
	ra.add(now)
}

// rateTimeConstant is the time constant of the exponential average of grant
// rates.
const rateTimeConstant = 3 * time.Second

// rate is an exponentially weighted moving average of the rate of events.
type rate struct {
	count float64
	at    time.Time
}

func (ra *rate) decay(now time.Time) {
	if !ra.at.IsZero() {
		ra.count *= math.Exp(-now.Sub(ra.at).Seconds() / rateTimeConstant.Seconds())
	}
	ra.at = now
}

func (ra *rate) add(now time.Time) {
	ra.decay(now)
	ra.count++
}

func (ra *rate) perSecond(now time.Time) float64 {
	ra.decay(now)
	return ra.count / rateTimeConstant.Seconds()
}
