package allocation

import (
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/refusal"
)

// enqueueDeferred queues in the decision core those deferred requests that may
// be queued now. At most one suspect is queued at a time. It does not go to an
// endpoint where another suspect runs, and it waits while a suspect with the
// same fingerprint runs.
func (ho *holder) enqueueDeferred(now time.Time) {
	remaining := ho.deferred[:0]
	queued := ho.suspectQueued()
	for _, rq := range ho.deferred {
		switch {
		case ho.requests[rq.key] != rq:
		case !rq.re.Deadline.IsZero() && !now.Before(rq.re.Deadline):
			ho.refuse(rq, refusal.New(refusal.DeadlinePassed, "no endpoint was free before the deadline"))
		case rq.suspect && queued, !ho.enqueue(now, rq):
			remaining = append(remaining, rq)
		case rq.suspect:
			queued = true
		}
	}
	clear(ho.deferred[len(remaining):])
	ho.deferred = remaining
}

// suspectQueued reports whether a suspect is already queued in the decision
// core.
func (ho *holder) suspectQueued() bool {
	for _, rq := range ho.requests {
		if rq.suspect && rq.submitted && !rq.granted() {
			return true
		}
	}
	return false
}

// enqueue queues a request in the decision core. It returns false if the
// request has to stay deferred: because each endpoint that it may use is
// temporarily closed or, for a suspect, runs another suspect, or because a
// suspect with the same fingerprint runs anywhere.
func (ho *holder) enqueue(now time.Time, rq *request) bool {
	exclude, separate := rq.re.Exclude, true
	if rq.suspect {
		exclude, separate = ho.separateSuspect(rq)
	}
	if !separate || (!ho.anyUsable(ho.open, exclude) && ho.anyUsable(ho.eligible, rq.re.Exclude)) {
		return false
	}
	rq.re.Exclude, rq.submitted = exclude, true
	if er := ho.core.Submit(now, rq.re); er != nil {
		ho.refuse(rq, er)
	}
	return true
}

// separateSuspect returns the endpoints that a suspect must not use: those
// that the request excludes and those where other suspects run. It returns
// false while a suspect with the same fingerprint runs.
func (ho *holder) separateSuspect(rq *request) ([]string, bool) {
	exclude := slices.Clone(rq.re.Exclude)
	for _, it := range ho.requests {
		if !it.suspect || !it.granted() {
			continue
		}
		if it.re.Fingerprint == rq.re.Fingerprint {
			return nil, false
		}
		exclude = append(exclude, it.endpoint)
	}
	return exclude, true
}

// anyUsable reports whether set contains an endpoint that is not excluded.
func (ho *holder) anyUsable(set map[string]bool, exclude []string) bool {
	for name := range set {
		if !slices.Contains(exclude, name) {
			return true
		}
	}
	return false
}
