package explain

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxRequests is the number of requests whose events are kept.
	maxRequests = 4096
	// maxEvents is the maximum number of events per request. Further events
	// replace the last one.
	maxEvents = 32
)

// Step is the kind of an event of a request.
type Step string

// The steps of a request.
const (
	// Queued means that no endpoint of the zone had room yet.
	Queued Step = "queued"
	// Waited, Spilled and Retried are defined but not recorded by any component.
	Waited  Step = "waited"
	Spilled Step = "spilled"
	// Granted means that the request got a place at the endpoint. Reason names
	// the source of the place.
	Granted Step = "granted"
	// Refused means that the allocation refused the request.
	Refused Step = "refused"
	Retried Step = "retried"
	// Released means that the place was released. Reason is the result that was
	// reported with the release.
	Released Step = "released"
	// Suspect means that the endpoint crashed while it ran the request.
	Suspect Step = "suspect"
	// Answered means that the caller received the refusal in Reason.
	Answered Step = "answered"
)

// Event is one decision about a request, with its reason.
type Event struct {
	At       time.Time `json:"at"`
	Step     Step      `json:"step"`
	Zone     string    `json:"zone,omitempty"`
	Endpoint string    `json:"endpoint,omitempty"`
	// Instance is the name of another instance that made the decision. No
	// component sets it.
	Instance string `json:"instance,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// WaitedMS is the time that the request waited before it was refused, in
	// milliseconds.
	WaitedMS int64 `json:"waited_ms,omitempty"`
}

// Explanation is the list of recorded events of one request, in order of time.
type Explanation struct {
	Request string  `json:"request"`
	Events  []Event `json:"events"`
}

// Ring is a ring buffer with the events of the most recent requests. Set Clock
// before the first call. It is safe for concurrent use. Add does nothing on a nil
// Ring.
type Ring struct {
	Clock clockwork.Clock

	mu     sync.Mutex
	order  [maxRequests]string
	next   int
	events map[string][]Event
}

// Add records an event of a request and sets its time to now.
func (ri *Ring) Add(id string, ev Event) {
	if ri == nil {
		return
	}
	ev.At = ri.Clock.Now()
	ri.mu.Lock()
	defer ri.mu.Unlock()
	list, found := ri.events[id]
	if !found {
		ri.insert(id)
	}
	if len(list) == maxEvents {
		list[maxEvents-1] = ev
		return
	}
	ri.events[id] = append(list, ev)
}

// insert adds a request to the ring and evicts the oldest one if the ring is full.
func (ri *Ring) insert(id string) {
	if ri.events == nil {
		ri.events = make(map[string][]Event, maxRequests)
	}
	delete(ri.events, ri.order[ri.next])
	ri.order[ri.next] = id
	ri.next = (ri.next + 1) % maxRequests
}

// Explain returns the recorded events of a request and whether the ring has any.
func (ri *Ring) Explain(id string) (Explanation, bool) {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	list, found := ri.events[id]
	return Explanation{Request: id, Events: slices.Clone(list)}, found
}
