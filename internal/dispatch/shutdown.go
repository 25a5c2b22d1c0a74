package dispatch

import (
	"net/http"
	"time"

	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/shutdown"
)

// stoppingRetryAfter is the shortest Retry-After of requests that a stopping instance
// refuses. The caller comes back on a new connection, which another instance accepts.
const stoppingRetryAfter = 50 * time.Millisecond

// judgement is what was known of a task when it was last judged.
type judgement struct {
	shutdown.Judgement
	// length is the expected length of the answer. Zero means that it was not known.
	length time.Duration
}

// shutdownRequest describes a task to the schedule of the shutdown.
func (di *Dispatcher) shutdownRequest(ta *task) shutdown.Request {
	return shutdown.Request{Deadline: ta.deadline, Length: di.lengths.Longest(ta.route.Name, di.Clock.Now())}
}

// judgeTime returns a refusal if the instance shuts down and the answer to a request that
// is sent now would not be whole before the end.
func (di *Dispatcher) judgeTime(ta *task) *refusal.Error {
	re := di.shutdownRequest(ta)
	ta.judged = judgement{Judgement: di.Shutdown.Judge(re), length: re.Length}
	if ta.judged.Takes {
		return nil
	}
	return di.stoppingRefusal(ta)
}

// stoppingRefusal returns the refusal of a request that was not sent because the instance
// shuts down.
func (di *Dispatcher) stoppingRefusal(ta *task) *refusal.Error {
	detail := "this instance stops in " + ta.judged.Left.Truncate(time.Millisecond).String() + ", before the answer could be whole"
	er := refusal.New(refusal.Stopping, detail).WithRetryAfter(spread(stoppingRetryAfter))
	er.Dispatched = ta.ran > 0
	return er
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
	di.Meter.countAttempt("cut_by_shutdown")
	di.Log.Warn().Str("event", "shutdown_cut").Str("request", ta.ID).Str("route", ta.route.Name).Str("repeat", ta.route.RetryClass.String()).
		Dur("arrived", di.Shutdown.Since(ta.Arrived)).Dur("sent", di.Shutdown.Since(ta.sentAt)).Bool("stopping_when_sent", ta.judged.Begun).
		Dur("left_when_sent", ta.judged.Left).Dur("expected_length", ta.judged.length).Time("deadline", ta.deadline).Int("events", events).
		Msg("dispatch: request cut at the end of the shutdown")
}
