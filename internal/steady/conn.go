// Package steady bounds how long a caller that does not read may hold up a
// writer, and how much the kernel keeps for it. A time for a whole answer
// would cut long streams; this one is for each write.
//
// # Usage
//
//	se.Serve(steady.Listener{Listener: ln, Timeout: steady.DefaultTimeout})
package steady

import (
	"io"
	"net"
	"time"
)

const (
	// DefaultTimeout is how long one write to a caller may block.
	DefaultTimeout = 15 * time.Second
	// deadlineStep is how seldom the write deadline is moved, which saves a
	// timer operation for each token.
	deadlineStep = time.Second
	// callerSocketBytes bounds what the kernel holds for a slow caller.
	callerSocketBytes = 64 << 10
)

// Listener gives each connection a bound on blocked writes.
type Listener struct {
	net.Listener
	Timeout time.Duration
}

// Accept implements net.Listener.
func (li Listener) Accept() (net.Conn, error) {
	conn, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tc, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tc.SetWriteBuffer(callerSocketBytes)
	}
	return &Conn{Conn: conn, timeout: li.Timeout}, nil
}

// Conn fails a write that blocks for timeout.
type Conn struct {
	net.Conn
	timeout time.Duration
	moved   time.Time
	// unread says that the caller still sends a request that was refused.
	unread bool
}

const (
	// drainTimeout and drainBytes bound what is read of a refused request.
	drainTimeout = 500 * time.Millisecond
	drainBytes   = 1 << 20
)

// MarkUnread tells that the caller still sends a request that was refused.
func (co *Conn) MarkUnread() { co.unread = true }

// Close implements net.Conn. A connection with unread data is read on for a
// while: closed at once, it would be reset, and the caller could lose the
// refusal before it has read it.
func (co *Conn) Close() error {
	if half, ok := co.Conn.(interface{ CloseWrite() error }); ok && co.unread && half.CloseWrite() == nil {
		_ = co.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.CopyN(io.Discard, co.Conn, drainBytes)
	}
	return co.Conn.Close()
}

// Write implements net.Conn. One goroutine writes at a time.
func (co *Conn) Write(data []byte) (int, error) {
	if now := time.Now(); now.Sub(co.moved) > deadlineStep {
		co.moved = now
		if err := co.SetWriteDeadline(now.Add(co.timeout + deadlineStep)); err != nil {
			return 0, err
		}
	}
	return co.Conn.Write(data)
}

// NetConn returns the connection below.
func (co *Conn) NetConn() net.Conn { return co.Conn }
