package rollout

import "time"

// Report is what one instance knows of one order. The totals are cumulative, so that a
// later report replaces an earlier one. Its fields are plain: it travels in datagrams.
type Report struct {
	Service, Target string
	// Age is the order's age by this instance.
	Age time.Duration
	// Verdict is what this instance has found. RolledBack stops the target everywhere.
	Verdict State
	// Sent are the requests sent to old endpoints and to those of the target.
	SentOld, SentNew uint32
	// Share is the share that the evaluator sets; zero in reports of others.
	Share float64
	Rows  []Row
}

// Row has the totals of one route.
type Row struct {
	Route    string
	Old, New Totals
}

// Totals counts the answers of one version on one route.
type Totals struct {
	Answers, Failures uint32
	// Latency counts the answers by the upper bound of their latency, see latencyBounds.
	Latency [LatencyBuckets]uint32
}

// LatencyBuckets is the number of buckets of a latency histogram.
const LatencyBuckets = 16
