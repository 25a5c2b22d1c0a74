package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
)

// streamBufferBytes is the buffer size and thus the longest line of an event.
const streamBufferBytes = 4096

// maxEventBytes limits the lines before the data of an event. Beyond it, the stream fails.
const maxEventBytes = 64 << 10

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

// Stream reads the events of one generation. It verifies that each event belongs
// to the generation and has the next offset.
type Stream struct {
	url    string
	id     []byte
	next   int64
	status int
	conn   net.Conn
	// raw reads from the connection. rd reads the response body from raw.
	raw  *bufio.Reader
	rd   *bufio.Reader
	done bool
}

func newStream(url, id string, offset int64, conn net.Conn) *Stream {
	raw, _ := readerPool.Get().(*bufio.Reader)
	raw.Reset(conn)
	rd, _ := readerPool.Get().(*bufio.Reader)
	return &Stream{url: url, id: []byte(id), next: offset, conn: conn, raw: raw, rd: rd}
}

// Offset returns the offset of the next token to be read.
func (st *Stream) Offset() int64 { return st.next }

// Buffered reports whether Next can return a complete event without blocking. It
// ignores the blank line that ends the previous event.
func (st *Stream) Buffered() bool {
	if st.done {
		return false
	}
	rest, _ := st.rd.Peek(st.rd.Buffered())
	return bytes.Contains(bytes.TrimLeft(rest, "\r\n"), eventEnd)
}

// Interrupt closes the connection. A blocked call of Next fails, and later calls
// fail once the buffered events have been returned. Interrupt may be called while
// another goroutine is in Next.
func (st *Stream) Interrupt() { _ = st.conn.Close() }

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id: ")
	dataField = []byte("data: ")
	doneData  = []byte("[DONE]")
)

// Next reads the next event. The last event has Done set, and after it Next
// returns io.EOF. An error of kind Lost or TimedOut means that the stream
// ended before the last event, one of kind Mismatched that an event belongs to
// another generation or has the wrong offset, and one of kind Failed that a
// line is longer than streamBufferBytes, or an event than maxEventBytes.
func (st *Stream) Next(ev *Event) error {
	if st.done {
		return io.EOF
	}
	*ev = Event{Offset: -1}
	for size := 0; size <= maxEventBytes; {
		line, err := st.rd.ReadSlice('\n')
		if err != nil {
			return st.readError(err)
		}
		size += len(line)
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) > 0 && line[0] == ':':
			ev.Waiting = true
			return nil
		case bytes.HasPrefix(line, idField):
			if ev.Offset, err = st.parseID(line[len(idField):]); err != nil {
				return err
			}
		case bytes.HasPrefix(line, dataField):
			return st.accept(ev, line[len(dataField):])
		}
	}
	return &Error{Op: "stream", URL: st.url, Kind: Failed, Err: errEventTooLong}
}

var errEventTooLong = errors.New("the event is too long")

func (st *Stream) accept(ev *Event, data []byte) error {
	if bytes.Equal(data, doneData) {
		st.done = true
		ev.Done = true
		return nil
	}
	if ev.Offset != st.next {
		return st.mismatch("offset " + strconv.FormatInt(ev.Offset, 10) + " where " + strconv.FormatInt(st.next, 10) + " was due")
	}
	st.next++
	ev.Data = data
	return nil
}

func (st *Stream) parseID(field []byte) (int64, error) {
	cut := bytes.LastIndexByte(field, '/')
	if cut < 0 || !bytes.Equal(field[:cut], st.id) {
		return 0, st.mismatch("event of another generation")
	}
	var offset int64
	for _, ch := range field[cut+1:] {
		if ch < '0' || ch > '9' {
			return 0, st.mismatch("event without an offset")
		}
		offset = offset*10 + int64(ch-'0')
	}
	return offset, nil
}

func (st *Stream) mismatch(detail string) error {
	return &Error{Op: "stream", URL: st.url, Kind: Mismatched, Err: errors.New(detail)}
}

func (st *Stream) readError(err error) error {
	ki := Lost
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		ki = TimedOut
	case errors.Is(err, bufio.ErrBufferFull):
		ki = Failed
	}
	return &Error{Op: "stream", URL: st.url, Kind: ki, Err: err}
}

// Close closes the connection. Connections of streams are not reused, because an
// idle connection may die unnoticed. A generation that has not ended continues at
// the engine until the engine's grace period for resuming is over. Cancel ends it
// at once.
func (st *Stream) Close() {
	if st.raw == nil {
		return
	}
	_ = st.conn.Close()
	st.raw.Reset(nil)
	st.rd.Reset(nil)
	readerPool.Put(st.raw)
	readerPool.Put(st.rd)
	st.raw, st.rd = nil, nil
}
