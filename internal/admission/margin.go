package admission

const (
	initialRisk = 3.0
	minRisk     = 0.5
	maxRisk     = 3.0
	// preemptionStep is added to the risk for each preemption.
	preemptionStep = 0.03
	// preemptionTarget is the accepted number of preemptions per long request
	// that had to wait for its grant.
	preemptionTarget = 0.0015
	// unusedTarget is the share of unused memory above which the risk
	// decreases faster, by the factor 1 + unusedGain*(unused-unusedTarget).
	unusedTarget = 0.15
	unusedGain   = 60.0
)

// margin controls the safety margin on memory: risk is the number of standard
// deviations of the forecast that are kept free. It increases with each
// preemption that an endpoint reports and decreases with each grant of a long
// request that had to wait, so that in equilibrium there are preemptionTarget
// preemptions per such grant. It decreases faster while much memory is unused.
type margin struct{ risk float64 }

func (ma margin) withPreempted(count int64) margin {
	ma.risk = min(ma.risk+preemptionStep*float64(count), maxRisk)
	return ma
}

func (ma margin) withGranted(unused float64) margin {
	speed := 1 + unusedGain*max(unused-unusedTarget, 0)
	ma.risk = max(ma.risk-preemptionStep*preemptionTarget*speed, minRisk)
	return ma
}
