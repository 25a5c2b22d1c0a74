package dispatch

import (
	"context"
	"errors"
	"io"

	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/shutdown"
	"filbertstall.example/filbertstall/internal/upstream"
)

// errStreamBroken is the read error of an incomplete stream.
var errStreamBroken = errors.New("dispatch: stream interrupted and cannot be resumed")

// errUnfinishedEvent is the cause with which a stream breaks off that its sender ended
// inside an event. The framing of its body may say that it is whole.
var errUnfinishedEvent = errors.New("dispatch: the stream ends inside an event")

// endOfAnswer returns the error with which the read of a stream ended, given the lines that
// were read and are not known to be whole events.
func endOfAnswer(an *upstream.Answer, lines eventLines, err error) error {
	if !errors.Is(err, io.EOF) || !lines.unfinished() {
		return err
	}
	// Its sender may still work on the run, or send the rest behind the answer.
	an.Distrust()
	return errUnfinishedEvent
}

// logDelivered returns the log line of a stream that came whole.
func (di *Dispatcher) logDelivered(ta *task) *zerolog.Event {
	return di.Log.Info().Str("event", "delivered").Str("request", ta.ID).Dur("took", di.Clock.Since(ta.Arrived))
}

// logIncomplete logs and counts the end of a stream that is not whole, with what describe adds
// to the line. It reports whether the stream broke: the instance did not stop, the caller did
// not disconnect, and the deadline has not passed.
func (di *Dispatcher) logIncomplete(ctx context.Context, ta *task, cause error, events int, describe func(*zerolog.Event)) (broken bool) {
	broken = ctx.Err() == nil
	if !broken && shutdown.IsCause(context.Cause(ctx)) {
		di.logCut(ta, events)
		return false
	}
	li := di.Log.Info().Str("request", ta.ID).Func(describe)
	if !broken {
		li.Str("event", "stream_given_up").AnErr("cause", context.Cause(ctx)).Msg("dispatch: caller disconnected or deadline passed; stream ended")
		return false
	}
	di.Meter.countAttempt("stream_broken")
	li.Str("event", "stream_broken").AnErr("cause", cause).Msg("dispatch: stream interrupted and not resumed")
	return true
}
