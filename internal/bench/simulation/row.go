package simulation

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row is the result of one run. It excludes unmeasuredTime at the start, or the
// first quarter of runs shorter than four times that, as the allocator learns
// answer lengths then. Token gaps, preemptions and goodput count by the time at
// which they occur, and the other measurements by the arrival of the request. The
// counts ColdOverloadCount and EndpointsLost cover the whole run.
type Row struct {
	Policy  Policy  `json:"policy"`
	Seed    uint64  `json:"seed"`
	Lengths Lengths `json:"lengths"`
	Load    float64 `json:"load"`
	// StallSecondsP99 is the 99th percentile, over complete answers, of the time
	// by which gaps between tokens exceeded stallThreshold, summed per answer.
	StallSecondsP99    float64 `json:"stall_seconds_p99"`
	PreemptionsPer1000 float64 `json:"preemptions_per_1000"`
	FirstTokenP95      float64 `json:"first_token_seconds_p95"`
	InterTokenMSP95    float64 `json:"inter_token_ms_p95"`
	InterTokenMSP99    float64 `json:"inter_token_ms_p99"`
	AnswerSecondsP99   float64 `json:"answer_seconds_p99"`
	// ShortWaitMSP99 is the time to the first token of short calls. A call
	// without an answer counts with the full shortPatience.
	ShortWaitMSP99 float64 `json:"short_wait_ms_p99"`
	// Goodput counts the tokens of answers that complete within their deadline.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// RefusedShare is the share of requests that were refused or abandoned.
	RefusedShare float64 `json:"refused_share"`
	// ColdOverloadCount is the number of jobs that were dispatched to an engine
	// that was known to be cold and already had coldSequences jobs.
	ColdOverloadCount int `json:"cold_overload_count"`
	// EndpointsLost is the number of engines that the crashing request crashed.
	EndpointsLost int `json:"endpoints_lost"`
}

// stallThreshold is the shortest gap between tokens that counts as a stall.
const stallThreshold = 200 * time.Millisecond

// measurement collects the measurements of a run. The lists firstToken,
// answerTimes and stallTimes are in seconds, gaps is in microseconds and shortWaits
// in milliseconds.
type measurement struct {
	from, to      time.Duration
	gaps          *hdrhistogram.Histogram
	firstToken    []float64
	answerTimes   []float64
	stallTimes    []float64
	shortWaits    []float64
	goodTokens    int
	arrived       int
	refused       int
	dispatched    int
	preempted     int
	coldOverloads int
	enginesLost   int
}

func newMeasurement(from, to time.Duration) *measurement {
	return &measurement{from: from, to: to, gaps: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

// within reports whether a virtual time is in the measured part of the run.
func (me *measurement) within(at time.Duration) bool { return at >= me.from && at < me.to }

func (me *measurement) recordGap(du time.Duration, count int) {
	if count > 0 {
		_ = me.gaps.RecordValues(du.Microseconds(), int64(count))
	}
}

// ended records a job whose answer is complete.
func (me *measurement) ended(now time.Duration, jo *job) {
	if me.within(now) && now <= jo.deadline() {
		me.goodTokens += jo.length
	}
	if !me.within(jo.arrived) {
		return
	}
	me.answerTimes = append(me.answerTimes, (now - jo.arrived).Seconds())
	me.stallTimes = append(me.stallTimes, jo.stalled.Seconds())
}

// recordFirstToken records the time to the first token of a job.
func (me *measurement) recordFirstToken(jo *job) {
	if !me.within(jo.arrived) {
		return
	}
	wait := jo.firstToken - jo.arrived
	me.firstToken = append(me.firstToken, wait.Seconds())
	if jo.short {
		me.shortWaits = append(me.shortWaits, float64(wait.Microseconds())/1000)
	}
}

// recordUnanswered records a job that was refused or abandoned.
func (me *measurement) recordUnanswered(jo *job) {
	if !me.within(jo.arrived) {
		return
	}
	me.refused++
	if jo.short {
		me.shortWaits = append(me.shortWaits, float64(shortPatience.Milliseconds()))
	}
}

func (me *measurement) row(op Options) Row {
	seconds := (me.to - me.from).Seconds()
	return Row{
		Policy: op.Policy, Seed: op.Seed, Lengths: op.Lengths, Load: op.Load,
		StallSecondsP99:    quantile(me.stallTimes, 0.99),
		PreemptionsPer1000: 1000 * float64(me.preempted) / float64(max(me.dispatched, 1)),
		FirstTokenP95:      quantile(me.firstToken, 0.95),
		InterTokenMSP95:    float64(me.gaps.ValueAtQuantile(95)) / 1000,
		InterTokenMSP99:    float64(me.gaps.ValueAtQuantile(99)) / 1000,
		AnswerSecondsP99:   quantile(me.answerTimes, 0.99),
		ShortWaitMSP99:     quantile(me.shortWaits, 0.99),
		Goodput:            float64(me.goodTokens) / seconds,
		RefusedShare:       float64(me.refused) / float64(max(me.arrived, 1)),
		ColdOverloadCount:  me.coldOverloads,
		EndpointsLost:      me.enginesLost,
	}
}

// quantile sorts list in place and returns its quantile qu, from 0 to 1. It
// returns 0 for an empty list.
func quantile(list []float64, qu float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(qu*float64(len(list))), len(list)-1)]
}
