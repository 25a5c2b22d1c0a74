package length

import "math"

const (
	// bucketCount is the number of buckets. They cover token positions from 0
	// upwards, and the last one is open-ended.
	bucketCount = 48
	// firstWidth is the width of the first bucket in tokens.
	firstWidth = 16
	// growth is the ratio of the widths of two consecutive buckets.
	growth = 1.17
)

// bucketBounds holds the first token position of each bucket; its last entry
// is the end of the last bucket.
var bucketBounds = makeBounds()

func makeBounds() [bucketCount + 1]float64 {
	var bo [bucketCount + 1]float64
	width := float64(firstWidth)
	for ix := range bucketCount {
		bo[ix+1] = bo[ix] + math.Round(width)
		width *= growth
	}
	return bo
}

// bucketOf returns the bucket that contains a token position. The logarithm
// gives an estimate, which is then corrected because bucket widths are
// rounded.
func bucketOf(token float64) int {
	estimate := int(math.Log1p(token*(growth-1)/firstWidth) / math.Log(growth))
	ix := min(max(estimate, 0), bucketCount-1)
	for ix > 0 && token < bucketBounds[ix] {
		ix--
	}
	for ix < bucketCount-1 && token >= bucketBounds[ix+1] {
		ix++
	}
	return ix
}
