// Package budget bounds how often requests are sent to endpoints again. All
// instances share one bound for each service: a share of the requests of a
// sliding window, and some more. Each instance keeps to its part of it without
// asking the others.
//
// # Usage
//
//	bu := &budget.Window{Clock: clock, Span: 10 * time.Second, Ratio: 0.2, Extra: part}
//	bu.Arrived("rental-desk")
//	if bu.Take("rental-desk") { ... send again ... }
package budget

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Window is the budget of one instance. Set the exported fields before use. It
// is safe for concurrent use.
type Window struct {
	Clock clockwork.Clock
	// Span is the length of the window.
	Span time.Duration
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Extra returns how many repeats a window allows beside: the instance's part
	// of what all may make, which changes with their number.
	Extra func() float64

	mu       sync.Mutex
	services map[string]*ledger
}

// ledger has the times of the last requests and repeats of a service.
type ledger struct {
	requests []time.Time
	repeats  []time.Time
}

// Arrived counts a request for a service.
func (wi *Window) Arrived(service string) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	le := wi.ledger(service)
	le.requests = append(le.requests, wi.Clock.Now())
}

// Take counts a repeat if the budget allows it.
func (wi *Window) Take(service string) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	le := wi.ledger(service)
	if float64(len(le.repeats)+1) > wi.Ratio*float64(len(le.requests))+wi.Extra() {
		return false
	}
	le.repeats = append(le.repeats, wi.Clock.Now())
	return true
}

// Force counts a repeat that is made whatever the budget says.
func (wi *Window) Force(service string) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	le := wi.ledger(service)
	le.repeats = append(le.repeats, wi.Clock.Now())
}

func (wi *Window) ledger(service string) *ledger {
	if wi.services == nil {
		wi.services = make(map[string]*ledger)
	}
	le := wi.services[service]
	if le == nil {
		le = &ledger{}
		wi.services[service] = le
	}
	before := wi.Clock.Now().Add(-wi.Span)
	le.requests = since(le.requests, before)
	le.repeats = since(le.repeats, before)
	return le
}

// since drops the times at the front that are not after before.
func since(list []time.Time, before time.Time) []time.Time {
	first := 0
	for first < len(list) && !list[first].After(before) {
		first++
	}
	return list[first:]
}
