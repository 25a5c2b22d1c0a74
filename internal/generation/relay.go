package generation

import (
	"errors"
	"io"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
)

// The causes with which session.interrupt ends a response before the generation has
// ended. A passed deadline is another one, in the form of a refusal.
var (
	errCallerGone = errors.New("generation: caller hung up")
	errCallerSlow = errors.New("generation: caller reads too slowly")
	errHandover   = errors.New("generation: instance is shutting down")
)

// heartbeatInterval is the least time between the last bytes sent to a caller and
// a heartbeat comment.
const heartbeatInterval = time.Second

// initialLineBytes is the initial capacity of a relay's line buffer. A typical
// event fits in it.
const initialLineBytes = 512

// relay is the body of a streamed response. The server reads from it, so that
// nothing is read from the engine before the bytes of the previous Read were written
// to the caller's socket. Memory for a slow caller is thereby bounded by buffers of
// fixed size.
type relay struct {
	se *session
	// token is the generation ID that the caller sees. It becomes final with the
	// first token of text. Before that, the generation may restart at another
	// engine, and the abandoned run at the first engine must not be resumed.
	token      string
	tokenFinal bool
	// deadline is when the stream is ended. It is zero unless the request has a
	// Request-Timeout header.
	deadline time.Time
	// unwatch stops the detection of a hang-up.
	unwatch func()

	// line is the buffer for the current event, reused for each.
	line []byte
	// pending is the part of the current event that the server has not read yet.
	pending []byte
	// finished is set once pending holds the last event of the stream.
	finished bool
	// endErr is why the stream ended before the generation, nil if it did not.
	endErr error
	// returnedAt is when the last Read returned, zero before that.
	returnedAt time.Time
	// blocked is the total time for which the server was writing to the caller's
	// socket.
	blocked time.Duration
	ev      endpoint.Event
}

// Read implements io.Reader. It waits for one event and adds those that are
// already buffered.
func (re *relay) Read(buf []byte) (int, error) {
	re.checkSlowCaller()
	re.waitFlushDelay()
	count := 0
	for {
		if len(re.pending) == 0 {
			if re.finished {
				return count, io.EOF
			}
			if count > 0 && !re.se.st.Buffered() {
				break
			}
			re.fill()
			if len(re.pending) == 0 && re.finished && re.endErr != nil {
				return count, re.endErr
			}
		}
		copied := copy(buf[count:], re.pending)
		re.pending = re.pending[copied:]
		count += copied
		if count == len(buf) {
			break
		}
	}
	re.returnedAt = re.se.ha.Clock.Now()
	return count, nil
}

// checkSlowCaller adds the time since the last Read returned to blocked, and
// interrupts the session if the total exceeds SlowCallerLimit. The server has
// spent this time on writing to the caller's socket.
func (re *relay) checkSlowCaller() {
	if re.returnedAt.IsZero() {
		return
	}
	re.blocked += re.se.ha.Clock.Since(re.returnedAt)
	if re.blocked > re.se.ha.SlowCallerLimit && re.se.ha.SlowCallerLimit > 0 {
		re.se.interrupt(errCallerSlow)
	}
}

// waitFlushDelay waits until FlushDelay has passed since the last Read returned,
// unless part of an event is still pending.
func (re *relay) waitFlushDelay() {
	if re.returnedAt.IsZero() || re.se.ha.FlushDelay == 0 || len(re.pending) > 0 {
		return
	}
	if remaining := re.se.ha.FlushDelay - re.se.ha.Clock.Since(re.returnedAt); remaining > 0 {
		re.se.ha.Clock.Sleep(remaining)
	}
}

// fill sets pending to the next event. It leaves pending empty for a heartbeat of
// the engine that follows other bytes within heartbeatInterval.
func (re *relay) fill() {
	if re.deadlinePassed() {
		re.se.interrupt(refusal.New(refusal.DeadlinePassed, "the stated Request-Timeout passed before the answer was whole"))
	}
	err := re.se.next(&re.ev)
	switch {
	case err != nil:
		re.fillFinal(err)
	case re.ev.Waiting && re.se.ha.Clock.Since(re.returnedAt) < heartbeatInterval:
		// Drop the heartbeat and return, so that tokens already read in this
		// call are sent without waiting for the next event.
	case re.ev.Waiting:
		re.pending = waitingEvent
	case re.ev.Done:
		re.pending, re.finished = doneEvent, true
	default:
		re.finalizeToken()
		re.line = appendEvent(re.line[:0], re.token, &re.ev)
		re.pending = re.line
	}
}

// finalizeToken binds the token to the engine that currently runs the generation.
// Only the first call has an effect, which is that for the first token of text or
// at the end of the response. Without a grant it does nothing.
func (re *relay) finalizeToken() {
	if re.tokenFinal || re.se.gr == nil {
		return
	}
	if text, err := re.se.ha.Tokens.Sign(re.se.newToken()); err == nil {
		re.token, re.tokenFinal = text, true
	}
}

func (re *relay) deadlinePassed() bool {
	return !re.deadline.IsZero() && re.se.ha.Clock.Now().After(re.deadline)
}

// fillFinal sets pending to the last event of a stream that ended with err. There
// is none if the caller hung up.
func (re *relay) fillFinal(err error) {
	re.finished, re.endErr, re.pending = true, err, nil
	switch {
	case errors.Is(err, errCallerGone):
	case isHandover(err), errors.Is(err, errCallerSlow):
		re.finalizeToken()
		re.pending = appendHandover(re.line[:0], re.token, re.se.offset)
	default:
		re.pending = appendProblem(re.line[:0], re.se.refusal(err).WithDispatched())
	}
}

// Close implements io.Closer. The server calls it once, after the last byte or
// when a write to the caller's socket fails.
func (re *relay) Close() error {
	re.unwatch()
	re.se.ha.untrackStream(re)
	err := re.endErr
	if !re.finished || len(re.pending) > 0 {
		err = errCallerGone
	}
	re.se.finish(err)
	re.se.releaseBody()
	return nil
}

// isHandover reports whether err means that the instance is shutting down. This is
// errHandover, or a refusal with reason Stopping if the stream opened at the moment
// of the shutdown, because the wait for a place reports it that way.
func isHandover(err error) bool {
	var er *refusal.Error
	return errors.Is(err, errHandover) || (errors.As(err, &er) && er.Reason == refusal.Stopping)
}

// finish ends the session after the response ended with err, nil if it is
// complete. If the caller hung up or reads too slowly, the generation is
// canceled after ResumeGrace. After a hand-over it keeps running at its
// engine, and after any other failure it is canceled at once.
func (se *session) finish(err error) {
	se.disconnect()
	defer se.cancel(errCallerGone)
	se.ha.countEnd(streamEndOf(err))
	switch {
	case err == nil:
		se.release(admission.Completed)
	case errors.Is(err, errCallerGone), errors.Is(err, errCallerSlow):
		se.cancelAfterGrace()
	case isHandover(err):
		se.release(admission.Canceled)
	case se.gr != nil:
		se.abandon(se.failureResult(err))
	}
}

// failureResult returns the result of the grant for a failed response. A refusal
// says nothing about the engine and counts as canceled.
func (se *session) failureResult(err error) admission.Result {
	var er *refusal.Error
	if errors.As(err, &er) {
		return admission.Canceled
	}
	return resultOf(err)
}

// cancelAfterGrace cancels the generation after ResumeGrace, which leaves the
// caller time to resume it at another instance. The engine keeps the generation
// if somebody reads it by then.
func (se *session) cancelAfterGrace() {
	if se.gr == nil {
		return
	}
	se.ha.Clock.AfterFunc(se.ha.ResumeGrace, func() { se.abandon(admission.Canceled) })
}
