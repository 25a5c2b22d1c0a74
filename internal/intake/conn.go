package intake

import (
	"container/list"
	"errors"
	"net"
	"os"
	"time"
)

// phase is what a connection does.
type phase int

const (
	// idle is a connection between two requests, or before the first.
	idle phase = iota
	// head and body are a request that arrives.
	head
	body
	// serving is a request that is whole, until the server reads on.
	serving
)

// Conn is a connection of a Limiter. Only its server may read from it.
type Conn struct {
	net.Conn
	li *Limiter

	phase phase
	// headEnds is when the head that arrives must be complete.
	headEnds time.Time
	scanner  scanner
	// serverDeadline is the read deadline that the server set, or zero.
	serverDeadline time.Time

	// The fields below are guarded by the mutex of the limiter.
	bytes   int64
	closed  bool
	waiting *list.List
	element *list.Element
}

// errNoRoom means that a connection was closed because there is no memory for a request.
var errNoRoom = errors.New("intake: the connections that serve requests take all memory that they may")

// Read implements net.Conn.
func (cn *Conn) Read(into []byte) (int, error) {
	if cn.phase == serving {
		cn.phase = idle
		cn.li.rest(cn)
	}
	if err := cn.setDeadline(); err != nil {
		return 0, err
	}
	count, err := cn.Conn.Read(into)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cn.reportTimeout()
	}
	if count == 0 {
		return 0, err
	}
	if cn.phase == idle && !cn.begin() {
		cn.li.report(Full)
		return 0, errNoRoom
	}
	if cn.phase == head && cn.scanner.scan(into[:count]) {
		cn.phase = body
	}
	return count, err
}

// begin starts a request with its first byte.
func (cn *Conn) begin() bool {
	cn.phase, cn.headEnds, cn.scanner = head, time.Time{}, scanner{}
	if cn.li.HeadTimeout != nil {
		cn.headEnds = after(cn.li.HeadTimeout())
	}
	return cn.li.activate(cn)
}

// setDeadline sets the deadline of the next read of a request that arrives, unless that of
// the server is earlier. The deadline of an idle connection is the server's, or SilentTimeout.
func (cn *Conn) setDeadline() error {
	var deadline time.Time
	switch {
	case cn.phase == idle && cn.serverDeadline.IsZero():
		deadline = after(cn.li.SilentTimeout)
	case cn.phase == head:
		deadline = cn.headEnds
	case cn.phase == body:
		deadline = after(cn.li.BodyTimeout)
	}
	if deadline.IsZero() || !cn.serverDeadline.IsZero() && cn.serverDeadline.Before(deadline) {
		deadline = cn.serverDeadline
	}
	return cn.Conn.SetReadDeadline(deadline)
}

// after returns the time after a duration, or the zero time if the duration is zero.
func after(du time.Duration) time.Time {
	if du == 0 {
		return time.Time{}
	}
	return time.Now().Add(du)
}

// SetReadDeadline implements net.Conn.
func (cn *Conn) SetReadDeadline(deadline time.Time) error {
	cn.serverDeadline = deadline
	return cn.Conn.SetReadDeadline(deadline)
}

// CloseWrite closes the sending side, if the connection can do that.
func (cn *Conn) CloseWrite() error {
	half, ok := cn.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

func (cn *Conn) reportTimeout() {
	switch cn.phase {
	case head:
		cn.li.report(HeadTimeout)
	case body:
		cn.li.report(BodyTimeout)
	case idle, serving:
	}
}

// Close implements net.Conn.
func (cn *Conn) Close() error {
	cn.li.release(cn)
	return cn.Conn.Close()
}

// NetConn returns the wrapped connection.
func (cn *Conn) NetConn() net.Conn { return cn.Conn }

// Served marks the request on a connection as whole, so that the connection is not closed for
// others before its answer is written. It returns false if the connection was closed already.
// A connection that belongs to no Limiter is left as it is.
func Served(conn net.Conn) bool {
	for conn != nil {
		if cn, ok := conn.(*Conn); ok {
			cn.phase = serving
			return cn.li.serve(cn)
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return true
		}
		conn = wrapper.NetConn()
	}
	return true
}

// scanner finds the end of the head of a request.
type scanner struct {
	// begun is set after the first byte that is no line break: a server skips line breaks
	// before a request. emptyLine is set at the begin of a line.
	begun, emptyLine bool
}

// scan reads the next bytes and reports whether the head ends in them.
func (sc *scanner) scan(data []byte) bool {
	for _, by := range data {
		switch {
		case by == '\r':
		case by != '\n':
			sc.begun, sc.emptyLine = true, false
		case sc.begun && sc.emptyLine:
			return true
		default:
			sc.emptyLine = sc.begun
		}
	}
	return false
}
