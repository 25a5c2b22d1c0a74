// Package writetimeout limits how long a caller that does not read can block a
// writer, and how much the kernel buffers for it. The timeout applies to each
// write, because a timeout for a whole answer would interrupt long streams.
//
// # Usage
//
//	se.Serve(writetimeout.Listener{Listener: ln, Timeout: writetimeout.DefaultTimeout})
package writetimeout

import (
	"io"
	"net"
	"time"
)

const (
	// DefaultTimeout is the usual timeout of one write to a caller.
	DefaultTimeout = 15 * time.Second
	// deadlineStep is the shortest time between two updates of the write deadline.
	// It saves a timer operation for each token, and a write may block for up to
	// this time beyond the timeout.
	deadlineStep = time.Second
	// callerSocketBytes is the size of the kernel's send buffer. It limits the
	// memory that a slow caller uses.
	callerSocketBytes = 64 << 10
)

// Listener wraps a listener so that the writes to its connections time out.
type Listener struct {
	net.Listener
	// Timeout is how long one write may block.
	Timeout time.Duration
}

// Accept implements net.Listener.
func (li Listener) Accept() (net.Conn, error) {
	conn, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tc := tcpConn(conn); tc != nil {
		_ = tc.SetWriteBuffer(callerSocketBytes)
	}
	return &Conn{Conn: conn, timeout: li.Timeout}, nil
}

// tcpConn returns the TCP connection inside wrappers such as TLS, or nil if there is none.
func tcpConn(conn net.Conn) *net.TCPConn {
	for {
		if tc, isTCP := conn.(*net.TCPConn); isTCP {
			return tc
		}
		wrapper, isWrapper := conn.(interface{ NetConn() net.Conn })
		if !isWrapper {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// Conn is a connection whose writes fail if they block for longer than the
// listener's timeout.
type Conn struct {
	net.Conn
	timeout time.Duration
	// deadlineSet is the time at which the write deadline was last updated.
	deadlineSet time.Time
	// unread is set if the caller may still be sending a request that was refused.
	unread bool
}

const (
	// drainTimeout and drainBytes limit how much of a refused request is read and
	// discarded.
	drainTimeout = 500 * time.Millisecond
	drainBytes   = 1 << 20
)

// MarkUnread records that the caller may still be sending a request that was
// refused. Close then reads on for a while.
func (co *Conn) MarkUnread() { co.unread = true }

// Close implements net.Conn. If MarkUnread was called, it first closes the sending
// side and discards incoming data for a while. Closing a connection with unread
// data would reset it, and the caller could lose the refusal before reading it.
func (co *Conn) Close() error {
	if half, ok := co.Conn.(interface{ CloseWrite() error }); ok && co.unread && half.CloseWrite() == nil {
		_ = co.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.CopyN(io.Discard, co.Conn, drainBytes)
	}
	return co.Conn.Close()
}

// maxWriteBytes is the largest part of an answer that must be written within the
// timeout. A caller that reads slowly but steadily gets a large answer in many parts.
const maxWriteBytes = 64 << 10

// Write implements net.Conn. It must not be called concurrently.
func (co *Conn) Write(data []byte) (int, error) {
	written := 0
	for {
		part := data[written:min(len(data), written+maxWriteBytes)]
		count, err := co.writePart(part)
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

func (co *Conn) writePart(data []byte) (int, error) {
	if now := time.Now(); now.Sub(co.deadlineSet) > deadlineStep {
		co.deadlineSet = now
		if err := co.SetWriteDeadline(now.Add(co.timeout + deadlineStep)); err != nil {
			return 0, err
		}
	}
	return co.Conn.Write(data)
}

// NetConn returns the wrapped connection.
func (co *Conn) NetConn() net.Conn { return co.Conn }
