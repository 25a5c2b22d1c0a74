package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Generation is a request for a streamed generation.
type Generation struct {
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the JSON body. It must contain "stream": true.
	Body []byte
	// Timeout is sent as Request-Timeout in seconds if it is not zero.
	Timeout time.Duration
}

// Event is one event of a generation.
type Event struct {
	// Offset is the index of the token, starting at zero.
	Offset int64
	// Data is the JSON of the event. It is valid until the next call of Next.
	Data []byte
}

// Stream reads one generation. It is not safe for concurrent use.
type Stream struct {
	cl  *Client
	ge  Generation
	ctx context.Context

	// id is the ID of the generation. It is empty until the first event.
	id        string
	offset    int64
	completed bool
	// attempt counts the consecutive failures without progress.
	attempt int
	// Resumes counts the attempts to resume the generation after its first token.
	Resumes int
	// outcome covers all attempts so far, as in Error.
	outcome Outcome

	body   io.ReadCloser
	rd     *bufio.Reader
	cancel context.CancelFunc
	timer  interface{ Stop() bool }
}

// streamBufferBytes is the buffer size and thus the longest line of an event.
const streamBufferBytes = 64 << 10

var errHandedOver = errors.New("the entry instance is shutting down")

// Generate prepares a generation. The first call of Next sends the request.
func (cl *Client) Generate(ctx context.Context, ge Generation) *Stream {
	cl.prepare()
	return &Stream{cl: cl, ge: ge, ctx: ctx, outcome: NotRun}
}

// Next returns the event of the next token, or io.EOF after the last one. It
// reconnects by itself after temporary failures. Any error other than io.EOF is
// an *Error, and the stream cannot be continued.
func (st *Stream) Next() (Event, error) {
	for {
		if st.completed {
			return Event{}, io.EOF
		}
		ev, er := st.readOrConnect()
		if er == nil && !st.completed {
			st.attempt = 0
			return ev, nil
		}
		if er == nil {
			continue
		}
		st.disconnect()
		if er := st.waitForRetry(er); er != nil {
			return Event{}, er
		}
	}
}

// Offset returns the number of tokens that have been received.
func (st *Stream) Offset() int64 { return st.offset }

// Close closes the connection. The deployment ends a generation that is not
// complete.
func (st *Stream) Close() { st.disconnect() }

// readOrConnect reads the next event. It first connects if there is no
// connection.
func (st *Stream) readOrConnect() (Event, *Error) {
	if st.body == nil {
		if er := st.connect(); er != nil {
			return Event{}, er
		}
	}
	return st.read()
}

// waitForRetry decides whether to retry after an attempt failed with er. If so, it
// waits for the back-off and returns nil. If the instance is shutting down, it
// does not wait. If the attempt cannot be retried, it returns the error for the
// caller of Next.
func (st *Stream) waitForRetry(er *Error) *Error {
	if er.Outcome != NotRun {
		st.outcome = er.Outcome
	}
	er.Outcome = st.outcome
	if st.ctx.Err() != nil {
		return &Error{Op: "generate", Kind: Interrupted, Outcome: st.outcome, Err: st.ctx.Err()}
	}
	st.attempt++
	if er.permanent() || st.attempt >= st.cl.MaxAttempts {
		return er
	}
	if errors.Is(er.Err, errHandedOver) {
		return nil
	}
	if err := st.cl.waitBeforeRetry(st.ctx, st.attempt, er.retryAfter()); err != nil {
		return &Error{Op: "generate", Kind: Interrupted, Outcome: st.outcome, Err: err}
	}
	return nil
}

// connect sends the request to the next entry instance. If tokens have been
// received, it also sends the ID of the last event, so that the instance
// continues after it.
func (st *Stream) connect() *Error {
	ctx, cancel := context.WithCancel(st.ctx)
	st.cancel = cancel
	st.timer = st.cl.Clock.AfterFunc(st.cl.StartTimeout, cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, st.cl.nextEntry()+st.ge.Path, bytes.NewReader(st.ge.Body))
	if err != nil {
		return transportError("generate", err)
	}
	req.Header.Set("Authorization", "Bearer "+st.cl.Token)
	req.Header.Set("Content-Type", "application/json")
	if st.ge.Timeout > 0 {
		req.Header.Set("Request-Timeout", strconv.FormatFloat(st.ge.Timeout.Seconds(), 'f', -1, 64))
	}
	if st.offset > 0 {
		st.Resumes++
		req.Header.Set("Last-Event-ID", st.id+"/"+strconv.FormatInt(st.offset-1, 10))
	}
	resp, err := st.cl.HTTP.Do(req) //nolint:bodyclose // disconnect closes it
	if err != nil {
		return transportError("generate", err)
	}
	st.body = resp.Body
	if er := checkStatus("generate", resp); er != nil {
		return er
	}
	if resp.StatusCode != http.StatusOK {
		return problemError("generate", resp)
	}
	st.rd = bufio.NewReaderSize(resp.Body, streamBufferBytes)
	return nil
}

func (st *Stream) disconnect() {
	if st.timer != nil {
		st.timer.Stop()
	}
	if st.cancel != nil {
		st.cancel()
	}
	if st.body != nil {
		_ = st.body.Close()
	}
	st.timer, st.cancel, st.body, st.rd = nil, nil, nil, nil
}

// read reads one event. Each line restarts the idle timer, even a comment, which
// is a keep-alive.
func (st *Stream) read() (Event, *Error) {
	var id, event string
	for {
		st.timer.Stop()
		st.timer = st.cl.Clock.AfterFunc(st.cl.IdleTimeout, st.cancel)
		line, err := st.rd.ReadSlice('\n')
		if err != nil {
			return Event{}, &Error{Op: "generate", Kind: Broken, Outcome: Unknown, Err: err}
		}
		line = bytes.TrimRight(line, "\r\n")
		if data, found := bytes.CutPrefix(line, []byte("data: ")); found {
			return st.accept(id, event, data)
		}
		if text, found := strings.CutPrefix(string(line), "id: "); found {
			id = text
		}
		if text, found := strings.CutPrefix(string(line), "event: "); found {
			event = text
		}
	}
}

// accept handles one event. It verifies that a token belongs to the generation
// and has the next offset.
func (st *Stream) accept(id, event string, data []byte) (Event, *Error) {
	switch {
	case event == "error":
		er := &Error{Op: "generate", Kind: Refused, Outcome: Unknown}
		er.parse(data)
		return Event{}, er
	case event == "resume":
		return Event{}, &Error{Op: "generate", Kind: Broken, Outcome: Unknown, Err: errHandedOver}
	case string(data) == "[DONE]":
		st.completed = true
		st.disconnect()
		return Event{}, nil
	}
	generation, number, _ := splitEventID(id)
	offset, err := strconv.ParseInt(number, 10, 64)
	if err != nil || offset != st.offset || (st.id != "" && generation != st.id) {
		return Event{}, &Error{Op: "generate", Kind: Crossed, Outcome: Unknown, Err: errors.New("event " + id + " received where offset " + strconv.FormatInt(st.offset, 10) + " was expected")}
	}
	st.id = generation
	st.offset++
	return Event{Offset: offset, Data: data}, nil
}

func splitEventID(id string) (generation, offset string, ok bool) {
	cut := strings.LastIndexByte(id, '/')
	if cut < 0 {
		return "", "", false
	}
	return id[:cut], id[cut+1:], true
}
