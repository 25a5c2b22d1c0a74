package scenario

import "time"

// Result holds the counts and latencies of one scenario, as callers and endpoints
// observed them.
type Result struct {
	Name string `json:"name"`
	// Streams counts streams that were started, Whole those that completed.
	Streams int `json:"streams"`
	Whole   int `json:"whole"`
	// Broken counts streams that ended early or with an unknown outcome, Refused
	// those that never started.
	Broken  int `json:"broken"`
	Refused int `json:"refused"`
	// TokenFaults counts streams with duplicated or missing tokens or with tokens
	// of another generation.
	TokenFaults int `json:"token_faults"`
	// Bookings counts calls that are not idempotent and carry an idempotency
	// key. Answered, NotRun and Unknown are their outcomes for the caller.
	Bookings int `json:"bookings"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Doubled counts bookings that endpoints executed more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun counts bookings that an endpoint executed although their caller
	// received not_run.
	FalseNotRun int `json:"false_not_run"`
	// LostBookings counts bookings that were answered but never executed.
	LostBookings int `json:"lost_bookings"`
	// Lookups counts idempotent calls, which carry no key.
	Lookups       int `json:"lookups"`
	FailedLookups int `json:"failed_lookups"`
	// LateStarts counts generations and calls that started in a zone later than
	// zoneOutLimit after the operator's request to take it out of service.
	LateStarts int `json:"late_starts"`
	// BadExits counts processes that did not shut down gracefully.
	BadExits int `json:"bad_exits"`
	// FirstTokens is the time to the first token, Gaps the time between tokens
	// and LookupTimes the duration of lookups, in milliseconds.
	FirstTokens Quantiles `json:"first_token_ms"`
	Gaps        Quantiles `json:"inter_token_ms"`
	LookupTimes Quantiles `json:"lookup_ms"`
	// Timeline has one element for each second of the run.
	Timeline []Interval `json:"timeline"`
	// Faults describes violated invariants. The scenario passed if it is empty.
	Faults []string `json:"faults,omitempty"`
	// Notes describes single events, such as failed calls and injected faults,
	// which do not fail the scenario by themselves.
	Notes   []string      `json:"notes,omitempty"`
	Elapsed time.Duration `json:"elapsed_ns"`
}

// Interval holds what callers observed in one second.
type Interval struct {
	Tokens  int `json:"tokens"`
	Lookups int `json:"lookups"`
	Failed  int `json:"failed"`
	// LongestGap and LongestLookup are in milliseconds.
	LongestGap    float64 `json:"longest_gap_ms"`
	LongestLookup float64 `json:"longest_lookup_ms"`
}

// interval returns the element of the timeline for the time du after the start
// of the traffic. It extends the timeline if needed.
func (re *Result) interval(du time.Duration) *Interval {
	second := int(du / time.Second)
	for len(re.Timeline) <= second {
		re.Timeline = append(re.Timeline, Interval{})
	}
	return &re.Timeline[second]
}

// Quantiles summarizes a latency distribution in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Pass reports whether no invariant was violated.
func (re *Result) Pass() bool { return len(re.Faults) == 0 }

// requireZero adds a fault if count is not zero.
func (re *Result) requireZero(what string, count int) {
	if count != 0 {
		re.Faults = append(re.Faults, formatCount(count, what))
	}
}

// checkInvariants adds a fault for each violated invariant that holds for all
// scenarios.
func (re *Result) checkInvariants() {
	re.requireZero("doubled, lost or spliced tokens", re.TokenFaults)
	re.requireZero("cut streams", re.Broken)
	re.requireZero("doubled bookings", re.Doubled)
	re.requireZero("false not_run", re.FalseNotRun)
	re.requireZero("answered bookings that never began", re.LostBookings)
	re.requireZero("late starts", re.LateStarts)
	re.requireZero("processes without an orderly exit", re.BadExits)
}
