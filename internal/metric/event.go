package metric

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Events counts the events of a component by reason. It creates its counters at the
// first event, so that a component works without a scope. The zero value is ready
// to use. It is safe for concurrent use.
type Events[R ~string] struct {
	once     sync.Once
	counters map[R]tally.Counter
}

// Count adds one event with the reason re to the counter name of scope. The first
// call fixes scope, name and reasons, and later calls ignore them. re must be one
// of reasons. With a nil scope, events are not counted.
func (ev *Events[R]) Count(scope tally.Scope, name string, reasons []R, re R) {
	ev.once.Do(func() {
		if scope == nil {
			scope = tally.NoopScope
		}
		ev.counters = Reasons(scope, name, reasons)
	})
	ev.counters[re].Inc(1)
}
