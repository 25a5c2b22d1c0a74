package peer

import (
	"sync"
	"time"
)

// Skips remembers which instances did not answer recently, so that no request waits for
// them again. The zero value is empty. It is safe for concurrent use.
type Skips struct {
	mu    sync.Mutex
	until map[string]time.Duration
}

// Add skips an instance until a time of the caller's clock.
func (sk *Skips) Add(name string, until time.Duration) {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	if sk.until == nil {
		sk.until = make(map[string]time.Duration)
	}
	sk.until[name] = until
}

// List returns the instances that are skipped now, and forgets the others.
func (sk *Skips) List(now time.Duration) []string {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	var names []string
	for name, until := range sk.until {
		if now < until {
			names = append(names, name)
		} else {
			delete(sk.until, name)
		}
	}
	return names
}

// Has reports whether an instance is skipped now.
func (sk *Skips) Has(name string, now time.Duration) bool {
	sk.mu.Lock()
	defer sk.mu.Unlock()
	return now < sk.until[name]
}
