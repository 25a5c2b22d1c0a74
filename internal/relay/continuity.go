package relay

import "time"

// continuity is what an instance knows of when the store answered: itself, or another
// instance from which it has that. It is not safe for concurrent use.
//
// A store that does not answer a reader may be down, or only out of the reader's reach.
// In an outage it answers nobody, for as long as entries take to expire.
type continuity struct {
	// answered is the boot time of the last answer, zero if none is known.
	answered time.Duration
	// since is the boot time since which no two answers are as far apart as entries
	// take to expire.
	since time.Duration
	// failed is the boot time at which a call last failed, or that was last learned of
	// another instance's.
	failed time.Duration
}

// noteAnswer takes an answer at a boot time. It returns the time since the answer before
// it, in which calls failed, or zero.
func (co *continuity) noteAnswer(at, lapseTime time.Duration) (silent time.Duration) {
	if at <= co.answered {
		return 0
	}
	before := co.answered
	co.answered = at
	if before == 0 || at-before >= lapseTime {
		co.since = at
	}
	if before == 0 || co.failed <= before {
		return 0
	}
	return at - before
}

// noteFailure takes a failed call.
func (co *continuity) noteFailure(at time.Duration) { co.failed = max(co.failed, at) }

// unbroken returns for how long the store has answered without a pause of lapseTime.
func (co *continuity) unbroken(now, lapseTime time.Duration) time.Duration {
	if co.answered == 0 || now-co.answered >= lapseTime {
		return 0
	}
	return now - co.since
}
