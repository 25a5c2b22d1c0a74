package length

import "math"

const (
	// parentWeight is the weight, in answers, of the parent curve's estimate
	// when it is combined with the evidence of the curve itself. A curve without
	// a parent uses it for the prior hazard.
	parentWeight = 8
	// halfLifeAnswers is the number of answers after which the weight of old
	// evidence has halved.
	halfLifeAnswers = 4000
	// refreshAnswers is the number of answers between two recomputations of
	// the derived values. Until refreshAnswers recomputations have been made,
	// every answer causes one, so that a new curve adapts quickly.
	refreshAnswers = 16
	// Without evidence, the hazard at a token position is
	// priorShape/(token+priorScale).
	priorShape = 1.4
	priorScale = 400
)

// Curve estimates the distribution of answer lengths, in tokens, for one Key.
// It is a hazard function that is constant within each bucket.
type Curve struct {
	parent *Curve
	// ended and survived count answers per bucket: those that ended in the
	// bucket and those that continued past its end.
	ended    [bucketCount]float64
	survived [bucketCount]float64
	// endProbability is the probability that an answer that reaches the bucket
	// ends in it. hazard is the corresponding rate per token.
	endProbability [bucketCount]float64
	hazard         [bucketCount]float64
	// logSurvival is the logarithm of the survival function at bucketBounds.
	logSurvival [bucketCount + 1]float64
	mean        float64
	// weight is what the next answer counts for. It grows with each answer,
	// which decays older evidence without rescaling every counter.
	weight            float64
	endedSinceRefresh int
	refreshCount      int
}

func newCurve(parent *Curve) *Curve {
	cu := &Curve{parent: parent, weight: 1}
	cu.refresh()
	return cu
}

// ObserveProgress records that a running answer has grown; from and to are its
// previous and its current length in tokens.
func (cu *Curve) ObserveProgress(from, to int64) {
	for each := cu; each != nil; each = each.parent {
		each.addSurvived(float64(from), float64(to))
	}
}

func (cu *Curve) addSurvived(from, to float64) {
	for ix := bucketOf(from); ix < bucketCount-1 && bucketBounds[ix+1] <= to; ix++ {
		if bucketBounds[ix+1] > from {
			cu.survived[ix] += cu.weight
		}
	}
}

// ObserveEnd records that an answer was completed; at is its length in tokens.
func (cu *Curve) ObserveEnd(at int64) {
	ix := bucketOf(float64(max(at-1, 0)))
	for each := cu; each != nil; each = each.parent {
		each.ended[ix] += each.weight
		each.weight *= weightGrowth
		each.endedSinceRefresh++
		if each.weight > maxWeight {
			each.rescale()
		}
	}
	if cu.endedSinceRefresh >= refreshAnswers || cu.refreshCount < refreshAnswers {
		cu.refreshAll()
	}
}

// weightGrowth is the factor by which each answer outweighs the one before it.
var weightGrowth = math.Exp2(1.0 / halfLifeAnswers)

// maxWeight is the weight above which the counters are rescaled, so that they
// do not grow without limit.
const maxWeight = 1 << 20

func (cu *Curve) rescale() {
	for ix := range cu.ended {
		cu.ended[ix] /= cu.weight
		cu.survived[ix] /= cu.weight
	}
	cu.weight = 1
}

func (cu *Curve) refreshAll() {
	if cu.parent != nil {
		cu.parent.refreshAll()
	}
	cu.refresh()
}

func (cu *Curve) refresh() {
	cu.endedSinceRefresh = 0
	cu.refreshCount++
	sum := 0.0
	for ix := range bucketCount {
		width := bucketBounds[ix+1] - bucketBounds[ix]
		cu.endProbability[ix] = cu.estimate(ix, width)
		cu.hazard[ix] = -math.Log1p(-cu.endProbability[ix]) / width
		cu.logSurvival[ix+1] = cu.logSurvival[ix] - cu.hazard[ix]*width
		// Integral of the survival function over the bucket.
		sum += (math.Exp(cu.logSurvival[ix]) - math.Exp(cu.logSurvival[ix+1])) / cu.hazard[ix]
	}
	cu.mean = sum
}

// maxEndProbability keeps the hazard finite if all answers end in one bucket.
const maxEndProbability = 0.995

func (cu *Curve) estimate(ix int, width float64) float64 {
	ended, survived := cu.ended[ix]/cu.weight, cu.survived[ix]/cu.weight
	probability := (ended + parentWeight*cu.priorProbability(ix, width)) / (ended + survived + parentWeight)
	return min(probability, maxEndProbability)
}

// priorProbability returns the probability that an answer ends in the bucket,
// without the evidence of the curve itself: that of the parent curve, or the
// prior hazard for a curve without a parent.
func (cu *Curve) priorProbability(ix int, width float64) float64 {
	if cu.parent != nil {
		return cu.parent.endProbability[ix]
	}
	return -math.Expm1(-width * priorShape / ((bucketBounds[ix]+bucketBounds[ix+1])/2 + priorScale))
}

// Mean returns the estimated mean length in tokens.
func (cu *Curve) Mean() float64 { return cu.mean }

// Survival returns the probability that an answer is longer than done+more
// tokens, given that it is longer than done tokens.
func (cu *Curve) Survival(done, more float64) float64 {
	return math.Exp(cu.logSurvivalAt(done+more) - cu.logSurvivalAt(done))
}

func (cu *Curve) logSurvivalAt(token float64) float64 {
	ix := bucketOf(token)
	return cu.logSurvival[ix] - cu.hazard[ix]*(token-bucketBounds[ix])
}

// SurvivalEach stores Survival(done, more[no]) in survival[no] for each entry
// of more, which must be in ascending order. The slices have equal length.
func (cu *Curve) SurvivalEach(done float64, more, survival []float64) {
	base := cu.logSurvivalAt(done)
	ix := bucketOf(done)
	for no, mo := range more {
		token := done + mo
		for ix < bucketCount-1 && token >= bucketBounds[ix+1] {
			ix++
		}
		survival[no] = math.Exp(cu.logSurvival[ix] - cu.hazard[ix]*(token-bucketBounds[ix]) - base)
	}
}
