package configuration

import "slices"

// HeadKey is the key of the head in the platform.
const HeadKey = "configuration/head"

// maxFinishedMoves is the maximum number of finished plans that a head records.
// An instance that continues the plan of another instance learns from the head
// how many of the plan's steps have been applied.
const maxFinishedMoves = 64

// Move records the progress of a confirmed plan.
type Move struct {
	Plan string `json:"plan"`
	// Steps is the number of steps of the plan that have been applied.
	Steps int `json:"steps"`
	// Objects are the objects, each "kind/name", that no other plan may change
	// until this one is done.
	Objects []string `json:"objects,omitempty"`
	Done    bool     `json:"done,omitempty"`
}

// Head is the root object of one version of the configuration.
type Head struct {
	Version int64 `json:"version"`
	// Shards are the hex SHA-256 hashes of the contents of the shards.
	Shards []string `json:"shards"`
	// Moves holds the progress of all running plans and of the most recently
	// finished ones.
	Moves []Move `json:"moves,omitempty"`
}

// Move returns the progress of a plan and whether the head records it.
func (he Head) Move(plan string) (Move, bool) {
	ix := slices.IndexFunc(he.Moves, func(mo Move) bool { return mo.Plan == plan })
	if ix < 0 {
		return Move{}, false
	}
	return he.Moves[ix], true
}

// ReservedBy returns the ID of the running plan that has reserved an object,
// given as "kind/name". It returns an empty string if there is none.
func (he Head) ReservedBy(object string) string {
	for _, mo := range he.Moves {
		if !mo.Done && slices.Contains(mo.Objects, object) {
			return mo.Plan
		}
	}
	return ""
}

// WithMove returns a copy of the head in which mo replaces any earlier progress
// of the same plan. The oldest finished plans beyond maxFinishedMoves are
// removed.
func (he Head) WithMove(mo Move) Head {
	moves := slices.DeleteFunc(slices.Clone(he.Moves), func(it Move) bool { return it.Plan == mo.Plan })
	moves = append(moves, mo)
	done := 0
	for _, it := range moves {
		if it.Done {
			done++
		}
	}
	moves = slices.DeleteFunc(moves, func(it Move) bool {
		if !it.Done || done <= maxFinishedMoves {
			return false
		}
		done--
		return true
	})
	he.Moves = moves
	return he
}
