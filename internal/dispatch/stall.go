package dispatch

import (
	"context"
	"time"
)

const (
	// stallTimeout is the time without received data after which the engine is
	// probed. A pause alone is no sign of failure, because engines preempt runs
	// for seconds.
	stallTimeout = 800 * time.Millisecond
	// stallProbes is the number of consecutive probes that must fail. One probe
	// may fail because of a single lost packet.
	stallProbes = 2
)

// startStallTimer watches the current answer for a stall. An interrupted path
// delivers no error, only silence, and aborting the answer lets the run
// continue from its standby copy. After a successful probe, the watch resumes
// only when more data arrives. Streams without a standby copy are not watched,
// since they can only wait.
func (se *session) startStallTimer() {
	if se.standby == nil || se.di.Reachable == nil {
		return
	}
	an, en := se.answer, se.endpoint
	se.stallTimer = se.di.Clock.AfterFunc(stallTimeout, func() {
		for range stallProbes {
			ctx, cancel := context.WithTimeout(se.ctx, probeTimeout)
			reachable := se.di.Reachable(ctx, en.Address)
			cancel()
			if reachable || se.ctx.Err() != nil {
				return
			}
		}
		se.di.Log.Info().Str("event", "stream_stalled").Str("request", se.ta.ID).Str("endpoint", en.ID).Msg("dispatch: engine is unreachable; aborting its stream")
		an.Abort()
	})
}

// resetStallTimer postpones the probe after data has been received.
func (se *session) resetStallTimer() {
	if se.stallTimer != nil {
		se.stallTimer.Reset(stallTimeout)
	}
}

// stopStallTimer ends the watch started by startStallTimer.
func (se *session) stopStallTimer() {
	if se.stallTimer != nil {
		se.stallTimer.Stop()
		se.stallTimer = nil
	}
}
