package loadshare

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Turns orders the moves of several instances off one engine: for each engine
// the instances have an order of their own, and each tells how many runs it
// has still to move. It implements migration.Turns. Set the exported fields
// before use. It is safe for concurrent use.
type Turns struct {
	Instance string
	// Changes gets a value when there is something to tell.
	Changes chan<- struct{}

	mu     sync.Mutex
	own    map[string]int
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

// rank is the place of an instance in the order for an engine.
func rank(endpoint, instance string) uint64 { return xxhash.Sum64String(endpoint + "/" + instance) }

// mine returns what this instance has announced.
func (tu *Turns) mine() []endpointMoves {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	var list []endpointMoves
	for endpoint, runs := range tu.own {
		list = append(list, endpointMoves{Endpoint: endpoint, Runs: runs})
	}
	return list
}

// take replaces what another instance has announced.
func (tu *Turns) take(instance string, list []endpointMoves) {
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
	for _, mo := range list {
		if mo.Runs <= 0 {
			continue
		}
		if tu.others[mo.Endpoint] == nil {
			tu.others[mo.Endpoint] = make(map[string]int)
		}
		tu.others[mo.Endpoint][instance] = mo.Runs
	}
}
