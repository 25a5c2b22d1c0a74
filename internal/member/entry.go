package member

import (
	"time"

	"filbertstall.example/filbertstall/internal/platform"
)

// entry is the state that the table keeps for one member.
type entry struct {
	Member
	// listed is the state in the platform's list, empty if the member is not
	// listed.
	listed platform.InstanceState
	// lastSeen is when the member last answered a probe or called this instance.
	// A new entry starts with the time at which it was added.
	lastSeen time.Time
	// missed counts consecutive unanswered probes, the last of them at
	// missedAt.
	missed   int
	missedAt time.Time
	// leaving is set once the member announces that it leaves.
	leaving bool
	// reportedState is the state in the last report from the member's zone,
	// empty if the report did not name the member.
	reportedState State
	// unlisted is when the platform's list was first seen without the member,
	// zero while the member is listed.
	unlisted time.Time
	goneAt   time.Time
}

// hasDirectContact reports whether this instance derives the member's state from
// its own probes. Only the member itself reports its start time, so a zero start
// time means that there was no contact yet.
func (en *entry) hasDirectContact(now time.Time) bool {
	unresponsive := en.missed >= suspectAfter && now.Sub(en.missedAt) < directContactWindow
	recentlySeen := !en.Started.IsZero() && now.Sub(en.lastSeen) < directContactWindow
	return unresponsive || recentlySeen
}

// indirectState derives the state of a member of another zone that this
// instance does not probe. It combines the platform's list with the reports of
// the member's zone, as long as that zone can be reached.
func (en *entry) indirectState(now, zoneLastSeen time.Time) State {
	switch {
	case !en.unlisted.IsZero() && now.Sub(en.unlisted) > goneAfter:
		return Gone
	case now.Sub(zoneLastSeen) > goneAfter:
		return Suspected
	case en.reportedState != "":
		return en.reportedState
	case en.leaving, en.listed == platform.InstanceLeaving:
		return Leaving
	default:
		return Live
	}
}

func (en *entry) state(now time.Time) State {
	unresponsive := en.missed >= suspectAfter
	unlisted := en.listed != platform.InstanceLive
	unseenFor := now.Sub(en.lastSeen)
	switch {
	case unresponsive && unlisted && unseenFor > goneAfter, unresponsive && en.leaving && unseenFor > leaveTimeout:
		return Gone
	case en.leaving, en.listed == platform.InstanceLeaving:
		return Leaving
	case unresponsive:
		return Suspected
	case en.Version == 0:
		return Joining
	default:
		return Live
	}
}
