package migration

import (
	"context"
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/roster"
)

// maxMoveAttempts limits the attempts to move one run off one engine.
const maxMoveAttempts = 24

// noRunAttempts is added to the number of attempts if the engine does not know
// the run, because the run has ended or has not generated its first token yet.
const noRunAttempts = 6

// longTurnWait is the shortest wait for a turn that is logged.
const longTurnWait = 100 * time.Millisecond

// evacuation is the state of moving all runs off one engine.
type evacuation struct {
	source roster.Endpoint
	notice time.Time
	// leavesAt is when the engine said that it leaves; nil if it stays for now, and
	// sinceNotice is zero.
	leavesAt atomic.Pointer[time.Time]
	attempts map[*Run]int
	// full holds the IDs of engines that must not be chosen as a target: the
	// source and engines without room for a copy.
	full map[string]bool
	// announced is set once awaitTurn has given other instances time to receive
	// the first announcement.
	announced bool
}

// newEvacuation returns the state of moving runs off an engine that leaves or, if planned
// is set, stays for now.
func newEvacuation(en roster.Endpoint, now time.Time, planned bool) *evacuation {
	ev := &evacuation{source: en, notice: now, attempts: make(map[*Run]int), full: map[string]bool{en.ID: true}}
	if !planned {
		ev.leavesAt.Store(&now)
	}
	return ev
}

// planned reports whether the engine stays for now.
func (ev *evacuation) planned() bool { return ev.leavesAt.Load() == nil }

// sinceNotice returns the time since the engine said that it leaves, or zero if it stays
// for now.
func (ev *evacuation) sinceNotice(now time.Time) time.Duration {
	at := ev.leavesAt.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// untried returns the number of runs in list for which no move has been
// attempted. Only these are announced to other instances, so that a run that
// cannot be moved does not delay runs that can.
func (ev *evacuation) untried(list []candidate) int {
	count := 0
	for _, ca := range list {
		if ev.attempts[ca.run] == 0 {
			count++
		}
	}
	return count
}

// awaitTurn waits until instances that come first have moved their runs, or
// have had enough time to do so, but not beyond turnWaitEnd. Copies from one
// engine are transferred one after another, and a run that is stopped while
// copies of other runs are queued pauses until these are transferred.
func (mo *Mover) awaitTurn(ctx context.Context, ev *evacuation) {
	if !ev.announced {
		ev.announced = true
		pause.For(ctx, mo.Clock, announceDelay)
	}
	begun := mo.Clock.Now()
	ahead := mo.MoveOrder.Ahead(ev.source.ID)
	for ctx.Err() == nil && ahead > 0 && mo.Clock.Since(begun) < maxTurnWait(ahead) && ev.sinceNotice(mo.Clock.Now()) < turnWaitEnd {
		pause.For(ctx, mo.Clock, turnPollInterval)
		ahead = mo.MoveOrder.Ahead(ev.source.ID)
	}
	if waited := mo.Clock.Since(begun); waited >= longTurnWait {
		mo.Log.Info().Str("event", "turn_waited").Str("endpoint", ev.source.ID).Int("ahead", ahead).Dur("took", waited).
			Dur("since_notice", mo.Clock.Since(ev.notice)).Msg("migration: waited for other instances to move their runs")
	}
}
