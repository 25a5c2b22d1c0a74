package loadshare

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Turns orders the moves by which several instances migrate runs (generations
// in flight) off the same engine, so that their KV-cache copies do not queue on
// its network link. Each engine has its own order of the instances, and each
// instance announces how many runs it has still to move. It implements
// migration.Turns. Set the exported fields before use. It is safe for concurrent
// use.
type Turns struct {
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

// Announce implements migration.Turns.
func (tu *Turns) Announce(endpoint string, runs int) {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	if tu.own[endpoint] == runs {
		return
	}
	if tu.own == nil {
		tu.own = make(map[string]int)
	}
	tu.own[endpoint] = runs
	tu.unsent = true
	if runs == 0 {
		delete(tu.own, endpoint)
	}
	select {
	case tu.Changes <- struct{}{}:
	default:
	}
}

// Ahead implements migration.Turns.
func (tu *Turns) Ahead(endpoint string) int {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	mine := rank(endpoint, tu.Instance)
	count := 0
	for instance, runs := range tu.others[endpoint] {
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
func (tu *Turns) announced() (moves map[string]int, unsent bool) {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	unsent, tu.unsent = tu.unsent, false
	return maps.Clone(tu.own), unsent
}

// apply replaces the announcements of another instance. Nil moves remove them.
func (tu *Turns) apply(instance string, moves map[string]int) {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	for endpoint, runs := range tu.others {
		delete(runs, instance)
		if len(runs) == 0 {
			delete(tu.others, endpoint)
		}
	}
	if tu.others == nil {
		tu.others = make(map[string]map[string]int)
	}
	for endpoint, runs := range moves {
		if runs <= 0 {
			continue
		}
		if tu.others[endpoint] == nil {
			tu.others[endpoint] = make(map[string]int)
		}
		tu.others[endpoint][instance] = runs
	}
}
