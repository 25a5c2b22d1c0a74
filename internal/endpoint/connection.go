package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/http1"
)

// streamReceiveBufferBytes is the size of the socket's receive buffer. It limits
// the kernel memory for a stream whose caller reads slowly.
const streamReceiveBufferBytes = 64 << 10

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, streamBufferBytes) }}

// open sends a request over a new connection and reads the header of the
// response. It does not use the connection pool of fasthttp, because a pooled
// connection may be dead, and because fasthttp returns the chunks of a body one
// by one even if several have arrived.
func (cl *Client) open(op, url, id string, offset int64, req *fasthttp.Request) (*Stream, error) {
	cl.prepare()
	defer fasthttp.ReleaseRequest(req)
	req.SetConnectionClose()
	conn, err := cl.connect(req.URI())
	if err != nil {
		return nil, &Error{Op: op, URL: url, Kind: Unreachable, Err: err}
	}
	st := newStream(url, id, offset, conn)
	if err := st.exchange(req); err != nil {
		st.Close()
		return nil, classify(op, url, err)
	}
	if err := checkStatus(op, url, st.status); err != nil {
		st.Close()
		return nil, err
	}
	return st, nil
}

// connect opens a connection to the host of a URI, with TLS if the scheme is
// https.
func (cl *Client) connect(uri *fasthttp.URI) (net.Conn, error) {
	host := string(uri.Host())
	conn, err := cl.Dial(host)
	if err != nil {
		return nil, err
	}
	if tc, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tc.SetReadBuffer(streamReceiveBufferBytes)
	}
	idle := &idleConn{Conn: conn, timeout: cl.IdleTimeout}
	if string(uri.Scheme()) != "https" {
		return idle, nil
	}
	secured, err := http1.Handshake(context.Background(), idle, host, nil)
	if err != nil {
		return nil, err
	}
	return secured, nil
}

// exchange writes the request and reads the header of the response.
func (st *Stream) exchange(req *fasthttp.Request) error {
	wr, _ := writerPool.Get().(*bufio.Writer)
	wr.Reset(st.conn)
	defer func() {
		wr.Reset(nil)
		writerPool.Put(wr)
	}()
	if err := req.Write(wr); err != nil {
		return err
	}
	if err := wr.Flush(); err != nil {
		return err
	}
	var head fasthttp.ResponseHeader
	if err := http1.ReadHead(st.raw, &head); err != nil {
		return err
	}
	st.status = head.StatusCode()
	st.rd.Reset(bodyOf(st.raw, head.ContentLength()))
	return nil
}

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1

func bodyOf(rd *bufio.Reader, length int) io.Reader {
	switch {
	case length == chunkedLength:
		return httputil.NewChunkedReader(rd)
	case length >= 0:
		return io.LimitReader(rd, int64(length))
	default:
		return rd
	}
}

// idleConn fails a read that makes no progress within timeout. The read may
// fail up to a quarter later, because the deadline is extended at
// most once per quarter of the timeout. This saves a timer operation per token.
type idleConn struct {
	net.Conn
	timeout       time.Duration
	deadlineSetAt time.Time
}

// deadlineSteps is the maximum number of deadline extensions per timeout.
const deadlineSteps = 4

// Read implements net.Conn.
func (ic *idleConn) Read(into []byte) (int, error) {
	step := ic.timeout / deadlineSteps
	if now := time.Now(); ic.timeout > 0 && now.Sub(ic.deadlineSetAt) >= step {
		ic.deadlineSetAt = now
		if err := ic.SetReadDeadline(now.Add(ic.timeout + step)); err != nil {
			return 0, err
		}
	}
	return ic.Conn.Read(into)
}
