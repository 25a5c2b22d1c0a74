package upstream

import (
	"bufio"
	"hash/maphash"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"filbertstall.example/filbertstall/internal/http1"
)

const (
	// readBufferBytes limits the size of the header of an answer.
	readBufferBytes = 16 << 10
	// asyncWriteBytes is the body size above which the request is written
	// concurrently with reading the answer, because an endpoint may answer before
	// it has read the whole body.
	asyncWriteBytes = 4 << 10
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	key poolKey
	// duplex is what requests are written to and rd reads from.
	duplex *http1.Duplex
	rd     *bufio.Reader
	// idleSince is the time at which the connection was returned to the pool.
	// idleLimit is how long it may stay idle there.
	idleSince time.Time
	idleLimit time.Duration
	// written is set once the whole request was written.
	written atomic.Bool
	// carried has the hashes of the IDs of all calls that were sent.
	carried []uint64
	// calls is the number of calls that were sent, including the present one.
	calls int
}

// Connection identifies a connection to an endpoint in logs.
type Connection struct {
	// Local and Remote are the addresses of both ends, as IP and port.
	Local, Remote string
	// Calls is the number of calls that were sent over it, including the present one.
	Calls int
}

func (cn *conn) describe(calls int) Connection {
	return Connection{Local: cn.LocalAddr().String(), Remote: cn.RemoteAddr().String(), Calls: calls}
}

func newConn(nc net.Conn, ke poolKey) *conn {
	du := &http1.Duplex{Conn: nc}
	return &conn{Conn: nc, key: ke, duplex: du, rd: bufio.NewReaderSize(du, readBufferBytes)}
}

func (cn *conn) close() { _ = cn.Close() }

// maxCallsPerConn is the number of calls after which a connection is not kept. It limits
// the memory for their IDs.
const maxCallsPerConn = 1024

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

// hasCarried reports whether a call with an ID was sent over the connection, given the hash of
// the ID. An answer with that ID might then belong to the earlier call: an endpoint may write
// an answer more than once.
func (cn *conn) hasCarried(id uint64) bool { return slices.Contains(cn.carried, id) }

// isUsedUp reports whether the connection has carried as many calls as it may.
func (cn *conn) isUsedUp() bool { return len(cn.carried) >= maxCallsPerConn }

// send writes a request. If its body is larger than asyncWriteBytes, the request
// is written in the background while the answer is read.
func (cn *conn) send(ca Call) error {
	cn.calls++
	if ca.ID != "" {
		cn.carried = append(cn.carried, hashID(ca.ID))
	}
	cn.written.Store(false)
	if len(ca.Body) <= asyncWriteBytes {
		_, err := cn.duplex.Write(append(ca.head(), ca.Body...))
		return cn.wrote(err)
	}
	request := net.Buffers{ca.head(), ca.Body}
	go func() {
		_, err := cn.duplex.WriteBuffers(&request)
		_ = cn.wrote(err)
	}()
	return nil
}

// wrote records whether the request was written, and returns the error.
func (cn *conn) wrote(err error) error {
	cn.written.Store(err == nil)
	return err
}

// reusable reports whether an idle connection is open and no data has arrived on
// it. A connection that the endpoint closed, or on which it sent a second answer,
// must not be used again.
func (cn *conn) reusable() bool {
	sc, isRaw := cn.Conn.(syscall.Conn)
	if !isRaw {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		count, perr := unix.Poll(fds[:], 0)
		reusable = perr == nil && count == 0
	})
	return err == nil && reusable
}
