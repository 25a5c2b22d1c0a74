package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Duplex is a connection on which a request may be written while its answer is read. Its reads
// return io.EOF only if the other side ended the connection in order, which is the end of an
// answer without length and chunks. Without it, a connection that failed may look the same: the
// kernel reports a failure once, to the read or to the write that comes first.
type Duplex struct {
	net.Conn

	writing sync.Mutex
	// failure is the error of the first write that failed. It is guarded by writing.
	failure error
}

// resetTime is how long a request may still be written at the end of its answer. A process that
// has ended while the request arrived resets the connection within a round trip. One that ended
// its answer in order does not, and its answer waits for so long.
const resetTime = 100 * time.Millisecond

// Write implements net.Conn. An answer that ends between two writes of its request, and is reset
// after that, counts as whole.
func (du *Duplex) Write(data []byte) (int, error) {
	du.writing.Lock()
	defer du.writing.Unlock()
	count, err := du.Conn.Write(data)
	return count, du.wrote(err)
}

// WriteBuffers writes a whole request.
func (du *Duplex) WriteBuffers(request *net.Buffers) (int64, error) {
	du.writing.Lock()
	defer du.writing.Unlock()
	count, err := request.WriteTo(du.Conn)
	return count, du.wrote(err)
}

// wrote records the error of a write, which may be nil, and returns it.
func (du *Duplex) wrote(err error) error {
	if du.failure == nil {
		du.failure = err
	}
	return err
}

// Read implements net.Conn. At the end of the connection it ends the writing, too.
func (du *Duplex) Read(into []byte) (int, error) {
	count, err := du.Conn.Read(into)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	_ = du.SetWriteDeadline(time.Now().Add(resetTime))
	du.writing.Lock()
	defer du.writing.Unlock()
	isOwn := errors.Is(du.failure, os.ErrDeadlineExceeded) || errors.Is(du.failure, net.ErrClosed)
	if du.failure != nil && !isOwn {
		return count, fmt.Errorf("http1: the connection failed before the end of the answer: %w", du.failure)
	}
	return count, err
}
