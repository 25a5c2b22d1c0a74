package shutdown

import (
	"container/list"
	"sync"
	"time"
)

const (
	// spanAnswers is the number of answers of a route after which the longest of the span
	// before them is forgotten. Fewer answers than that tell nothing of the next one.
	spanAnswers = 32
	// maxRoutes is the number of routes beyond which all are forgotten.
	maxRoutes = 10_000
)

// Lengths remembers for each route the longest of its last answers, 32 to 64 of them, and
// which are in progress. The zero value is ready to use. It is safe for concurrent use.
type Lengths struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route has the answers of a route.
type route struct {
	// count is the number of answers in this span.
	count int
	// longest is that of this span, before that of the whole span before it.
	longest, before time.Duration
	// inProgress has the times at which the requests in progress were sent, the earliest
	// first.
	inProgress list.List
}

// Answer is an answer in progress.
type Answer struct {
	lengths *Lengths
	route   *route
	element *list.Element
}

// Begin records that a request of a route is sent to an endpoint.
func (le *Lengths) Begin(name string, at time.Time) *Answer {
	le.mu.Lock()
	defer le.mu.Unlock()
	if le.routes == nil || len(le.routes) > maxRoutes {
		le.routes = make(map[string]*route)
	}
	ro := le.routes[name]
	if ro == nil {
		ro = &route{}
		le.routes[name] = ro
	}
	return &Answer{lengths: le, route: ro, element: ro.inProgress.PushBack(at)}
}

// End records the end of an answer. whole is set if the endpoint has answered the request
// with success and, if it is a stream, the caller has all of it. An answer that is not
// whole tells only that it would have taken longer. Further calls have no effect.
func (an *Answer) End(at time.Time, whole bool) {
	if an == nil {
		return
	}
	an.lengths.mu.Lock()
	defer an.lengths.mu.Unlock()
	if an.element == nil {
		return
	}
	ro := an.route
	sent, _ := ro.inProgress.Remove(an.element).(time.Time)
	an.element = nil
	ro.longest = max(ro.longest, at.Sub(sent))
	if !whole {
		return
	}
	ro.count++
	if ro.count == spanAnswers {
		ro.count, ro.longest, ro.before = 0, 0, ro.longest
	}
}

// Longest returns the longest of the last answers of a route, whole or in progress, or
// zero if there have been too few.
func (le *Lengths) Longest(name string, now time.Time) time.Duration {
	le.mu.Lock()
	defer le.mu.Unlock()
	ro := le.routes[name]
	if ro == nil || ro.before == 0 {
		return 0
	}
	longest := max(ro.longest, ro.before)
	if first := ro.inProgress.Front(); first != nil {
		sent, _ := first.Value.(time.Time)
		longest = max(longest, now.Sub(sent))
	}
	return longest
}
