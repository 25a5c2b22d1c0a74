package rollout

import (
	"time"

	"github.com/rs/zerolog"
)

// rollout is the course of one order, as this instance knows it.
type rollout struct {
	order Order
	// origin is a time by the own clock at which the order had been written.
	origin time.Time
	// state is the furthest one that the store has shown, stateAt when it was first.
	state   State
	stateAt time.Time
	// inUse is set if the target was used before the order was known.
	inUse bool
	// bad is set once an evaluator has found the target bad, and reason says why.
	bad    bool
	reason string
	// halted is set once this instance's own judge has found the target bad. The instance
	// then sends the target no more requests, and leaves the verdict to the evaluator.
	halted bool
	ledger *ledger
	judge  judge
	// shares has what each evaluator has reported, by its instance. Each zone has one
	// evaluator, or more while instances disagree about which one it is.
	shares map[string]toldShare
	// pending is the number of runs and requests at old endpoints, in the fleet.
	pending int
	// offered is the last transition that Next has returned, offeredAt when.
	offered   Transition
	offeredAt time.Time
}

// toldShare is the share that an evaluator has reported, when the report arrived, and the
// endpoints of the target that it names as outliers.
type toldShare struct {
	share    float64
	at       time.Time
	outliers []string
}

func (re *Registry) newRollout(or Order, now time.Time) *rollout {
	if re.boot == 0 {
		re.boot = uint64(now.UnixNano())
	}
	return &rollout{
		order: or, origin: now.Add(-or.Age), stateAt: now, shares: make(map[string]toldShare),
		ledger: newLedger(Report{Service: or.Service, Target: or.Target, Boot: re.boot}),
	}
}

// age is a lower bound of the time since the order was written.
func (ro *rollout) age(now time.Time) time.Duration { return now.Sub(ro.origin) }

func (ro *rollout) learnAge(age time.Duration, now time.Time) {
	if origin := now.Add(-age); origin.Before(ro.origin) {
		ro.origin = origin
	}
}

// put records what the store has of the order. A final state of the store always
// counts; one that is behind what was known is that of an older copy.
func (ro *rollout) put(or Order, now time.Time) {
	ro.learnAge(or.Age, now)
	ro.order = or
	if or.State == ro.state || !or.State.Final() && or.State < ro.state {
		return
	}
	ro.state, ro.stateAt = or.State, now
}

// merge records the report of another instance. It reports whether the report is the
// first from which this instance learns that the target is bad.
func (ro *rollout) merge(instance string, rep Report, now time.Time, log zerolog.Logger) bool {
	ro.learnAge(rep.Age, now)
	if !ro.ledger.merge(instance, rep) {
		return false
	}
	if rep.Evaluator && rep.Verdict != RolledBack {
		ro.shares[instance] = toldShare{share: rep.Share, at: now, outliers: outliersOf(rep)}
	}
	if rep.Verdict == RolledBack && !ro.bad && ro.state != Completed {
		ro.markBad("told by "+instance, log)
		return true
	}
	return false
}

// markBad records an evaluator's verdict that the target is bad. The next report tells it
// to the other instances.
func (ro *rollout) markBad(reason string, log zerolog.Logger) {
	ro.bad, ro.reason = true, reason
	ro.ledger.own.Verdict = RolledBack
	ro.ledger.unsent = true
	log.Warn().Str("event", "rollout_bad").Str("service", ro.order.Service).Str("target", ro.order.Target).Str("reason", reason).
		Int("sent_old", ro.ledger.sentOld).Int("sent_new", ro.ledger.sentNew).Msg("rollout: the version is bad; not using it")
}

// currentShare is the share of the requests that goes to the target: during the canary
// the lowest one that an evaluator has reported recently, while promoting one that rises.
func (ro *rollout) currentShare(bo Bounds, now time.Time) float64 {
	if ro.state == Promoting {
		if ro.age(now) >= ro.order.Budget-ro.margin()-lastTime {
			return 1
		}
		return firstStep + (lastStep-firstStep)*min(1, now.Sub(ro.stateAt).Seconds()/rampTime.Seconds())
	}
	least, found := maxShare, false
	for _, ts := range ro.shares {
		if now.Sub(ts.at) <= shareLifetime {
			least, found = min(least, ts.share), true
		}
	}
	if !found {
		return bo.baseShare()
	}
	return least
}

// outliers returns the endpoints of the target that look worse than the others, to this
// instance or to an evaluator.
func (ro *rollout) outliers() map[string]bool {
	set := ro.judge.outliers()
	for _, ts := range ro.shares {
		for _, id := range ts.outliers {
			set[id] = true
		}
	}
	return set
}
