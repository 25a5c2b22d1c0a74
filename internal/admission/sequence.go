package admission

import (
	"time"

	"filbertstall.example/filbertstall/internal/length"
)

// refreshTokens is the number of tokens that a sequence produces between two
// computations of its forecast.
const refreshTokens = 24

// sequence is one request in flight.
type sequence struct {
	re    Request
	ac    *account
	curve *length.Curve
	// preemptFirst is set for the sequence with preemptFirstPriority.
	preemptFirst bool
	// position is the index of the sequence in the list of its account.
	position int
	// tokens is the length of the answer so far, and base its length at the
	// time of the grant.
	tokens, base int64
	// observed is the number of tokens already reported to the curve.
	observed int64
	// lastProgress is the time at which tokens last increased, zero before
	// that.
	lastProgress time.Time
	// charged is the number of tokens that the team was charged so far.
	charged float64
	// memoryForecast is the part of the account's totalForecast that belongs
	// to this sequence. It was computed when the answer had forecastTokens
	// tokens.
	memoryForecast forecast
	forecastTokens int64
}

// computeForecast recomputes memoryForecast. knownLength is the length of the
// answer, or zero if unknown.
func (se *sequence) computeForecast(knownLength int64) {
	prompt, done := float64(se.re.PromptTokens), float64(se.tokens)
	se.forecastTokens = se.tokens
	if knownLength > 0 {
		se.memoryForecast = forecastKnown(prompt, done, float64(knownLength))
		return
	}
	se.memoryForecast = forecastAnswer(se.curve, prompt, done, float64(se.re.MaxTokens))
}

// used returns the memory that the sequence uses now, in tokens.
func (se *sequence) used() float64 { return float64(se.re.PromptTokens) + float64(se.tokens) }

// setPriority records whether the sequence was granted preemptFirstPriority, so
// that the endpoint has at most one long answer with it.
func (se *sequence) setPriority(priority int) {
	if priority == preemptFirstPriority {
		se.preemptFirst = true
		se.ac.preemptFirst++
	}
}
