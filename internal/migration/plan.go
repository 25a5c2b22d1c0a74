package migration

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a run as a plan sees it.
type candidate struct {
	run      *Run
	started  bool
	ended    bool
	stopping bool
	// standby is the engine that keeps a copy of the run, or empty.
	standby string
	// safe tells that this engine can take the run over.
	safe bool
	// tokens are in the engine's memory; remaining is how many may come at most.
	tokens    int
	remaining int
}

const (
	// tokenTime is the least time that an engine takes for a token, so that no
	// run counts as ending in time that would not.
	tokenTime = 10 * time.Millisecond
	// noticeTime is how long an engine is expected to go on after it said that
	// it leaves.
	noticeTime = 1500 * time.Millisecond
	// lastStop is the time after the notice at which runs are stopped however
	// long their last copy may queue.
	lastStop = 1250 * time.Millisecond
	// quietLink is the time of a short copy under which no other copy is in
	// front of it on the link.
	quietLink = 50 * time.Millisecond
)

// lastTurn is the time after the notice from which nobody waits for a turn.
const lastTurn = 1300 * time.Millisecond

// turnTime is how long the move of one run takes at most, if none is in front
// of it: the copy of a long prompt into another zone.
const turnTime = 450 * time.Millisecond

// turnBound bounds the wait for runs of other instances.
func turnBound(runs int) time.Duration { return time.Duration(runs) * turnTime }

// movable returns the runs that are worth a move, those with the least to copy
// first: they are safe soonest, and a copy that is cut off by the engine's end
// saves nobody. A run whose standby copy can take over needs no move; copies of
// it would only delay the others.
func movable(list []candidate, sinceNotice time.Duration) []candidate {
	kept := list[:0]
	for _, ca := range list {
		if ca.started && !ca.ended && !ca.stopping && !ca.safe && !endsInTime(ca, noticeTime-sinceNotice) {
			kept = append(kept, ca)
		}
	}
	slices.SortStableFunc(kept, func(a, b candidate) int { return cmp.Compare(a.tokens, b.tokens) })
	return kept
}

// endsInTime tells whether a run ends by itself before the engine does, even if
// its answer is as long as it may be.
func endsInTime(ca candidate, left time.Duration) bool {
	return time.Duration(ca.remaining)*tokenTime < left
}

// stopNow tells whether a run is stopped after a short copy that took a time.
func stopNow(copyTook, sinceNotice time.Duration) bool {
	return copyTook <= quietLink || sinceNotice >= lastStop
}
