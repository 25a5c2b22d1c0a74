// Package budget limits how many retries are sent to endpoints. Each service
// has one retry budget that all instances share: a ratio of its requests in a
// sliding window, plus a constant. Each instance enforces its own part of the
// budget without coordination.
//
// # Usage
//
//	bu := &budget.Window{Clock: clock, Span: 10 * time.Second, Ratio: 0.2, Extra: part}
//	bu.Arrived("rental-desk")
//	if bu.Take("rental-desk") { ... retry ... }
package budget

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Window enforces the part of one instance in the retry budgets of all
// services. Set the exported fields before use. It is safe for concurrent use.
type Window struct {
	Clock clockwork.Clock
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the number of retries that each request in the window allows.
	Ratio float64
	// Extra returns the number of retries that a window allows independently of
	// its requests. It is the instance's part of a constant for all instances, so
	// it changes with their number.
	Extra func() float64

	mu        sync.Mutex
	histories map[string]*history
}

// history has the times of the requests and retries of a service within the
// window, oldest first.
type history struct {
	requests []time.Time
	retries  []time.Time
}

// Arrived counts a request for a service.
func (wi *Window) Arrived(service string) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	hi := wi.history(service)
	hi.requests = append(hi.requests, wi.Clock.Now())
}

// Take counts a retry and returns true if the budget allows one.
func (wi *Window) Take(service string) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	hi := wi.history(service)
	if float64(len(hi.retries)+1) > wi.Ratio*float64(len(hi.requests))+wi.Extra() {
		return false
	}
	hi.retries = append(hi.retries, wi.Clock.Now())
	return true
}

// Force counts a retry that is made even if the budget is exhausted.
func (wi *Window) Force(service string) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	hi := wi.history(service)
	hi.retries = append(hi.retries, wi.Clock.Now())
}

// history returns the history of a service after removing the times that are
// older than the window. The caller must hold mu.
func (wi *Window) history(service string) *history {
	if wi.histories == nil {
		wi.histories = make(map[string]*history)
	}
	hi := wi.histories[service]
	if hi == nil {
		hi = &history{}
		wi.histories[service] = hi
	}
	cutoff := wi.Clock.Now().Add(-wi.Span)
	hi.requests = dropUntil(hi.requests, cutoff)
	hi.retries = dropUntil(hi.retries, cutoff)
	return hi
}

// dropUntil removes the leading times up to and including cutoff.
func dropUntil(list []time.Time, cutoff time.Time) []time.Time {
	first := 0
	for first < len(list) && !list[first].After(cutoff) {
		first++
	}
	return list[first:]
}
