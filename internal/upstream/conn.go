package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes bounds the header of an answer.
	readBufferBytes = 16 << 10
	// largeBodyBytes is the size from which a body is written beside reading,
	// since an endpoint may answer before it has read it all.
	largeBodyBytes = 4 << 10
)

// The states of a request's writing.
const (
	writing int32 = iota
	writeDone
	writeFailed
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	rd      *bufio.Reader
	// idleSince and idleLimit are set while the connection is kept.
	idleSince time.Time
	idleLimit time.Duration
	wrote     atomic.Int32
}

func newConn(nc net.Conn, address string) *conn {
	return &conn{Conn: nc, address: address, rd: bufio.NewReaderSize(nc, readBufferBytes)}
}

func (cn *conn) close() { _ = cn.Close() }

// written tells whether the whole request was written.
func (cn *conn) written() bool { return cn.wrote.Load() == writeDone }

// send writes a request; a large one is written while the answer is read.
func (cn *conn) send(ca Call) error {
	cn.wrote.Store(writing)
	data := append(ca.head(), ca.Body...)
	if len(ca.Body) > largeBodyBytes {
		go func() { _ = cn.write(data) }()
		return nil
	}
	return cn.write(data)
}

func (cn *conn) write(data []byte) error {
	if _, err := cn.Write(data); err != nil {
		cn.wrote.Store(writeFailed)
		return err
	}
	cn.wrote.Store(writeDone)
	return nil
}

// quiet tells whether an idle connection is open and nothing has come on it. A
// closed one, or one with a second answer on it, is not used again.
func (cn *conn) quiet() bool {
	sc, isRaw := cn.Conn.(syscall.Conn)
	if !isRaw {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		count, perr := unix.Poll(fds[:], 0)
		quiet = perr == nil && count == 0
	})
	return err == nil && quiet
}
