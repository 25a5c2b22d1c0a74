package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/http1"
)

// Answer is the answer to a call. The caller of Do must close it.
type Answer struct {
	Status  int
	Headers []Header
	// Framed means that the body is delimited by a length or by chunks. Otherwise
	// it ends with the connection: a connection that failed shows as an error, but not a
	// body that the endpoint itself ended too early.
	Framed bool

	body io.Reader
	cn   *conn
	// calls is the number of calls that were sent over cn until this answer.
	calls     int
	pool      *Pool
	bodyRead  bool
	keepAlive bool
	closed    bool
	onClose   func()
}

// The content lengths that fasthttp reports for chunked bodies and for bodies
// that end when the connection is closed.
const (
	chunkedLength        = -1
	closeDelimitedLength = -2
)

// maxAnswerFields is the maximum number of header fields of an answer. They take many times
// their size on the wire, for as long as the answer is read. A call whose answer has more is
// lost.
const maxAnswerFields = 256

var errTooManyFields = errors.New("the answer has too many header fields")

// readHead reads the head of an answer.
func readHead(rd *bufio.Reader, head *fasthttp.ResponseHeader) error {
	if err := http1.ReadHead(rd, head); err != nil {
		return err
	}
	if head.Len() > maxAnswerFields {
		return errTooManyFields
	}
	return nil
}

// Get returns the first value of a header field, or an empty string. The name is
// not case-sensitive.
func (an *Answer) Get(name string) string {
	for _, he := range an.Headers {
		if strings.EqualFold(he.Name, name) {
			return he.Value
		}
	}
	return ""
}

// Connection returns the connection on which the answer arrived. It may be called after
// Close, when another call may use the connection.
func (an *Answer) Connection() Connection { return an.cn.describe(an.calls) }

// Read implements io.Reader. If the body is framed, it returns io.EOF only after
// the complete body.
func (an *Answer) Read(into []byte) (int, error) {
	count, err := an.body.Read(into)
	if errors.Is(err, io.EOF) {
		an.bodyRead = true
	}
	return count, err
}

// ReadAll reads the whole body. It returns buffer.ErrTooLarge if the body has more than
// limit bytes.
func (an *Answer) ReadAll(limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(an, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, buffer.ErrTooLarge
	}
	return data, nil
}

// discardBufferBytes is the size of the buffer that Discard reads into.
const discardBufferBytes = 4 << 10

// Discard reads the whole body without keeping it. It returns buffer.ErrTooLarge if the
// body has more than limit bytes.
func (an *Answer) Discard(limit int) error {
	var chunk [discardBufferBytes]byte
	for total := 0; total <= limit; {
		count, err := an.Read(chunk[:])
		total += count
		switch {
		case errors.Is(err, io.EOF) && total <= limit:
			return nil
		case err != nil && !errors.Is(err, io.EOF):
			return err
		}
	}
	return buffer.ErrTooLarge
}

// Close ends the call. The connection is returned to the pool if the whole request
// was written, the whole answer was read, the endpoint keeps the connection open,
// the context has not ended and no unread data is buffered. Otherwise it is closed,
// which cancels the request at the endpoint.
func (an *Answer) Close() {
	if an.closed {
		return
	}
	an.closed = true
	if an.onClose != nil {
		an.onClose()
	}
	if an.bodyRead && an.keepAlive && an.Framed && an.cn.rd.Buffered() == 0 && an.cn.written.Load() {
		an.pool.put(an.cn)
		return
	}
	an.cn.close()
}

// Distrust makes Close close the connection in any case: the answer was no sound one, so that
// its rest may follow. Like Close, it is for the goroutine that reads the answer.
func (an *Answer) Distrust() { an.keepAlive = false }

// Abort makes a blocked Read return an error. It may be called from any goroutine.
// Close must still be called.
func (an *Answer) Abort() { an.cn.close() }

func newAnswer(po *Pool, cn *conn, head *fasthttp.ResponseHeader, method string) *Answer {
	an := &Answer{Status: head.StatusCode(), pool: po, cn: cn, calls: cn.calls, Framed: true}
	an.keepAlive = !head.ConnectionClose()
	// What the endpoint did not say of its body stays unsaid.
	head.SetNoDefaultContentType(true)
	for name, value := range head.All() {
		an.Headers = append(an.Headers, Header{Name: string(name), Value: string(value)})
	}
	length := head.ContentLength()
	switch {
	case method == http.MethodHead || an.Status == http.StatusNoContent || an.Status == http.StatusNotModified:
		an.body, an.bodyRead = http.NoBody, true
	case length == chunkedLength:
		an.body = &chunkedReader{Reader: httputil.NewChunkedReader(cn.rd), rd: cn.rd, an: an}
	case length >= 0:
		an.body, an.bodyRead = &fixedReader{rd: cn.rd, remaining: length}, length == 0
	default:
		an.body, an.Framed = cn.rd, false
	}
	return an
}

// chunkedReader reads a chunked body and the line break after its last chunk, which
// the reader of the standard library leaves unread.
type chunkedReader struct {
	io.Reader
	rd *bufio.Reader
	// an is the answer. Its connection is not kept if anything but the line break
	// follows, such as trailer fields.
	an *Answer
}

var lineBreak = []byte("\r\n")

// Read implements io.Reader. It does not wait for the line break, which usually comes
// with the last chunk: the body is complete without it.
func (cr *chunkedReader) Read(into []byte) (int, error) {
	count, err := cr.Reader.Read(into)
	if !errors.Is(err, io.EOF) || cr.an.bodyRead {
		return count, err
	}
	if cr.rd.Buffered() < len(lineBreak) {
		cr.an.keepAlive = false
		return count, err
	}
	if next, _ := cr.rd.Peek(len(lineBreak)); bytes.Equal(next, lineBreak) {
		_, _ = cr.rd.Discard(len(lineBreak))
	}
	return count, err
}

// fixedReader reads a body of known length. It returns io.ErrUnexpectedEOF if the
// connection ends before that.
type fixedReader struct {
	rd        *bufio.Reader
	remaining int
}

// Read implements io.Reader.
func (fr *fixedReader) Read(into []byte) (int, error) {
	if fr.remaining == 0 {
		return 0, io.EOF
	}
	count, err := fr.rd.Read(into[:min(len(into), fr.remaining)])
	fr.remaining -= count
	if errors.Is(err, io.EOF) && fr.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}
