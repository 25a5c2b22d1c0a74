package suspicion

import "sync"

// recent is a set of the hashes that were added last. It holds between limit and
// twice as many. The zero value is empty. It is safe for concurrent use.
type recent struct {
	limit int

	mu sync.Mutex
	// current has the hashes added since previous was full.
	current, previous map[uint64]struct{}
}

func (rc *recent) add(hash uint64) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if _, found := rc.current[hash]; found {
		return
	}
	if rc.current == nil || len(rc.current) >= rc.limit {
		rc.current, rc.previous = make(map[uint64]struct{}), rc.current
	}
	rc.current[hash] = struct{}{}
}

func (rc *recent) has(hash uint64) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, found := rc.current[hash]
	if !found {
		_, found = rc.previous[hash]
	}
	return found
}
