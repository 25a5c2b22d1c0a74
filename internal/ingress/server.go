package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/intake"
	"filbertstall.example/filbertstall/internal/readahead"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/shutdown"
	"filbertstall.example/filbertstall/internal/upstream"
	"filbertstall.example/filbertstall/internal/writetimeout"
)

// Codec decodes requests in a platform's format.
type Codec interface {
	// Request decodes a request with its body. The result holds no reference to ctx, but may
	// hold the body.
	Request(ctx *fasthttp.RequestCtx, body []byte, arrived time.Time) *dispatch.Request
	// AnswerHeaders returns the header fields of an endpoint's answer that are
	// passed on to the caller.
	AnswerHeaders(list []upstream.Header) []upstream.Header
}

const (
	// maxHeaderBytes limits the header of a request. It is larger than what
	// platforms allow.
	maxHeaderBytes = 32 << 10
	// DefaultMaxBodyBytes limits the body of a request.
	DefaultMaxBodyBytes = 64 << 20
	// idleTimeout is longer than the idle timeout that is announced to callers, so
	// that callers close idle connections first.
	idleTimeout = 75 * time.Second
)

// Server serves callers. Set the exported fields and call Prepare before Run.
type Server struct {
	Listener   net.Listener
	Codec      Codec
	Dispatcher *dispatch.Dispatcher
	Hangups    *hangup.Watcher
	Clock      clockwork.Clock
	Log        zerolog.Logger
	// IDHeader is the header field in which refusals echo the ID of a request. If it is
	// empty, they don't.
	IDHeader string
	// MaxInFlight limits the requests that are served at the same time. Zero means that
	// there is no limit.
	MaxInFlight int64
	// ReadAhead is the memory for streams that arrive faster than their callers read
	// them. If it is nil, streams are read as fast as their callers read.
	ReadAhead *readahead.Budget
	// Memory limits the bodies of all requests that are being served. If it is nil, they
	// have no common limit.
	Memory *buffer.Budget
	// MaxBodyBytes limits the body of one request. Zero means DefaultMaxBodyBytes.
	MaxBodyBytes int
	// ConfiguredBodyBytes returns the limit for the body of one request that the configuration
	// in force has, and whether it has one. It may be nil.
	ConfiguredBodyBytes func() (bytes int, limited bool)
	// Intake limits the connections, and the time in which a request arrives. If it is nil,
	// they have no limits.
	Intake *intake.Limiter

	server    fasthttp.Server
	stopping  atomic.Bool
	inFlight  atomic.Int64
	base      context.Context
	cancelAll context.CancelCauseFunc
}

// Prepare creates the HTTP server. It must be called before Run and Stop.
func (se *Server) Prepare() {
	se.base, se.cancelAll = context.WithCancelCause(context.Background())
	se.server = fasthttp.Server{
		Handler: se.handle, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		MaxRequestBodySize: cmp.Or(se.MaxBodyBytes, DefaultMaxBodyBytes), ReadBufferSize: maxHeaderBytes, IdleTimeout: idleTimeout,
		StreamRequestBody: true, ReduceMemoryUsage: true, CloseOnShutdown: true, DisablePreParseMultipartForm: true, Logger: writetimeout.QuietLogger{},
	}
}

// Name implements controller.Controller.
func (se *Server) Name() string { return "ingress" }

// Run serves until ctx is canceled or Stop is called.
func (se *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = se.Listener.Close() })
	defer stop()
	ln := se.Listener
	if se.Intake != nil {
		ln = se.Intake.Listen(ln)
	}
	err := se.server.Serve(writetimeout.Listener{Listener: ln, Timeout: writetimeout.DefaultTimeout})
	if ctx.Err() != nil || se.stopping.Load() {
		return nil
	}
	return err
}

// AnnounceShutdown makes all further answers carry Connection: close, so that
// callers reconnect to another instance.
func (se *Server) AnnounceShutdown() { se.stopping.Store(true) }

// Stop closes the listener and idle connections and waits for requests in
// flight. When serving ends, it cancels those that remain, and waits until their
// answers are written or writing ends.
func (se *Server) Stop(serving, writing context.Context) {
	se.stopping.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = se.server.ShutdownWithContext(writing)
	}()
	select {
	case <-done:
	case <-serving.Done():
		if inFlight := se.inFlight.Load(); inFlight > 0 {
			se.Log.Warn().Str("event", "stop_cuts").Int64("open", inFlight).Msg("ingress: shutdown timeout expired, canceling the requests in flight")
		}
		se.cancelAll(shutdown.ErrEnded)
		<-done
	}
}

// InFlight returns the number of requests that are being served.
func (se *Server) InFlight() int { return int(se.inFlight.Load()) }

// handle answers one request. A panic ends only this request.
func (se *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if cause := recover(); cause != nil {
			ctx.Response.Reset()
			refuse(ctx, &dispatch.Request{}, se.refusalOfPanic("", cause))
		}
	}()
	se.serve(ctx)
}

// refusalOfPanic logs a panic and returns the refusal of its request.
func (se *Server) refusalOfPanic(request string, cause any) *refusal.Error {
	err := fmt.Errorf("panic: %v", cause)
	se.Log.Error().Str("event", "panicked").Str("request", request).Err(err).Str("stack", string(debug.Stack())).Msg("ingress: a request panicked; only this request fails")
	return refusal.From(err)
}

// dispatch lets the dispatcher answer a request. A panic becomes a refusal.
func (se *Server) dispatch(ctx context.Context, re *dispatch.Request) (rp dispatch.Reply) {
	defer func() {
		if cause := recover(); cause != nil {
			rp = dispatch.Reply{Refusal: se.refusalOfPanic(re.ID, cause)}
		}
	}()
	return se.Dispatcher.Serve(ctx, re)
}

func (se *Server) serve(ctx *fasthttp.RequestCtx) {
	if inFlight := se.inFlight.Add(1); se.MaxInFlight > 0 && inFlight > se.MaxInFlight {
		se.inFlight.Add(-1)
		se.refuseUnread(ctx, refusal.New(refusal.QueueFull, "the instance serves as many requests of others as it takes"))
		return
	}
	body, err := intake.ReadBody(ctx, se.Memory, se.bodyLimit())
	if err != nil {
		se.inFlight.Add(-1)
		se.refuseUnread(ctx, intake.RefusalOfBody(err))
		return
	}
	intake.Served(ctx.Conn())
	re, er := se.decode(ctx, body.Joined())
	if er != nil {
		body.Free()
		se.inFlight.Add(-1)
		se.refuse(ctx, re, er)
		return
	}
	requestCtx, cancel := context.WithCancelCause(se.base)
	stopWatch := se.Hangups.Watch(ctx.Conn(), func() { cancel(errCallerDisconnected) })
	release := func() {
		stopWatch()
		cancel(nil)
		body.Free()
		se.inFlight.Add(-1)
	}
	rp := se.dispatch(requestCtx, re)
	if se.stopping.Load() {
		ctx.Response.SetConnectionClose()
	}
	switch {
	case rp.Refusal != nil:
		se.refuse(ctx, re, rp.Refusal)
	case rp.Events != nil:
		se.writeHead(ctx, rp)
		ctx.Response.SetBodyStream(se.eventBody(rp, release), -1)
		return
	default:
		se.writeHead(ctx, rp)
		if writeBody(ctx, rp, release) {
			return
		}
	}
	release()
}

// refuse writes the instance's own answer, with the ID of the request if IDHeader is set.
func (se *Server) refuse(ctx *fasthttp.RequestCtx, re *dispatch.Request, er *refusal.Error) {
	refuse(ctx, re, er)
	if se.IDHeader != "" {
		ctx.Response.Header.Set(se.IDHeader, re.ID)
	}
}

// bodyLimit returns the limit for the body of one request, in bytes.
func (se *Server) bodyLimit() int {
	limit := cmp.Or(se.MaxBodyBytes, DefaultMaxBodyBytes)
	if se.ConfiguredBodyBytes == nil {
		return limit
	}
	if configured, limited := se.ConfiguredBodyBytes(); limited {
		return min(limit, configured)
	}
	return limit
}

// refuseUnread refuses a request whose body was not read, and closes its connection.
func (se *Server) refuseUnread(ctx *fasthttp.RequestCtx, er *refusal.Error) {
	intake.MarkUnread(ctx)
	ctx.Response.SetConnectionClose()
	re, _ := se.decode(ctx, nil)
	se.refuse(ctx, re, er)
}

// decode decodes a request. A panic becomes a refusal.
func (se *Server) decode(ctx *fasthttp.RequestCtx, body []byte) (re *dispatch.Request, er *refusal.Error) {
	defer func() {
		if cause := recover(); cause != nil {
			re, er = &dispatch.Request{}, se.refusalOfPanic("", cause)
		}
	}()
	return se.Codec.Request(ctx, body, se.Clock.Now()), nil
}

// errCallerDisconnected is the cancellation cause of requests whose caller closed
// the connection.
var errCallerDisconnected = errors.New("ingress: the caller closed the connection")

func (se *Server) writeHead(ctx *fasthttp.RequestCtx, rp dispatch.Reply) {
	ctx.SetStatusCode(rp.Status)
	for _, he := range se.Codec.AnswerHeaders(rp.Headers) {
		ctx.Response.Header.Add(he.Name, he.Value)
	}
}

// writeBody makes a body the response. A body of more than a chunk stays counted in the
// memory of all bodies until the caller has read it. writeBody returns true then, and calls
// release when that is done.
func writeBody(ctx *fasthttp.RequestCtx, rp dispatch.Reply, release func()) bool {
	data, small := rp.Body.Small()
	switch {
	case ctx.IsHead():
		ctx.Response.SkipBody = true
		rp.Body.Free()
	case small:
		ctx.Response.SetBodyRaw(data)
		rp.Body.Free()
	default:
		ctx.Response.SetBodyStream(&plainBody{ReadCloser: rp.Body.Reader(), release: release}, rp.Body.Len())
		return true
	}
	return false
}

// plainBody is the response body of an answer that is not a stream.
type plainBody struct {
	io.ReadCloser
	release func()
	closed  bool
}

// Close implements io.Closer. The HTTP library calls it after the last read.
func (pb *plainBody) Close() error {
	if pb.closed {
		return nil
	}
	pb.closed = true
	pb.release()
	return pb.ReadCloser.Close()
}

// refuse writes the instance's own answer.
func refuse(ctx *fasthttp.RequestCtx, re *dispatch.Request, er *refusal.Error) {
	ru, status := er.Rule(), er.PromisedStatus()
	ctx.SetStatusCode(status)
	if ru.RetryAfter > 0 && refusal.ImpliesNotRun(status) {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(retryAfter(re, ru.RetryAfter).Seconds(), 'f', 3, 64))
	}
	ctx.SetContentType(refusal.ContentType)
	ctx.SetBody(er.ProblemOf(re.ID, "", status))
}

// retryAfterDivisor divides the caller's timeout to get the maximum Retry-After. A
// longer delay would leave too little time for the answer.
const retryAfterDivisor = 4

func retryAfter(re *dispatch.Request, pause time.Duration) time.Duration {
	if re.CallerTimeout > 0 {
		pause = min(pause, re.CallerTimeout/retryAfterDivisor)
	}
	return pause
}

// eventBody returns the response body of a stream. It is closed with release.
func (se *Server) eventBody(rp dispatch.Reply, release func()) *eventBody {
	if se.ReadAhead != nil {
		rp.Events = readahead.NewReader(rp.Events, se.ReadAhead)
	}
	return &eventBody{Reply: rp, release: release, log: se.Log}
}

// eventBody is the response body of a stream.
type eventBody struct {
	dispatch.Reply
	release func()
	log     zerolog.Logger
	closed  bool
}

// Read implements io.Reader. A panic ends the stream as incomplete.
func (eb *eventBody) Read(into []byte) (count int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			count, err = 0, fmt.Errorf("ingress: panic in a stream: %v", cause)
			eb.log.Error().Str("event", "panicked").Err(err).Str("stack", string(debug.Stack())).Msg("ingress: a stream panicked; only this stream ends")
		}
	}()
	return eb.Events.Read(into)
}

// Close implements io.Closer. The HTTP library calls it after the last read. The request
// is canceled first, so that no read of the stream blocks.
func (eb *eventBody) Close() error {
	if eb.closed {
		return nil
	}
	eb.closed = true
	eb.release()
	return eb.Events.Close()
}
