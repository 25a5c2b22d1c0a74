package dispatch

import (
	"net/http"
	"time"

	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/shutdown"
)

// stoppingRetryAfter is the shortest Retry-After of requests that a stopping instance
// refuses. The caller comes back on a new connection, which another instance accepts. If
// there is none in the zone, it comes back when this one gets no connections any more.
const stoppingRetryAfter = 50 * time.Millisecond

// judgement is what was known of a task when it was last judged. The zero value means that
// the shutdown had not begun.
type judgement struct {
	begun bool
	// left is the time until the end of the shutdown.
	left time.Duration
	// length is the expected length of the answer. Zero means that it was not known.
	length time.Duration
}

// shutdownRequest describes a task to the schedule of the shutdown.
func (di *Dispatcher) shutdownRequest(ta *task) shutdown.Request {
	return shutdown.Request{Deadline: ta.deadline, Length: di.lengths.Longest(ta.route.Name, di.Clock.Now())}
}

// refuseIfTooLate returns a refusal if the instance shuts down and the answer to a request
// that is sent now would not be whole before the end.
func (di *Dispatcher) refuseIfTooLate(ta *task) *refusal.Error {
	pe, begun := di.Shutdown.Period()
	if !begun {
		return nil
	}
	re, now := di.shutdownRequest(ta), di.Clock.Now()
	ta.judged = judgement{begun: true, left: pe.End.Sub(now), length: re.Length}
	if pe.Takes(re, now) {
		return nil
	}
	return di.stoppingRefusal(ta)
}

// stoppingRefusal returns the refusal of a request that was not sent because the instance
// shuts down.
func (di *Dispatcher) stoppingRefusal(ta *task) *refusal.Error {
	pe, _ := di.Shutdown.Period()
	now := di.Clock.Now()
	left := max(pe.End.Sub(now), 0).Truncate(time.Millisecond)
	er := refusal.New(refusal.Stopping, "this instance stops in "+left.String()+", before the answer could be whole")
	er.Dispatched = ta.ran > 0
	after := spread(stoppingRetryAfter)
	if di.Alone != nil && di.Alone() {
		after += max(pe.Accepting.Sub(now), 0)
	}
	return er.WithRetryAfter(after)
}

// beginAnswer records that the task is sent to an endpoint or another instance now.
func (di *Dispatcher) beginAnswer(ta *task) {
	now := di.Clock.Now()
	ta.answer.End(now, false)
	ta.sentAt, ta.answer = now, di.lengths.Begin(ta.route.Name, now)
}

// endAnswer records the end of the answer to a task, unless it is a stream that goes on.
func (di *Dispatcher) endAnswer(ta *task, rp Reply) {
	if rp.Events != nil {
		return
	}
	ta.answer.End(di.Clock.Now(), rp.Refusal == nil && rp.Status < http.StatusMultipleChoices && !ta.streams())
}

// logCut logs and counts a request that was cut at the end of the shutdown: when it came
// and when it was sent, in relation to the beginning of the shutdown, and what was known
// when it was sent.
func (di *Dispatcher) logCut(ta *task, events int) {
	pe, _ := di.Shutdown.Period()
	di.Meter.countAttempt("cut_by_shutdown")
	di.Log.Warn().Str("event", "shutdown_cut").Str("request", ta.ID).Str("route", ta.route.Name).Str("repeat", ta.route.RetryClass.String()).
		Dur("arrived", ta.Arrived.Sub(pe.Begin)).Dur("sent", ta.sentAt.Sub(pe.Begin)).Bool("stopping_when_sent", ta.judged.begun).
		Dur("left_when_sent", ta.judged.left).Dur("expected_length", ta.judged.length).Time("deadline", ta.deadline).Int("events", events).
		Msg("dispatch: request cut at the end of the shutdown")
}
