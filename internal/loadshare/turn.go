package loadshare

import (
	"maps"
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

	mu sync.Mutex
	// news tells that something was announced that was not sent yet.
	news   bool
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
	tu.news = true
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

// mine returns what this instance has announced, and whether that is news.
func (tu *Turns) mine() (moves map[string]int, news bool) {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	news, tu.news = tu.news, false
	return maps.Clone(tu.own), news
}

// take replaces what another instance has announced.
func (tu *Turns) take(instance string, moves map[string]int) {
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
