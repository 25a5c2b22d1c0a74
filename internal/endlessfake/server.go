package endlessfake

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// MaxBytes limits what a server sends on one connection, in bytes, so that a test ends
// even if the caller keeps all of it.
const MaxBytes = 128 << 20

// sendBufferBytes is the size of the socket's send buffer, which holds bytes that count
// as written.
const sendBufferBytes = 64 << 10

// Server answers each request in the same way, without end.
type Server struct {
	Address string

	way     Way
	ln      net.Listener
	written atomic.Int64
	sent    atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// Serve starts a server that ends with the test.
func Serve(t *testing.T, wa Way) *Server {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	se := &Server{Address: ln.Addr().String(), way: wa, ln: ln}
	t.Cleanup(se.Close)
	go se.accept()
	return se
}

// Close closes the listener and all connections.
func (se *Server) Close() {
	_ = se.ln.Close()
	se.mu.Lock()
	defer se.mu.Unlock()
	for _, conn := range se.conns {
		_ = conn.Close()
	}
}

// Written returns the number of bytes that were sent, on all connections.
func (se *Server) Written() int64 { return se.written.Load() }

// Sent returns the number of answers that nothing more is sent of.
func (se *Server) Sent() int64 { return se.sent.Load() }

func (se *Server) accept() {
	for {
		conn, err := se.ln.Accept()
		if err != nil {
			return
		}
		se.mu.Lock()
		se.conns = append(se.conns, conn)
		se.mu.Unlock()
		go se.serve(conn)
	}
}

func (se *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	re, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, re.Body); err != nil {
		return
	}
	if tc, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tc.SetWriteBuffer(sendBufferBytes)
	}
	count, err := se.way.Send(conn, re.Header.Get("Request-Id"))
	se.written.Add(count)
	se.sent.Add(1)
	if se.way.Hold > 0 && err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Send writes the answer until the other side closes, or MaxBytes are written. It returns
// the number of bytes.
func (wa Way) Send(to io.Writer, id string) (int64, error) {
	start, err := io.WriteString(to, strings.ReplaceAll(wa.Start, IDMark, id))
	written := int64(start)
	for limit := cmp.Or(wa.Hold, MaxBytes); err == nil && written < limit; {
		var count int
		count, err = to.Write(wa.Piece[:min(int64(len(wa.Piece)), limit-written)])
		written += int64(count)
	}
	return written, err
}
