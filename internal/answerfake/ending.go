package answerfake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 8 << 20

// Ending is a way in which an endpoint ends a connection on which it has answered a request
// without a length, before it read the request's body.
type Ending struct {
	Name string
	// RequestBytes is the size of the request's body.
	RequestBytes int
	// Whole is set if the answer ends with the connection. Otherwise, the connection fails, and
	// the answer is a part.
	Whole bool
	// Ended is set if the connection may be ended in order before it is reset.
	Ended bool
	// Read is set if the endpoint reads the whole request before it ends the connection.
	Read bool

	end func(conn *net.TCPConn, body io.Reader)
}

func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// lingerTime is how long an endpoint that reads no more waits before it closes the connection.
const lingerTime = 3 * time.Second

// Endings returns all ways.
func Endings() []Ending {
	return []Ending{
		{Name: "reset", RequestBytes: uploadBytes, end: func(conn *net.TCPConn, _ io.Reader) { reset(conn) }},
		// The kernel resets a connection that is closed with unread data. If there is none at that
		// moment, it ends it in order, and resets it when more arrives.
		{Name: "closed", RequestBytes: uploadBytes, Ended: true, end: func(*net.TCPConn, io.Reader) {}},
		{Name: "closed while the body is read", RequestBytes: uploadBytes, Ended: true, end: func(_ *net.TCPConn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, uploadBytes/4)
		}},
		{Name: "ended and reset at once", RequestBytes: uploadBytes, Ended: true, end: func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			reset(conn)
		}},
		{Name: "reset after a part was read", RequestBytes: uploadBytes, end: func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, uploadBytes/4)
			reset(conn)
		}},
		{Name: "reset after the whole body was read", RequestBytes: uploadBytes, Read: true, end: func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
			reset(conn)
		}},
		{Name: "reset, short request", RequestBytes: 10, Read: true, end: func(conn *net.TCPConn, _ io.Reader) { reset(conn) }},
		{Name: "ended, body is read", RequestBytes: uploadBytes, Whole: true, Read: true, end: func(conn *net.TCPConn, body io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		}},
		{Name: "ended, body is not read", RequestBytes: uploadBytes, Whole: true, end: func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(lingerTime)
		}},
		{Name: "ended after the body was read", RequestBytes: uploadBytes, Whole: true, Read: true, end: func(_ *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
		}},
		{Name: "ended, short request", RequestBytes: 10, Whole: true, Read: true, end: func(_ *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
		}},
	}
}

// Serve starts an endpoint that answers with a body and ends the connection so after a pause.
// The fields are further field lines of the answer; each ends in a line break.
func (en Ending) Serve(t *testing.T, pause time.Duration, fields, body string) string {
	t.Helper()
	return ServeRaw(t, func(conn *net.TCPConn) {
		re, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", fields, body)
		time.Sleep(pause)
		en.end(conn, re.Body)
	})
}
