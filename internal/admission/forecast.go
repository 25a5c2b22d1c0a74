package admission

import (
	"math"

	"filbertstall.example/filbertstall/internal/length"
)

// horizons are the numbers of decode steps ahead for which the memory of an
// endpoint is forecast. Each of its sequences grows by one token per step.
var horizons = [...]float64{0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144}

const horizonCount = len(horizons)

// forecast holds the mean of the memory in use at each horizon, in tokens, and
// its variance.
type forecast struct {
	mean, variance [horizonCount]float64
}

func (fo *forecast) add(other *forecast) {
	for ix := range horizonCount {
		fo.mean[ix] += other.mean[ix]
		fo.variance[ix] += other.variance[ix]
	}
}

func (fo *forecast) subtract(other *forecast) {
	for ix := range horizonCount {
		fo.mean[ix] -= other.mean[ix]
		fo.variance[ix] -= other.variance[ix]
	}
}

// room returns the memory left at the horizon where it is scarcest, with a
// margin of risk standard deviations.
func (fo *forecast) room(memory, risk float64) float64 {
	left := math.Inf(1)
	for ix := range horizonCount {
		left = min(left, memory-fo.mean[ix]-risk*math.Sqrt(max(fo.variance[ix], 0)))
	}
	return left
}

// roomWith returns the value that room would have if other were added.
func (fo *forecast) roomWith(other *forecast, memory, risk float64) float64 {
	left := math.Inf(1)
	for ix := range horizonCount {
		variance := max(fo.variance[ix]+other.variance[ix], 0)
		left = min(left, memory-fo.mean[ix]-other.mean[ix]-risk*math.Sqrt(variance))
	}
	return left
}

// forecastAnswer returns the forecast for an answer of unknown length. prompt
// is the length of the prompt, done that of the answer so far, and limit the
// maximum length of the answer, or zero if there is no limit.
func forecastAnswer(cu *length.Curve, prompt, done, limit float64) forecast {
	var fo forecast
	var survival [horizonCount]float64
	cu.SurvivalEach(done, horizons[:], survival[:])
	for ix, ho := range horizons {
		if limit > 0 && done+ho >= limit && ix > 0 {
			break
		}
		used := prompt + done + ho
		fo.mean[ix] = survival[ix] * used
		fo.variance[ix] = survival[ix] * (1 - survival[ix]) * used * used
	}
	return fo
}

// forecastKnown returns the forecast for an answer of known length total. Each
// mean is the maximum of the memory used since the previous horizon, and the
// variance is zero.
func forecastKnown(prompt, done, total float64) forecast {
	var fo forecast
	before := 0.0
	for ix, ho := range horizons {
		if done+before >= total {
			break
		}
		fo.mean[ix] = prompt + min(done+ho, total)
		before = ho
	}
	return fo
}
