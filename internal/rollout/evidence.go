package rollout

import "math"

// odds are the alternatives that a test weighs against "the target is no worse": that
// the odds of a bad answer are so many times those of the old version.
var odds = [...]float64{4, 16, 64}

// evidence is a test martingale (an e-process) against the hypothesis that the target is no worse than
// the old version: one logarithm of a likelihood ratio for each of odds. While the
// hypothesis holds, the mean of the ratios is a martingale that begins at 1, so that it
// ever exceeds x with a probability of 1/x at most, however often it is looked at
// (Ville's inequality). Each step conditions on how many answers either version gave
// and on how many were bad in all; the level of bad answers may thus change from step
// to step, as long as it changes for both.
type evidence [len(odds)]float64

// add enters a step: old and target answers, of which bad were bad, hits of them the
// target's.
func (ev *evidence) add(old, target, bad, hits int) {
	if bad <= 0 || target <= 0 || old <= 0 || hits < 0 || hits > target || bad-hits > old {
		return
	}
	least, most := max(0, bad-old), min(bad, target)
	for ix, ratio := range odds {
		ev[ix] += float64(hits)*math.Log(ratio) - logMean(old, target, bad, least, most, math.Log(ratio))
	}
}

// logMean returns the logarithm of the mean of ratio to the power of the target's part
// of the bad answers, if the bad ones are a random draw from all.
func logMean(old, target, bad, least, most int, logRatio float64) float64 {
	all := logChoose(old+target, bad)
	sum, scale := 0.0, float64(most)*logRatio
	for ix := least; ix <= most; ix++ {
		sum += math.Exp(logChoose(target, ix) + logChoose(old, bad-ix) - all + float64(ix)*logRatio - scale)
	}
	return math.Log(sum) + scale
}

func logChoose(all, part int) float64 {
	return logFactorial(all) - logFactorial(part) - logFactorial(all-part)
}

func logFactorial(number int) float64 {
	value, _ := math.Lgamma(float64(number) + 1)
	return value
}

// value returns the logarithm of the mean of the ratios.
func (ev *evidence) value() float64 {
	top := max(ev[0], ev[1], ev[2])
	sum := 0.0
	for _, lr := range ev {
		sum += math.Exp(lr - top)
	}
	return top + math.Log(sum/float64(len(odds)))
}
