// Package readlimit limits how many bytes an answer may have on the wire, for any
// framing: a head, a body, chunks of one byte or what is between them.
//
// It is for clients of HTTP/1.1 that make one call at a time on a connection: each write
// belongs to a new call, so that the count starts anew.
//
// # Usage
//
//	client.Dial = func(address string) (net.Conn, error) {
//		conn, err := net.Dial("tcp", address)
//		if err != nil {
//			return nil, err
//		}
//		return &readlimit.Conn{Conn: conn, Bytes: 16 << 20}, nil
//	}
package readlimit

import (
	"errors"
	"net"
	"sync/atomic"
)

// ErrTooLong is returned by a read beyond the limit.
var ErrTooLong = errors.New("readlimit: the answer is too long")

// Conn is a connection that limits the bytes that are read after each write. Set the
// fields before use.
type Conn struct {
	net.Conn
	// Bytes is the limit, in bytes. Reads beyond it fail.
	Bytes int64

	read atomic.Int64
}

// Read implements net.Conn.
func (co *Conn) Read(into []byte) (int, error) {
	if co.read.Load() > co.Bytes {
		return 0, ErrTooLong
	}
	count, err := co.Conn.Read(into)
	co.read.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (co *Conn) Write(data []byte) (int, error) {
	co.read.Store(0)
	return co.Conn.Write(data)
}
