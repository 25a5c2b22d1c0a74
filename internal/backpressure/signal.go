package backpressure

import (
	"math"
	"slices"
	"time"
)

// Signal is what one answer of an endpoint says about further requests. The zero
// Signal means that the endpoint takes them without reservation.
type Signal struct {
	// Leaving means that the endpoint is shutting down.
	Leaving bool
	// Limit is the endpoint's rate limit for all instances together.
	Limit Limit
	// Brittle means that the endpoint falls over when it has to turn many requests away
	// for want of room.
	Brittle bool
	// RetryAfter is the time for which the endpoint wants no requests from this
	// instance. Zero means that it did not ask for a pause.
	RetryAfter time.Duration
	// Partial means that the answer may leave out a limit, or that the endpoint is
	// brittle, which still holds, as those of the control API may.
	Partial bool
	// Malformed lists the parts of the signal that could not be decoded. They
	// change nothing of what is known.
	Malformed []Part
}

// tellsLimit reports whether the signal says which limit is in force, or that there
// is none.
func (sg Signal) tellsLimit() bool {
	return sg.Limit.Named || !sg.Partial && !slices.Contains(sg.Malformed, PartLimit)
}

// tellsBrittle reports whether the signal says that the endpoint is brittle, or that it
// is not.
func (sg Signal) tellsBrittle() bool {
	return sg.Brittle || !sg.Partial && !slices.Contains(sg.Malformed, PartBrittle)
}

// Part is a part of a Signal.
type Part string

// The parts of a Signal that have values.
const (
	PartLimit      Part = "limit"
	PartBrittle    Part = "brittle"
	PartRetryAfter Part = "retry_after"
)

const (
	// maxRate is the highest rate limit that is taken as meant, in requests per
	// second.
	maxRate = 1e6
	// maxRetryAfter is the longest pause that is taken as meant.
	maxRetryAfter = time.Hour
)

// Limit is a rate limit. The zero Limit means that there is none.
type Limit struct {
	// Rate is the number of requests per second.
	Rate float64
	// Named is set if there is a limit.
	Named bool
	// Paced means that no requests may follow one another at once, not even after a
	// time without any.
	Paced bool
}

// NewLimit returns the limit of an endpoint that takes rate requests per second. It
// returns false if no endpoint can mean that rate.
func NewLimit(rate float64) (Limit, bool) {
	if math.IsNaN(rate) || rate < 0 || rate > maxRate {
		return Limit{}, false
	}
	return Limit{Rate: rate, Named: true}, true
}

// NewRetryAfter returns a pause of the given number of seconds. It returns false if
// no endpoint can mean that pause.
func NewRetryAfter(seconds float64) (time.Duration, bool) {
	if math.IsNaN(seconds) || seconds < 0 || seconds > maxRetryAfter.Seconds() {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}
