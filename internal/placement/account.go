package placement

import "time"

// Outcome says how a request ended at an endpoint.
type Outcome int

// The outcomes.
const (
	// Done means that a whole answer came, or that the caller left.
	Done Outcome = iota
	// Failed means that the endpoint answered that it failed.
	Failed
	// Refused means that the endpoint did not run the request.
	Refused
	// Lost means that no whole answer came.
	Lost
	// Unreachable means that no connection was made.
	Unreachable
)

// account is what one instance knows of its own work at an endpoint.
type account struct {
	// running counts requests that were begun and have not ended.
	running int
	// generations are those of them that an engine makes.
	generations int
	// reading is how many tokens of prompts wait to be read.
	reading int
	// held is how many tokens the running generations hold, or will.
	held int
	// failures is an average that falls by half in failureHalfLife.
	failures   float64
	failuresAt time.Time
	// shunUntil is set while the endpoint can't be reached.
	shunUntil time.Time
	shuns     int
	// arrivals are those of the last second, for endpoints that are cold.
	arrivals []time.Time
}

const (
	failureHalfLife = 2 * time.Second
	firstShun       = 400 * time.Millisecond
	lastShun        = 1500 * time.Millisecond
)

// weight is how much one outcome adds to the average of failures.
func (ou Outcome) weight() float64 {
	switch ou {
	case Failed:
		return 0.25
	case Refused:
		return 0.5
	case Lost, Unreachable:
		return 1
	default:
		return 0
	}
}

func (ac *account) settle(ou Outcome, now time.Time) {
	ac.failures = ac.failing(now) + ou.weight()
	ac.failuresAt = now
	switch ou {
	case Unreachable:
		pause := min(firstShun<<min(ac.shuns, 8), lastShun)
		ac.shuns++
		ac.shunUntil = now.Add(pause)
	case Done, Failed, Refused:
		ac.shuns = 0
	case Lost:
	}
}

// failing returns the average of failures as of now.
func (ac *account) failing(now time.Time) float64 {
	age := now.Sub(ac.failuresAt)
	if ac.failures == 0 || age > 10*failureHalfLife {
		return 0
	}
	return ac.failures * decay(age, failureHalfLife)
}

// arrivedLately counts arrivals in the last second.
func (ac *account) arrivedLately(now time.Time) int {
	first := 0
	for first < len(ac.arrivals) && now.Sub(ac.arrivals[first]) >= time.Second {
		first++
	}
	ac.arrivals = ac.arrivals[first:]
	return len(ac.arrivals)
}
