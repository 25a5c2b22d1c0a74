package generation

import (
	"errors"
	"sync"

	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/metric"
)

// streamEnd classifies how a response to a caller ended. It is the reason label
// of the stream_ends metric.
type streamEnd string

const (
	endCompleted  streamEnd = "whole"
	endCallerGone streamEnd = "caller_gone"
	endCallerSlow streamEnd = "caller_slow"
	// endHandover means that the instance shut down before the stream's end.
	endHandover streamEnd = "handover"
	endFailed   streamEnd = "broken"
)

var ends = []streamEnd{endCompleted, endCallerGone, endCallerSlow, endHandover, endFailed}

func streamEndOf(err error) streamEnd {
	switch {
	case err == nil:
		return endCompleted
	case errors.Is(err, errCallerGone):
		return endCallerGone
	case errors.Is(err, errCallerSlow):
		return endCallerSlow
	case isHandover(err):
		return endHandover
	default:
		return endFailed
	}
}

// streams tracks the open responses, streamed or not, and holds their metrics.
type streams struct {
	once sync.Once
	mu   sync.Mutex
	open map[*relay]struct{}
	// handingOver is set by HandOver. Streams that open after that are handed
	// over at once.
	handingOver bool

	retries map[step]tally.Counter
	ends    map[streamEnd]tally.Counter
	gauge   tally.Gauge
}

// initStreams creates the set of open responses and the metrics on first use.
func (ha *Handler) initStreams() {
	ha.streams.once.Do(func() {
		scope := ha.Scope
		if scope == nil {
			scope = tally.NoopScope
		}
		ha.streams.open = make(map[*relay]struct{})
		ha.streams.retries = metric.Reasons(scope, "stream_retries", steps)
		ha.streams.ends = metric.Reasons(scope, "stream_ends", ends)
		ha.streams.gauge = scope.Gauge("streams_open")
	})
}

func (ha *Handler) countRetry(action step) { ha.streams.retries[action].Inc(1) }

func (ha *Handler) countEnd(end streamEnd) { ha.streams.ends[end].Inc(1) }

func (ha *Handler) trackStream(re *relay) {
	ha.streams.mu.Lock()
	ha.streams.open[re] = struct{}{}
	ha.streams.gauge.Update(float64(len(ha.streams.open)))
	handingOver := ha.streams.handingOver
	ha.streams.mu.Unlock()
	if handingOver {
		re.se.interrupt(errHandover)
	}
}

func (ha *Handler) untrackStream(re *relay) {
	ha.streams.mu.Lock()
	defer ha.streams.mu.Unlock()
	delete(ha.streams.open, re)
	ha.streams.gauge.Update(float64(len(ha.streams.open)))
}

// OpenStreams returns the number of responses in progress, streamed or not.
func (ha *Handler) OpenStreams() int {
	ha.initStreams()
	ha.streams.mu.Lock()
	defer ha.streams.mu.Unlock()
	return len(ha.streams.open)
}

// HandOver ends all open responses and returns their number. A stream ends with an
// event that tells the caller how to resume, and a non-streaming response with a
// refusal that holds the path at which to resume. The generations keep running at
// their engines. Responses that open later are ended in the same way.
func (ha *Handler) HandOver() int {
	ha.initStreams()
	ha.streams.mu.Lock()
	ha.streams.handingOver = true
	list := make([]*relay, 0, len(ha.streams.open))
	for re := range ha.streams.open {
		list = append(list, re)
	}
	ha.streams.mu.Unlock()
	for _, re := range list {
		re.se.interrupt(errHandover)
	}
	return len(list)
}
