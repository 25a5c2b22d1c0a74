package rollout

import "time"

// Report is what one instance knows of one order. The totals are cumulative, so that a
// lost report does no harm: the next one replaces it. Its fields are plain, since it
// travels between instances.
type Report struct {
	Service, Target string
	// Boot identifies the process of the instance. Sequence rises with each change.
	Boot, Sequence uint64
	// Age is a lower bound of the order's age when the report was made.
	Age time.Duration
	// Verdict is RolledBack once an evaluator has found the target bad: each instance
	// that receives it stops using the target. Else it is Pending.
	Verdict State
	// Evaluator is set in the reports of an instance that evaluates the service. Share
	// is the share of the requests that it sends to the target.
	Evaluator bool
	Share     float64
	// SentOld and SentNew are the requests sent to endpoints of other versions and to
	// those of the target.
	SentOld, SentNew uint32
	// CrashedOld and CrashedNew name endpoint processes that crashed, at most
	// maxCrashes each.
	CrashedOld, CrashedNew []string
	// Rows has at most maxRows rows.
	Rows []Row
}

// Row has the totals of one route: of one endpoint of the target, or of all endpoints
// of other versions together, for which Endpoint is empty. In the report of an evaluator,
// a row without a route names an outlier and has no totals.
type Row struct {
	Route, Endpoint string
	Totals          Totals
}

// Totals counts finished answers.
type Totals struct {
	Answers, Failures uint32
	// Latency counts the successful answers of endpoints that were not cold, by their
	// latency: the upper bound of the first bucket is 4 ms, that of each other one half
	// as much again as the one before.
	Latency [LatencyBuckets]uint32
}

const (
	// LatencyBuckets is the number of buckets of a latency histogram.
	LatencyBuckets = 24
	firstBucket    = 4 * time.Millisecond
	bucketRatio    = 1.5
	// maxRows limits the rows of a report. Further endpoints of the target share one
	// row for each route, under otherEndpoints; further routes are not counted.
	maxRows        = 64
	maxCrashes     = 16
	otherEndpoints = "*"
)

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	bound := float64(firstBucket)
	for ix := range LatencyBuckets - 1 {
		if float64(latency) <= bound {
			return ix
		}
		bound *= bucketRatio
	}
	return LatencyBuckets - 1
}

func (to *Totals) add(other *Totals) {
	to.Answers += other.Answers
	to.Failures += other.Failures
	for ix, count := range other.Latency {
		to.Latency[ix] += count
	}
}

func (to *Totals) subtract(other *Totals) {
	to.Answers -= other.Answers
	to.Failures -= other.Failures
	for ix, count := range other.Latency {
		to.Latency[ix] -= count
	}
}

// measured returns the number of answers in the histogram.
func (to *Totals) measured() int { return to.slow(0) }

// slow returns the number of answers from a bucket on.
func (to *Totals) slow(from int) int {
	count := 0
	for ix := max(from, 0); ix < LatencyBuckets; ix++ {
		count += int(to.Latency[ix])
	}
	return count
}
