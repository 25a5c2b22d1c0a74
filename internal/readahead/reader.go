package readahead

import (
	"fmt"
	"io"
	"sync"
)

// chunkBytes is the size of one read from a source, in bytes.
const chunkBytes = 4 << 10

// Reader is a stream that is read ahead. Only one goroutine may call Read and Close.
type Reader struct {
	source io.ReadCloser
	budget *Budget
	// done is closed when the source is no longer read, closing when Close is called.
	done, closing chan struct{}

	mu sync.Mutex
	// arrived has a value when held or err changed, drained when held got shorter.
	arrived, drained chan struct{}
	// held has the bytes that were read from the source and not yet by the caller.
	held []byte
	// budgeted is the number of bytes of held that were taken from the budget.
	budgeted int
	// err is the error that ended the source.
	err error
}

// NewReader starts to read a source ahead. The caller must close the Reader.
func NewReader(source io.ReadCloser, budget *Budget) *Reader {
	rd := &Reader{
		source: source, budget: budget, done: make(chan struct{}), closing: make(chan struct{}),
		arrived: make(chan struct{}, 1), drained: make(chan struct{}, 1),
	}
	go rd.fill()
	return rd
}

// Read implements io.Reader. The error of the source follows its last byte.
func (rd *Reader) Read(into []byte) (int, error) {
	for {
		rd.mu.Lock()
		if count := copy(into, rd.held); count > 0 {
			rd.held = rd.held[count:]
			freed := max(rd.budgeted-len(rd.held), 0)
			rd.budgeted -= freed
			rd.mu.Unlock()
			rd.budget.give(freed)
			signal(rd.drained)
			return count, nil
		}
		err := rd.err
		rd.mu.Unlock()
		if err != nil {
			return 0, err
		}
		<-rd.arrived
	}
}

// Close implements io.Closer. Reads of the source must be unblocked before, as by
// canceling its context: Close waits for the last one. It may be called only once.
func (rd *Reader) Close() error {
	close(rd.closing)
	<-rd.done
	rd.budget.give(rd.budgeted)
	rd.held, rd.budgeted = nil, 0
	return rd.source.Close()
}

// fill copies the source into memory until it ends.
func (rd *Reader) fill() {
	defer close(rd.done)
	for {
		size, taken, open := rd.awaitMemory()
		if !open {
			return
		}
		buffer := make([]byte, size)
		count, err := rd.read(buffer)
		used := min(taken, count)
		rd.budget.give(taken - used)
		rd.mu.Lock()
		rd.held = append(rd.held, buffer[:count]...)
		rd.budgeted += used
		rd.err = err
		rd.mu.Unlock()
		signal(rd.arrived)
		if err != nil {
			return
		}
	}
}

// read reads once from the source. A panic ends the stream as incomplete.
func (rd *Reader) read(into []byte) (count int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			count, err = 0, fmt.Errorf("readahead: panic in a stream: %v", cause)
		}
	}()
	return rd.source.Read(into)
}

// awaitMemory waits until a part of the source may be read. It returns its size and how
// many bytes of it were taken from the budget, or false if the Reader is closed.
func (rd *Reader) awaitMemory() (size, taken int, open bool) {
	for {
		select {
		case <-rd.closing:
			return 0, 0, false
		default:
		}
		held := rd.size()
		if held == 0 {
			// A caller that waits for data gets it even if others have used up the budget.
			return chunkBytes, 0, true
		}
		// At the bound of the stream, freed is nil: only drained helps.
		var freed <-chan struct{}
		if want := min(StreamBytes-held, chunkBytes); want > 0 {
			if taken, freed = rd.budget.take(want); taken > 0 {
				return taken, taken, true
			}
		}
		select {
		case <-rd.closing:
			return 0, 0, false
		case <-rd.drained:
		case <-freed:
		}
	}
}

// size returns the number of bytes in memory.
func (rd *Reader) size() int {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	return len(rd.held)
}

// signal puts a value into a channel that has none.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
