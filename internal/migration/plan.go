package migration

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a snapshot of a run for the plan functions.
type candidate struct {
	run      *Run
	started  bool
	ended    bool
	stopping bool
	// standby is the ID of the engine that keeps a standby copy of the run. It
	// is empty if there is none.
	standby string
	// standbyUsable is set if that engine can take over the run.
	standbyUsable bool
	// tokens is the number of tokens in the engine's memory. remaining is the
	// maximum number of tokens that may follow.
	tokens    int
	remaining int
}

const (
	// tokenTime is the time per remaining token that endsInTime assumes. If an
	// engine takes longer for a token, a run may count as ending in time that
	// does not, and is then not moved.
	tokenTime = 10 * time.Millisecond
	// noticePeriod is how long an engine is expected to continue after it has
	// announced that it leaves.
	noticePeriod = 1500 * time.Millisecond
	// forcedStopTime is the time after the notice from which runs are stopped
	// regardless of how long their final copy may be queued.
	forcedStopTime = 1250 * time.Millisecond
	// idleLinkCopyTime is the duration up to which a short copy shows that no
	// other copy was queued ahead of it on the link.
	idleLinkCopyTime = 50 * time.Millisecond
)

// turnWaitEnd is the time after the notice from which no instance waits for its
// turn.
const turnWaitEnd = 1300 * time.Millisecond

// maxMoveTime is the longest time that the move of one run takes if no other
// copy is queued ahead of it. The longest move is the copy of a long prompt
// into another zone.
const maxMoveTime = 450 * time.Millisecond

// maxTurnWait returns the longest time to wait for other instances to move the
// given number of runs.
func maxTurnWait(runs int) time.Duration { return time.Duration(runs) * maxMoveTime }

// movable returns the runs to move, ordered by the amount of data to copy. The
// runs with the least data come first, since they are safe soonest, and a copy
// that is interrupted by the end of the engine is useless. Runs whose standby
// copy can take over are left out, because copying them would only delay the
// others.
func movable(list []candidate, sinceNotice time.Duration) []candidate {
	kept := list[:0]
	for _, ca := range list {
		if ca.started && !ca.ended && !ca.stopping && !ca.standbyUsable && !endsInTime(ca, noticePeriod-sinceNotice) {
			kept = append(kept, ca)
		}
	}
	slices.SortStableFunc(kept, func(a, b candidate) int { return cmp.Compare(a.tokens, b.tokens) })
	return kept
}

// endsInTime reports whether a run ends before its engine does, even if its
// answer has the maximum length.
func endsInTime(ca candidate, left time.Duration) bool {
	return time.Duration(ca.remaining)*tokenTime < left
}

// shouldStop reports whether to stop a run after a short copy that took
// copyTook. The run is stopped if the link is idle, so that the final copy is
// not queued behind others, or if little time remains.
func shouldStop(copyTook, sinceNotice time.Duration) bool {
	return copyTook <= idleLinkCopyTime || sinceNotice >= forcedStopTime
}
