package dispatch

import (
	"context"
	"time"
)

const (
	// stallTime is the pause between events after which the engine is looked at.
	// A pause alone proves nothing: engines preempt runs for seconds.
	stallTime = 800 * time.Millisecond
	// stallLooks is how many looks in a row must fail: one packet may be lost.
	stallLooks = 2
)

// watch looks after the stream that is read now: a path that is cut goes silent
// without a word, and the run can go on from its standby copy. Without a copy
// there is nothing better than to wait.
func (se *session) watch() {
	if se.standby == nil || se.di.Reachable == nil {
		return
	}
	an, en := se.answer, se.endpoint
	se.stall = se.di.Clock.AfterFunc(stallTime, func() {
		for range stallLooks {
			ctx, cancel := context.WithTimeout(se.ctx, lookTime)
			reachable := se.di.Reachable(ctx, en.Address)
			cancel()
			if reachable || se.ctx.Err() != nil {
				return
			}
		}
		se.di.Log.Info().Str("event", "stream_stalled").Str("request", se.ta.ID).Str("endpoint", en.ID).Msg("dispatch: the engine can't be reached, its stream is let go")
		an.Abort()
	})
}

// progressed puts off the look at the engine.
func (se *session) progressed() {
	if se.stall != nil {
		se.stall.Reset(stallTime)
	}
}

// unwatch ends the watch over the stream that was read.
func (se *session) unwatch() {
	if se.stall != nil {
		se.stall.Stop()
		se.stall = nil
	}
}
