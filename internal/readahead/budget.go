package readahead

import "sync"

const (
	// DefaultBytes is the usual memory for all streams of an instance, in bytes. Beyond
	// it, streams are read no faster than their callers read.
	DefaultBytes = 16 << 20
	// StreamBytes is the memory that one stream may hold, in bytes. Beyond it, the stream
	// is read no faster than its caller reads.
	StreamBytes = 1 << 20
)

// Budget limits the memory of all Readers of an instance. Set Bytes before use. It is
// safe for concurrent use.
type Budget struct {
	// Bytes is the limit, in bytes.
	Bytes int

	mu   sync.Mutex
	used int
	// freed is closed, and replaced, when bytes are given back.
	freed chan struct{}
}

// Used returns the number of bytes that are in memory.
func (bu *Budget) Used() int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.used
}

// take returns at most want bytes. If there are none, it returns a channel that is closed
// when some are given back.
func (bu *Budget) take(want int) (taken int, freed <-chan struct{}) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if taken = min(want, bu.Bytes-bu.used); taken > 0 {
		bu.used += taken
		return taken, nil
	}
	if bu.freed == nil {
		bu.freed = make(chan struct{})
	}
	return 0, bu.freed
}

// give gives bytes back.
func (bu *Budget) give(count int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.used -= count
	if bu.freed != nil && count > 0 {
		close(bu.freed)
		bu.freed = nil
	}
}
