package shutdown

import (
	"sync"
	"time"
)

// spanAnswers is the number of answers of a route after which the longest of the span
// before them is forgotten. Fewer answers than that tell nothing of the next one.
const spanAnswers = 32

// Lengths remembers for each route the longest of its last answers, 32 to 64 of them. The
// zero value is ready to use. It is safe for concurrent use.
type Lengths struct {
	mu     sync.Mutex
	routes map[string]span
}

// span is a number of answers in a row.
type span struct {
	count int
	// longest is that of this span, before that of the whole span before it.
	longest, before time.Duration
}

// Record records how long an answer of a route took, from when the request was sent to an
// endpoint until the caller had all of it.
func (le *Lengths) Record(route string, took time.Duration) {
	le.mu.Lock()
	defer le.mu.Unlock()
	if le.routes == nil {
		le.routes = make(map[string]span)
	}
	sp := le.routes[route]
	sp.count++
	sp.longest = max(sp.longest, took)
	if sp.count == spanAnswers {
		sp = span{before: sp.longest}
	}
	le.routes[route] = sp
}

// Longest returns the longest of the last answers of a route, or zero if there have been
// too few.
func (le *Lengths) Longest(route string) time.Duration {
	le.mu.Lock()
	defer le.mu.Unlock()
	sp := le.routes[route]
	if sp.before == 0 {
		return 0
	}
	return max(sp.longest, sp.before)
}
