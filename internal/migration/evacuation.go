package migration

import (
	"context"
	"time"

	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/roster"
)

// maxTries bounds the moves of one run off one engine.
const maxTries = 24

// noRunTries is what it counts when the engine does not know a run: it is over,
// or its first token is still to come.
const noRunTries = 6

// longTurn is the wait for a turn that is logged.
const longTurn = 100 * time.Millisecond

// evacuation is the state of the moves off one engine.
type evacuation struct {
	source roster.Endpoint
	notice time.Time
	tries  map[*Run]int
	// full are the engines that could not take a copy.
	full map[string]bool
	// announced tells that other instances had the time to hear of the moves.
	announced bool
}

// untried returns how many runs of a list were not tried yet. Others are not
// announced: a run that can't be moved must not hold up those that can.
func (ev *evacuation) untried(list []candidate) int {
	count := 0
	for _, ca := range list {
		if ev.tries[ca.run] == 0 {
			count++
		}
	}
	return count
}

// awaitTurn waits until instances that come first have moved their runs, or
// have had the time for it: copies of one engine queue on its link, and a run
// that is stopped behind the copies of others pauses for as long as they take.
func (mo *Mover) awaitTurn(ctx context.Context, ev *evacuation) {
	if !ev.announced {
		ev.announced = true
		pause.For(ctx, mo.Clock, announceTime)
	}
	begun := mo.Clock.Now()
	ahead := mo.Turns.Ahead(ev.source.ID)
	for ctx.Err() == nil && ahead > 0 && mo.Clock.Since(begun) < turnBound(ahead) && mo.Clock.Since(ev.notice) < lastTurn {
		pause.For(ctx, mo.Clock, turnInterval)
		ahead = mo.Turns.Ahead(ev.source.ID)
	}
	if waited := mo.Clock.Since(begun); waited >= longTurn {
		mo.Log.Info().Str("event", "turn_waited").Str("endpoint", ev.source.ID).Int("ahead", ahead).Dur("took", waited).
			Dur("since_notice", mo.Clock.Since(ev.notice)).Msg("migration: waited for the moves of other instances")
	}
}
