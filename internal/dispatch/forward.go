package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Paths tells whether this instance has links to the endpoints of a service.
// reachability.Tracker implements it.
type Paths interface {
	Lost(service string) bool
	Failed(service, endpoint string)
	Reached(service, endpoint string)
	// Unreachable returns the endpoints that can't be reached. The caller must not change
	// the result.
	Unreachable(service string) map[string]bool
}

// Forwarder lets another instance serve a request whose endpoints this one cannot
// reach. forwarding.Forwarder implements it.
type Forwarder interface {
	// Forward sends a request to an instance that is not in tried and returns its
	// answer, which the caller must close, and its name. An error without a name means
	// that there is no such instance.
	Forward(ctx context.Context, re *Request, service string, tried map[string]bool, remaining time.Duration) (an *upstream.Answer, instance string, err error)
}

const (
	// maxForwards is the number of instances that a request is forwarded to, one after
	// the other as long as none has run it.
	maxForwards = 2
	// minDialTime is the time that must remain until the deadline for a request to be
	// sent to another endpoint after a connection attempt that timed out.
	minDialTime = 500 * time.Millisecond
	// maxRefusalBytes limits the body of another instance's refusal.
	maxRefusalBytes = 16 << 10
)

// mayForward reports whether another instance may be asked to serve the task. A request
// that an endpoint may have run stays here, where its attempts are counted, and a
// forwarded one is not forwarded again.
func (di *Dispatcher) mayForward(ta *task) bool {
	if di.Forwarder == nil || ta.Forwarded || ta.ran > 0 || ta.arrivals > 0 || len(ta.forwards) >= maxForwards {
		return false
	}
	return ta.remaining(di.Clock.Now()) > minAttemptTime && di.refuseIfTooLate(ta) == nil
}

// pathLost reports whether the task should be forwarded before an endpoint is tried.
func (di *Dispatcher) pathLost(ta *task) bool {
	return ta.pathDoubtful || di.Paths != nil && di.Paths.Lost(ta.service.Name)
}

// recordPath updates what is known of the links to a service's endpoints after an
// attempt that failed to connect, and decides whether the request is better forwarded
// than sent to another endpoint: after two attempts that timed out, or one that left
// little time.
func (di *Dispatcher) recordPath(ta *task, en roster.Endpoint, err error) {
	if di.Paths != nil {
		di.Paths.Failed(ta.service.Name, en.ID)
	}
	var ne net.Error
	timedOut := errors.As(err, &ne) && ne.Timeout()
	ta.pathDoubtful = timedOut && (len(ta.tried) > 1 || ta.remaining(di.Clock.Now()) < minDialTime)
}

// forward lets another instance serve the task. It returns false if none took it.
func (di *Dispatcher) forward(ctx context.Context, ta *task) (Reply, bool) {
	for di.mayForward(ta) && ctx.Err() == nil {
		di.beginAnswer(ta)
		an, instance, err := di.Forwarder.Forward(ctx, ta.Request, ta.service.Name, ta.forwards, ta.remaining(di.Clock.Now()))
		if instance == "" {
			break
		}
		ta.markForwarded(instance)
		di.Meter.countAttempt("forwarded")
		di.Log.Info().Str("event", "forwarded").Str("request", ta.ID).Str("to", instance).Dur("left", ta.remaining(di.Clock.Now())).AnErr("cause", err).
			Msg("dispatch: no link to the endpoints; another instance serves the request")
		if rp, done := di.handleForwarded(ctx, ta, an, err); done {
			return rp, true
		}
	}
	ta.pathDoubtful = false
	return Reply{}, false
}

func (ta *task) markForwarded(instance string) {
	if ta.forwards == nil {
		ta.forwards = make(map[string]bool)
	}
	ta.forwards[instance] = true
}

// handleForwarded returns the reply to a forwarded request, or false if the other
// instance did not serve it.
func (di *Dispatcher) handleForwarded(ctx context.Context, ta *task, an *upstream.Answer, err error) (Reply, bool) {
	if err != nil {
		switch upstream.KindOf(err) {
		case upstream.NotSent:
			return Reply{}, false
		case upstream.Canceled:
			return di.refuse(ta.Request, di.endedRefusal(ctx, ta, err)), true
		default:
			return di.refuse(ta.Request, forwardLost(err)), true
		}
	}
	if !di.Codec.Verdict(an).Genuine {
		return di.handleForwardRefused(ta, an)
	}
	if an.Status == http.StatusOK && ta.streams() {
		return Reply{Status: an.Status, Headers: an.Headers, Events: &forwardedStream{di: di, ta: ta, ctx: ctx, answer: an, lines: eventLines{isPlain: !hasEvents(an)}}}, true
	}
	body, err := di.readAll(an)
	an.Close()
	switch {
	case err == nil:
		return Reply{Status: an.Status, Headers: an.Headers, Body: body}, true
	case ctx.Err() != nil:
		return di.refuse(ta.Request, di.endedRefusal(ctx, ta, err)), true
	default:
		return di.refuse(ta.Request, forwardLost(err)), true
	}
}

// forwardLost returns the refusal of a request whose answer from another instance broke
// off.
func forwardLost(err error) *refusal.Error {
	return refusal.Wrap(refusal.EndpointLost, "the answer of another instance did not come whole", err)
}

// handleForwardRefused handles the refusal of another instance. If the request has not
// run and a further instance may take it, it returns false.
func (di *Dispatcher) handleForwardRefused(ta *task, an *upstream.Answer) (Reply, bool) {
	body, err := an.ReadAll(maxRefusalBytes)
	an.Close()
	er, valid := refusal.Parse(body)
	if err != nil || !valid {
		er := refusal.New(refusal.EndpointLost, "another instance gave an answer that is none of an endpoint")
		return di.refuse(ta.Request, er), true
	}
	if seconds, err := strconv.ParseFloat(an.Get("Retry-After"), 64); err == nil && seconds > 0 {
		er = er.WithRetryAfter(time.Duration(seconds * float64(time.Second)))
	}
	if er.Rule().Outcome != refusal.NotRun || isOfEndpoints(er.Reason) {
		return di.refuse(ta.Request, er), true
	}
	return Reply{}, false
}

// isOfEndpoints reports whether a refusal follows from the state of the endpoints, so
// that a further instance would refuse, too.
func isOfEndpoints(re refusal.Reason) bool {
	switch re {
	case refusal.RateLimited, refusal.NotSentSuspect, refusal.DeadlinePassed, refusal.CallerGone, refusal.TooLarge:
		return true
	default:
		return false
	}
}

// forwardedStream is the answer to a forwarded request whose events another instance
// passes on. That one has checked them; a break shows as an error. An instance of an earlier
// version may end a stream inside an event as if it were whole.
type forwardedStream struct {
	di     *Dispatcher
	ta     *task
	ctx    context.Context
	answer *upstream.Answer
	cancel context.CancelFunc
	// lines are what was read of the events.
	lines eventLines
	// whole is set once all events have been read.
	whole bool
}

// Read implements io.Reader.
func (fs *forwardedStream) Read(into []byte) (int, error) {
	count, err := fs.answer.Read(into)
	fs.lines.add(into[:count])
	if err == nil {
		return count, nil
	}
	err = endOfAnswer(fs.answer, fs.lines, err)
	if errors.Is(err, io.EOF) && fs.answer.Framed {
		fs.whole = true
		fs.di.logDelivered(fs.ta).Func(fs.describe).Msg("dispatch: forwarded stream delivered")
		return count, io.EOF
	}
	fs.di.logIncomplete(fs.ctx, fs.ta, err, 0, fs.describe)
	return count, errStreamBroken
}

// describe adds to a log line that another instance served the stream.
func (fs *forwardedStream) describe(li *zerolog.Event) { li.Bool("forwarded", true) }

// Close implements io.Closer. It cancels the request if the stream has not ended.
func (fs *forwardedStream) Close() error {
	fs.ta.answer.End(fs.di.Clock.Now(), fs.whole)
	fs.answer.Close()
	fs.cancel()
	return nil
}

// refuseOrForward lets another instance serve a task for which no endpoint was found, if
// that is because none can be reached.
func (di *Dispatcher) refuseOrForward(ctx context.Context, ta *task, er *refusal.Error) Reply {
	if er.Reason == refusal.NoCapacity || er.Reason == refusal.EndpointRefused {
		if rp, done := di.forward(ctx, ta); done {
			return rp
		}
	}
	er.Dispatched = er.Dispatched || ta.ran > 0
	return di.refuse(ta.Request, er)
}

// streams reports whether the answer to the task is a stream of events.
func (ta *task) streams() bool { return ta.route.RetryClass == routing.Streaming }

// withCancel returns a reply that calls cancel when it is done with the context of its
// request: at once, or when its events are closed.
func (rp Reply) withCancel(cancel context.CancelFunc) Reply {
	if fs, forwarded := rp.Events.(*forwardedStream); forwarded {
		fs.cancel = cancel
		return rp
	}
	cancel()
	return rp
}
