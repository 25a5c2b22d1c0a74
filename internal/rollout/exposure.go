package rollout

import "time"

const (
	// plannedPart is the part of the allowed exposure that is planned for.
	plannedPart = 0.4
	// doubtPlannedPart is that part while evidence against the target delays the decision.
	doubtPlannedPart = 0.5
	// maxShare bounds the share during the canary, so that there are old answers to
	// compare with.
	maxShare = 0.3
	// shareLifetime is how long the share that an evaluator has told is used.
	shareLifetime = 3 * time.Second
	// trafficFloor is the part of the present rate that is counted on for the rest of
	// the budget.
	trafficFloor = 0.5
	// leastSpendTime is the least time over which what is left of the exposure is spread.
	leastSpendTime = time.Second
	// fullFactor times the base share is the least share in the last seconds before the
	// decision, up to maxShare. These begin when what is left allows fullTolerance of it.
	fullFactor    = 3
	fullTolerance = 0.9
	// earlyFactor times the base share is the greatest share before these seconds.
	earlyFactor = 0.5
	// settleTime is the age of an order from which its rate of requests is known. Before,
	// the base share is used.
	settleTime = time.Second
)

// baseShare is the share at an instance that has received none from an evaluator. The sum
// over all instances stays within plannedPart of the bound, also if they do not know each
// other.
func (bo Bounds) baseShare() float64 { return min(plannedPart*bo.Share, maxShare) }

// plannedShare is the share that an evaluator sets. What is left of the planned exposure
// is kept for the last seconds before the decision, at a share that gives one endpoint
// of the target the load of an old one: faults that come late or under load show then.
// endpoints is the number of endpoints of the target.
func (bo Bounds) plannedShare(ro *rollout, age time.Duration, endpoints int) float64 {
	le, base := ro.ledger, bo.baseShare()
	if age < settleTime {
		return base
	}
	all := float64(le.sentOld + le.sentNew)
	rate := all / age.Seconds()
	if rate <= 0 {
		return maxShare
	}
	part, decision := plannedPart, ro.decision()
	if _, doubt := ro.judge.doubt(endpoints > 1); doubt && age > decision-doubtTime {
		part, decision = doubtPlannedPart, decision+doubtTime
	}
	expected := all + trafficFloor*rate*max(ro.order.Budget-age, 0).Seconds()
	left := part*(bo.Share*expected+float64(bo.Slack)) - float64(le.sentNew)
	even := left / (rate * max(decision-age, leastSpendTime).Seconds())
	full := min(max(1/float64(max(endpoints, 1)), fullFactor*base), maxShare)
	if even < full*fullTolerance {
		return min(max(even, 0), earlyFactor*base)
	}
	return min(even, maxShare)
}

// fits reports whether all requests until the end of the budget may go to the target
// within the bound.
func (bo Bounds) fits(le *ledger, age, budget time.Duration) bool {
	all := float64(le.sentOld + le.sentNew)
	rest := all / max(age, settleTime).Seconds() * max(budget-age, 0).Seconds()
	return float64(le.sentNew)+rest <= plannedPart*(bo.Share*(all+rest)+float64(bo.Slack))
}
