package entry

import (
	"context"
	"errors"
	"time"

	"filbertstall.example/filbertstall/internal/refusal"
)

const (
	// unreadyDelay is how long the listener stays open after the graceful
	// shutdown began, so that load balancers notice that the instance is not
	// ready.
	unreadyDelay = 500 * time.Millisecond
	// drainPollInterval is the interval at which OpenRequests is checked during a
	// drain.
	drainPollInterval = 20 * time.Millisecond
	// handOverTimeout is the time for writing the last events of streams that are
	// handed over, and the refusals of other requests.
	handOverTimeout = 3 * time.Second
)

// Stop shuts the server down gracefully. New requests are refused immediately,
// and requests in flight may finish until ctx ends. Then the contexts of the
// remaining requests are canceled, so that those that wait for a place at an
// endpoint are refused, and HandOver ends the open responses of generations. Stop
// returns the number that HandOver returned, and an error if requests were still
// open when the listener was closed or if closing the connections failed.
func (se *Server) Stop(ctx context.Context) (handedOver int, err error) {
	se.stopping.Store(true)
	listenerDelay := se.Clock.After(unreadyDelay)
	if !se.awaitDrained(ctx) {
		se.cancelWaiting(refusal.New(refusal.Stopping, "this instance stopped while the request waited; send it again"))
		if se.HandOver != nil {
			handedOver = se.HandOver()
		}
	}
	<-listenerDelay
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	if !se.awaitDrained(last) {
		err = errors.New("entry: requests were still open when the listener was closed")
	}
	return handedOver, errors.Join(err, se.server.ShutdownWithContext(last))
}

// awaitDrained waits until OpenRequests returns zero. It returns false if ctx
// ends first.
func (se *Server) awaitDrained(ctx context.Context) bool {
	for se.OpenRequests() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-se.Clock.After(drainPollInterval):
		}
	}
	return true
}

// OpenRequests returns the number of requests that a handler is serving, plus
// OpenStreams. A generation that is not streamed is in both numbers, because its
// handler runs until its response ends.
func (se *Server) OpenRequests() int {
	count := int(se.activeHandlers.Load())
	if se.OpenStreams != nil {
		count += se.OpenStreams()
	}
	return count
}
