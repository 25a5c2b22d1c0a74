package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// stallTimeout is the time without received data after which the engine is
	// examined, and the time between two examinations. A pause alone is no sign of
	// failure, because engines preempt runs for seconds.
	stallTimeout = 800 * time.Millisecond
	// stallProbes is the number of consecutive examinations in which a probe must fail.
	// One may fail because of a single lost packet, and a sound engine may be silent for
	// longer than a second.
	stallProbes = 2
	// deliveryTime is the time in which an event that an engine has made arrives.
	deliveryTime = 150 * time.Millisecond
	// maxForcedMoves limits how often one stream is moved off an engine that goes on
	// with the run.
	maxForcedMoves = 3
)

// stallWatch watches an answer for a stall. A stream stalls in two ways, neither
// of which gives an error:
//
//   - The path to the engine is interrupted. Aborting the answer lets the run
//     continue from its standby copy.
//   - The connection went silent, while new ones work and the engine goes on with
//     the run. Its reports tell: between two of them the run made progress, and no
//     data arrived. The run is moved, which stops it at the engine first.
type stallWatch struct {
	di       *Dispatcher
	ctx      context.Context
	abort    func()
	endpoint roster.Endpoint
	// run is nil if the run cannot be moved.
	run *migration.Run
	// hasStandby is set if the run has a standby copy.
	hasStandby bool

	mu      sync.Mutex
	timer   clockwork.Timer
	stopped bool
	// waiting is set while the session waits for data. A session whose caller
	// reads slowly does not.
	waiting bool
	// arrivals is the number of times that complete events arrived.
	arrivals int
	// made is the number of events that the engine reported at the last
	// examination since data arrived, or noReport.
	made        int
	forcedMoves int
	// failedProbes is the number of failed probes since data arrived or one succeeded.
	// From stallProbes on, the engine counts as lost.
	failedProbes int
}

// noReport stands for an engine that has not reported on the run yet.
const noReport = -1

// startStallWatch watches an answer of an endpoint, which abort ends. Streams that can
// neither be moved nor continue from a standby copy are not watched, since they can only wait.
func (se *session) startStallWatch(en roster.Endpoint, abort func()) {
	if se.di.Reachable == nil || se.standby == nil && se.run == nil {
		return
	}
	sw := &stallWatch{
		di: se.di, ctx: se.ctx, abort: abort, endpoint: en, run: se.run, hasStandby: se.standby != nil, made: noReport,
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.timer = se.di.Clock.AfterFunc(stallTimeout, sw.examine)
	se.stall = sw
}

// stopStallWatch ends the watch started by startStallWatch.
func (se *session) stopStallWatch() {
	if se.stall != nil {
		se.stall.stop()
		se.stall = nil
	}
}

// awaitData begins a wait for the next event. It has no effect on a nil watch.
func (sw *stallWatch) awaitData() {
	if sw == nil {
		return
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	// A read that got only a part of an event does not begin a new wait.
	if !sw.waiting {
		sw.waiting = true
		sw.timer.Reset(stallTimeout)
	}
}

// eventArrived ends the wait. Parts of an event do not end it: an endpoint that sends
// a byte now and then is as stalled as one that sends none. It has no effect on a nil watch.
func (sw *stallWatch) eventArrived() {
	if sw == nil {
		return
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.waiting, sw.made, sw.failedProbes = false, noReport, 0
	sw.arrivals++
}

// state returns whether the session waits for data, and how often data arrived.
func (sw *stallWatch) state() (waiting bool, arrivals int) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.waiting, sw.arrivals
}

// stop ends the watch, and has an examination that is under way find no stall.
func (sw *stallWatch) stop() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.stopped, sw.waiting = true, false
	sw.arrivals++
	sw.timer.Stop()
}

// examine aborts the answer if the run can continue elsewhere. Otherwise it
// examines the engine again later, because a path can be cut and a connection go
// silent in the middle of a pause, too.
func (sw *stallWatch) examine() {
	waiting, _ := sw.state()
	stalled := waiting && sw.isStalled()
	sw.mu.Lock()
	defer sw.mu.Unlock()
	switch {
	case sw.stopped || sw.ctx.Err() != nil:
	case stalled:
		sw.abort()
	default:
		sw.timer.Reset(stallTimeout)
	}
}

func (sw *stallWatch) isStalled() bool {
	switch {
	case sw.ctx.Err() != nil:
		return false
	case !sw.reachable():
		if !sw.probeFailed() {
			return false
		}
		if sw.hasStandby {
			sw.di.Log.Info().Str("event", "stream_stalled").Str("endpoint", sw.endpoint.ID).Msg("dispatch: engine is unreachable; aborting its stream")
		}
		return sw.hasStandby
	case sw.run != nil && sw.madeProgress():
		return sw.moveRun()
	default:
		return false
	}
}

// reachable probes the engine with a new connection.
func (sw *stallWatch) reachable() bool {
	ctx, cancel := context.WithTimeout(sw.ctx, probeTimeout)
	defer cancel()
	reachable := sw.di.Reachable(ctx, sw.endpoint.Address) || sw.ctx.Err() != nil
	if reachable {
		sw.mu.Lock()
		sw.failedProbes = 0
		sw.mu.Unlock()
	}
	return reachable
}

// probeFailed counts a failed probe and reports whether the engine counts as lost.
func (sw *stallWatch) probeFailed() bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if !sw.waiting {
		return false
	}
	sw.failedProbes++
	return sw.failedProbes >= stallProbes
}

// foundUnreachable reports whether the engine counts as lost. A nil watch knows nothing.
func (sw *stallWatch) foundUnreachable() bool {
	if sw == nil {
		return false
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.failedProbes >= stallProbes
}

// madeProgress reports whether the engine has made events of the run since the
// last examination, while no data arrived.
func (sw *stallWatch) madeProgress() bool {
	if sw.di.Progress == nil {
		return false
	}
	_, arrivals := sw.state()
	ctx, cancel := context.WithTimeout(sw.ctx, probeTimeout)
	defer cancel()
	made, err := sw.di.Progress(ctx, sw.endpoint, sw.run.ID)
	if err != nil || !sw.recordProgress(arrivals, made) {
		return false
	}
	// An event may be on its way.
	pause.For(sw.ctx, sw.di.Clock, deliveryTime)
	_, now := sw.state()
	return now == arrivals
}

// recordProgress records a report and reports whether the run has made events
// since the one before. A report is ignored if data has arrived in the meantime.
func (sw *stallWatch) recordProgress(arrivals, made int) bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.arrivals != arrivals {
		return false
	}
	before := sw.made
	sw.made = made
	return before != noReport && made > before
}

// moveRun moves the run off its engine and reports whether that stopped it there, or
// whether to abort a call at a copy, after which the run is stopped as well.
func (sw *stallWatch) moveRun() bool {
	if sw.run.Known() == migration.Called {
		return true
	}
	sw.mu.Lock()
	sw.forcedMoves++
	allowed := sw.forcedMoves <= maxForcedMoves
	sw.mu.Unlock()
	if !allowed {
		return false
	}
	moved := sw.di.Runs.MoveOne(sw.ctx, sw.run)
	sw.di.Log.Info().Str("event", "stream_silent").Str("request", sw.run.ID).Str("endpoint", sw.endpoint.ID).Bool("moved", moved).
		Msg("dispatch: engine goes on with a run whose connection is silent; moving the run")
	return moved
}
