package call

import (
	"context"
	"errors"

	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/shutdown"
)

// shutdownRequest describes the call to the schedule of the shutdown. How long calls take
// is not known here, so that only their deadline counts.
func (oc *outgoingCall) shutdownRequest() shutdown.Request {
	return shutdown.Request{Deadline: oc.ex.Deadline}
}

func stoppingRefusal() *refusal.Error {
	return refusal.New(refusal.Stopping, "this instance stops before the call could end; send it again")
}

// callUntilCut calls an endpoint. If the instance ends its requests meanwhile because it
// stops, it returns that refusal at once, and the call goes on until the process exits.
func (ha *Handler) callUntilCut(ctx context.Context, url string, re endpoint.Request) (endpoint.Response, error) {
	type result struct {
		answer endpoint.Response
		err    error
	}
	results := make(chan result, 1)
	go func() {
		an, err := ha.Sender.Call(url, re)
		results <- result{an, err}
	}()
	select {
	case re := <-results:
		return re.answer, re.err
	case <-ctx.Done():
	}
	if er := stopped(context.Cause(ctx)); er != nil {
		return endpoint.Response{}, er
	}
	// The caller has left, but the outcome of the call may have to be recorded.
	done := <-results
	return done.answer, done.err
}

// stopped returns the refusal that an error is or wraps if its reason is a stop of the
// instance, and nil otherwise.
func stopped(err error) *refusal.Error {
	var er *refusal.Error
	if errors.As(err, &er) && er.Reason == refusal.Stopping {
		return er
	}
	return nil
}
