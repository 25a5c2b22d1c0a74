package loadshare

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// MoveOrder orders the moves by which several instances migrate runs
// (generations in flight) off the same engine, so that their KV-cache copies
// do not queue on its network link. Each engine has its own order of the
// instances, and each instance announces how many runs it has still to move.
// It implements migration.MoveOrder. Set the exported fields before use. It is
// safe for concurrent use.
type MoveOrder struct {
	Instance string
	// Changes receives a value when the announcements of this instance change. The
	// send does not block: it is skipped if the channel is full.
	Changes chan<- struct{}

	mu sync.Mutex
	// unsent is true if an announcement has changed since the last call of
	// announced.
	unsent bool
	own    map[string]int            // by engine
	others map[string]map[string]int // by engine and instance
}

// Announce implements migration.MoveOrder.
func (mo *MoveOrder) Announce(endpoint string, runs int) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if mo.own[endpoint] == runs {
		return
	}
	if mo.own == nil {
		mo.own = make(map[string]int)
	}
	mo.own[endpoint] = runs
	mo.unsent = true
	if runs == 0 {
		delete(mo.own, endpoint)
	}
	select {
	case mo.Changes <- struct{}{}:
	default:
	}
}

// Ahead implements migration.MoveOrder.
func (mo *MoveOrder) Ahead(endpoint string) int {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	mine := rank(endpoint, mo.Instance)
	count := 0
	for instance, runs := range mo.others[endpoint] {
		if rank(endpoint, instance) < mine {
			count += runs
		}
	}
	return count
}

// rank returns the position of an instance in the order for an engine: lower
// ranks move first.
func rank(endpoint, instance string) uint64 { return xxhash.Sum64String(endpoint + "/" + instance) }

// announced returns the pending moves of this instance, by engine, and whether
// they have changed since the last call.
func (mo *MoveOrder) announced() (moves map[string]int, unsent bool) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	unsent, mo.unsent = mo.unsent, false
	return maps.Clone(mo.own), unsent
}

// apply replaces the announcements of another instance. Nil moves remove them.
func (mo *MoveOrder) apply(instance string, moves map[string]int) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	for endpoint, runs := range mo.others {
		delete(runs, instance)
		if len(runs) == 0 {
			delete(mo.others, endpoint)
		}
	}
	if mo.others == nil {
		mo.others = make(map[string]map[string]int)
	}
	for endpoint, runs := range moves {
		if runs <= 0 {
			continue
		}
		if mo.others[endpoint] == nil {
			mo.others[endpoint] = make(map[string]int)
		}
		mo.others[endpoint][instance] = runs
	}
}
