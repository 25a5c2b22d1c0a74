package intake

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// closedLogInterval is the shortest time between two log lines about closed connections of
// one listener.
const closedLogInterval = 10 * time.Second

// Closed counts the connections of a listener that were closed before they brought a whole
// request, and logs them together. Set the exported fields before use. It is safe for
// concurrent use.
type Closed struct {
	// Listener is the name of the listener, and Part that of the part that logs.
	Listener, Part string
	Clock          clockwork.Clock
	Log            zerolog.Logger
	Scope          tally.Scope

	mu      sync.Mutex
	counts  map[string]int
	logged  time.Time
	waiting bool
}

// Count counts a connection by its cause. A line is logged at once if there was none for 10 s,
// and else at the end of that time.
func (cl *Closed) Count(cause string) {
	cl.Scope.Tagged(map[string]string{"listener": cl.Listener, "cause": cause}).Counter("connections_closed").Inc(1)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.counts == nil {
		cl.counts = make(map[string]int)
	}
	cl.counts[cause]++
	if cl.waiting {
		return
	}
	cl.waiting = true
	cl.Clock.AfterFunc(max(closedLogInterval-cl.Clock.Since(cl.logged), 0), cl.write)
}

// CountCause counts a connection of a Limiter.
func (cl *Closed) CountCause(ca Cause) { cl.Count(string(ca)) }

func (cl *Closed) write() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	line := cl.Log.Warn().Str("event", "connections_closed").Str("listener", cl.Listener)
	var causes []string
	for cause := range cl.counts {
		causes = append(causes, cause)
	}
	slices.Sort(causes)
	for _, cause := range causes {
		line = line.Int(cause, cl.counts[cause])
	}
	line.Msg(cl.Part + ": closed connections that brought no whole request, or were not accepted")
	cl.counts, cl.logged, cl.waiting = nil, cl.Clock.Now(), false
}
