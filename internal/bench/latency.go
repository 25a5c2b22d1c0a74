package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramDigits = 3
	longestLatency  = 2 * time.Hour
)

// latency is a histogram of durations with a resolution of 1 µs and three
// significant digits. Durations above longestLatency count as longestLatency. It
// is not safe for concurrent use.
type latency struct{ hi *hdrhistogram.Histogram }

func newLatency() latency {
	return latency{hdrhistogram.New(1, longestLatency.Microseconds(), histogramDigits)}
}

func (la latency) record(du time.Duration) {
	_ = la.hi.RecordValue(min(max(du.Microseconds(), 1), longestLatency.Microseconds()))
}

// quantile returns the latency at quantile qu, from 0 to 1.
func (la latency) quantile(qu float64) time.Duration {
	return time.Duration(la.hi.ValueAtQuantile(qu*100)) * time.Microsecond
}
