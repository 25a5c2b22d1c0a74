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
	// Verdict is RolledBack once an evaluator has found the target bad; it stops the
	// target everywhere. Else it is Pending.
	Verdict State
	// Share is the share of the requests that go to the target, as an evaluator sets
	// it. It counts only if Evaluator is set.
	Evaluator bool
	Share     float64
	// SentOld and SentNew are the requests sent to endpoints of other versions and to
	// those of the target.
	SentOld, SentNew uint32
	// Rows has at most maxRows rows.
	Rows []Row
}

// Row has the totals of one route: of one endpoint of the target, or of all endpoints
// of other versions together, for which Endpoint is empty.
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

// LatencyBuckets is the number of buckets of a latency histogram.
const LatencyBuckets = 24

// maxRows limits the rows of a report. Answers of further endpoints are counted
// together, for otherEndpoints.
const maxRows = 64

// otherEndpoints stands for the endpoints of the target that have no row of their own.
const otherEndpoints = "*"
