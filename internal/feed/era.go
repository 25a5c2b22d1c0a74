package feed

import "sync"

// Eras keeps the first and the newest era of the store that an instance has seen
// itself or was told by others. The zero value is ready to use. Its methods have no
// effect on nil.
type Eras struct {
	mu            sync.Mutex
	known         bool
	first, newest int64
	// risen is closed when newest rises. It is nil if no call waits for that.
	risen chan struct{}
}

// Note records an era of an answer of the store, or of another instance.
func (er *Eras) Note(era int64) {
	if er == nil {
		return
	}
	er.mu.Lock()
	defer er.mu.Unlock()
	if !er.known {
		er.known, er.first, er.newest = true, era, era
	}
	if era <= er.newest {
		return
	}
	er.newest = era
	if er.risen != nil {
		close(er.risen)
		er.risen = nil
	}
}

// Above returns a channel that is closed once the newest era is above the given one.
func (er *Eras) Above(era int64) <-chan struct{} {
	if er == nil {
		return nil
	}
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.known && er.newest > era {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if er.risen == nil {
		er.risen = make(chan struct{})
	}
	return er.risen
}

// First returns the first era, and whether any is known. What this instance knew
// when it began is at most as new.
func (er *Eras) First() (era int64, known bool) {
	if er == nil {
		return 0, false
	}
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.first, er.known
}

// Newest returns the newest era, and whether any is known.
func (er *Eras) Newest() (era int64, known bool) {
	if er == nil {
		return 0, false
	}
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.newest, er.known
}
