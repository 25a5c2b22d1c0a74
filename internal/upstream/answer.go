package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"

	"github.com/valyala/fasthttp"
)

// Answer is the answer to a call. Close must be called.
type Answer struct {
	Status  int
	Headers []Header
	// Framed tells that the body's end is marked; otherwise it ends with the
	// connection.
	Framed bool

	body     io.Reader
	cn       *conn
	pool     *Pool
	ended    bool
	keep     bool
	closed   bool
	finished func()
}

// The lengths that the library reports of bodies without one.
const (
	chunkedLength = -1
	unframed      = -2
)

// ErrTooLarge is returned by ReadAll for a body over its limit.
var ErrTooLarge = errors.New("upstream: the body is too large")

// Get returns the first value of a header field, or nothing.
func (an *Answer) Get(name string) string {
	for _, he := range an.Headers {
		if strings.EqualFold(he.Name, name) {
			return he.Value
		}
	}
	return ""
}

// Read implements io.Reader. It returns io.EOF only behind a whole body.
func (an *Answer) Read(into []byte) (int, error) {
	count, err := an.body.Read(into)
	if errors.Is(err, io.EOF) {
		an.ended = true
	}
	return count, err
}

// ReadAll reads the whole body.
func (an *Answer) ReadAll(limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(an, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Close ends the call. The connection is kept if the whole answer was read and
// nothing came behind it; otherwise it is closed, which cancels the request at
// the endpoint.
func (an *Answer) Close() {
	if an.closed {
		return
	}
	an.closed = true
	if an.finished != nil {
		an.finished()
	}
	if an.ended && an.keep && an.Framed && an.cn.rd.Buffered() == 0 && an.cn.written() {
		an.pool.put(an.cn)
		return
	}
	an.cn.close()
}

// Abort ends a Read that waits, from any goroutine: it returns an error. Close
// must be called all the same.
func (an *Answer) Abort() { an.cn.close() }

func newAnswer(po *Pool, cn *conn, head *fasthttp.ResponseHeader, method string) *Answer {
	an := &Answer{Status: head.StatusCode(), pool: po, cn: cn, Framed: true}
	an.keep = !head.ConnectionClose()
	for name, value := range head.All() {
		an.Headers = append(an.Headers, Header{Name: string(name), Value: string(value)})
	}
	length := head.ContentLength()
	switch {
	case method == http.MethodHead || an.Status == http.StatusNoContent || an.Status == http.StatusNotModified:
		an.body, an.ended = http.NoBody, true
	case length == chunkedLength:
		an.body = httputil.NewChunkedReader(cn.rd)
	case length >= 0:
		an.body, an.ended = &fixedReader{rd: cn.rd, left: length}, length == 0
	default:
		an.body, an.Framed = cn.rd, false
	}
	return an
}

// fixedReader reads a body of known length; an early end is no io.EOF.
type fixedReader struct {
	rd   *bufio.Reader
	left int
}

// Read implements io.Reader.
func (fr *fixedReader) Read(into []byte) (int, error) {
	if fr.left == 0 {
		return 0, io.EOF
	}
	count, err := fr.rd.Read(into[:min(len(into), fr.left)])
	fr.left -= count
	if errors.Is(err, io.EOF) && fr.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}
