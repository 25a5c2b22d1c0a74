// Package entry is the HTTP server for callers. It runs each request through the
// filter chain and writes refusals.
//
// # Usage
//
//	se := &entry.Server{
//		Listener: ln, Configuration: &holder, CreateGeneration: create, ResumeGeneration: resume, Call: serve,
//		Metrics: metrics, Scope: scope, Clock: clock, BodyBytes: 1 << 20, Timeout: time.Minute, MaxTimeout: time.Hour,
//	}
//	err := se.Run(ctx)              // implements controller.Controller
//	handedOver, err := se.Stop(ctx) // graceful shutdown, called from another goroutine
package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/explain"
	"filbertstall.example/filbertstall/internal/filter"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/intake"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/internal/writetimeout"
	"filbertstall.example/filbertstall/pkg/kind"
)

// maxHeaderBytes is the maximum size of the header of a request.
const maxHeaderBytes = 16 << 10

// Server is the HTTP server for callers. The fields must be set before Run.
type Server struct {
	Listener net.Listener
	// Instance is the name of this instance. It is reported in refusals.
	Instance string
	// Explain stores why requests were refused. If it is nil, nothing is stored.
	Explain       *explain.Ring
	Configuration *snapshot.Holder[kind.Configuration]
	// CreateGeneration, ResumeGeneration and Call serve the requests that have
	// passed the filter chain.
	CreateGeneration filter.Handler
	ResumeGeneration filter.Handler
	Call             filter.Handler
	// OpenStreams returns the number of open responses of generations, streamed or
	// not. Streams continue after their handler returned. HandOver ends these
	// responses, tells each caller how to resume, and returns their number. Both
	// may be nil.
	OpenStreams func() int
	HandOver    func() int
	// Hangups detects callers that close their connection. If it is nil, they are
	// not detected.
	Hangups *hangup.Watcher
	// Metrics serves GET /metrics.
	Metrics fasthttp.RequestHandler
	Scope   tally.Scope
	Clock   clockwork.Clock
	Log     zerolog.Logger
	// BodyBytes is the maximum size of the body of a request.
	BodyBytes int
	// Memory limits the bodies of all requests that are being served. If it is nil, they have
	// no common limit.
	Memory *buffer.Budget
	// Intake limits the connections, and the time in which a request arrives. If it is nil,
	// they have no limits.
	Intake *intake.Limiter
	// Timeout applies to requests without a Request-Timeout header. MaxTimeout is
	// the maximum that the header may ask for.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// WriteTimeout is how long one write to a caller may block. Zero means 15 s.
	WriteTimeout time.Duration

	server         fasthttp.Server
	stopping       atomic.Bool
	activeHandlers atomic.Int64
	// baseContext is the parent of the contexts of all requests. During a graceful
	// shutdown, cancelWaiting cancels it with a refusal as its cause.
	baseContext   context.Context
	cancelWaiting context.CancelCauseFunc
	refusals      map[refusal.Reason]tally.Counter
	requests      tally.Counter
	create        filter.Handler
	resume        filter.Handler
	call          filter.Handler
}

// Name implements controller.Controller.
func (se *Server) Name() string { return "entry" }

// Run serves requests until ctx ends or Stop is called.
func (se *Server) Run(ctx context.Context) error {
	se.prepare()
	stop := context.AfterFunc(ctx, func() { _ = se.Listener.Close() })
	defer stop()
	ln := se.Listener
	if se.Intake != nil {
		ln = se.Intake.Listen(ln)
	}
	err := se.server.Serve(writetimeout.Listener{Listener: ln, Timeout: se.WriteTimeout})
	if ctx.Err() != nil || se.stopping.Load() {
		return nil
	}
	return err
}

func (se *Server) prepare() {
	se.refusals = metric.Reasons(se.Scope, "refusals", refusal.Reasons())
	se.requests = se.Scope.Counter("requests")
	if se.WriteTimeout == 0 {
		se.WriteTimeout = writetimeout.DefaultTimeout
	}
	se.baseContext, se.cancelWaiting = context.WithCancelCause(context.Background())
	chain := []filter.Filter{
		filter.Func(se.refuseWhileStopping), filter.Func(se.attachConfiguration),
		filter.Func(authenticate), filter.Func(se.readBody), filter.Func(se.setDeadline), filter.Func(se.watchCaller), filter.Recover{},
	}
	se.create = filter.Chain(se.CreateGeneration, chain...)
	se.resume = filter.Chain(se.ResumeGeneration, chain...)
	se.call = filter.Chain(se.Call, chain...)
	se.server = fasthttp.Server{
		Handler: se.serve, ErrorHandler: se.handleReadError, NoDefaultServerHeader: true, CloseOnShutdown: true,
		MaxRequestBodySize: se.BodyBytes, ReadBufferSize: maxHeaderBytes, IdleTimeout: idleTimeout,
		// The body is read by readBody, so that its memory is counted while it arrives.
		StreamRequestBody: true, DisablePreParseMultipartForm: true,
		ReduceMemoryUsage: true, Logger: writetimeout.QuietLogger{},
	}
}

// idleTimeout is how long a keep-alive connection without requests stays open.
const idleTimeout = 2 * time.Minute

// Ready reports whether the instance accepts new requests. It is false without a
// configuration and during a graceful shutdown.
func (se *Server) Ready() bool {
	return !se.stopping.Load() && se.Configuration.Load() != nil
}

func (se *Server) serve(ctx *fasthttp.RequestCtx) {
	if !ctx.Request.IsBodyStream() {
		intake.Served(ctx.Conn())
	}
	path := string(ctx.Path())
	switch path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		se.writeReady(ctx)
	case "/metrics":
		se.Metrics(ctx)
	default:
		se.exchange(ctx, se.route(ctx, path))
	}
}

func (se *Server) writeReady(ctx *fasthttp.RequestCtx) {
	if !se.Ready() {
		ctx.Error("not ready\n", http.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (se *Server) route(ctx *fasthttp.RequestCtx, path string) filter.Handler {
	switch {
	case ctx.IsPost() && (path == "/v1/completions" || path == "/v1/chat/completions"):
		return se.create
	case ctx.IsGet() && strings.HasPrefix(path, "/v1/generations/") && strings.HasSuffix(path, "/events"):
		return se.resume
	case strings.HasPrefix(path, "/services/"):
		return se.call
	default:
		return func(*filter.Exchange) error {
			return refusal.New(refusal.NotFound, "no such path: "+string(ctx.Method())+" "+path)
		}
	}
}

func (se *Server) exchange(ctx *fasthttp.RequestCtx, ha filter.Handler) {
	se.requests.Inc(1)
	se.activeHandlers.Add(1)
	defer se.activeHandlers.Add(-1)
	ex := &filter.Exchange{HTTP: ctx, Context: se.baseContext, ID: newID(), Arrived: se.Clock.Now()}
	if err := ha(ex); err != nil {
		er := refusal.From(err)
		se.Explain.Add(ex.ID, explain.Event{Step: explain.Answered, Reason: er.Error()})
		se.refuse(ctx, ex.ID, er)
		intake.Refused(ctx)
	}
	ctx.Response.Header.Set(requestIDHeader, ex.ID)
}

// requestIDHeader is the response header with the ID of the request, by which an
// operator can look up the explanation.
const requestIDHeader = "Request-Id"

func (se *Server) refuse(ctx *fasthttp.RequestCtx, id string, er *refusal.Error) {
	ru := er.Rule()
	se.refusals[er.Reason].Inc(1)
	if er.Reason == refusal.Internal {
		se.Log.Error().Err(er).Msg("entry: request failed with an internal error")
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(ru.Status)
	ctx.SetContentType(refusal.ContentType)
	if after := ru.RetryAfterHeader(); after != "" {
		ctx.Response.Header.Set("Retry-After", after)
	}
	ctx.SetBody(er.ProblemOf(id, se.Instance, ru.Status))
}

// handleReadError answers a request that fasthttp could not read. It
// distinguishes the cases by the texts of fasthttp's errors.
func (se *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	intake.MarkUnread(ctx)
	if strings.Contains(err.Error(), "body size exceeds") {
		se.refuse(ctx, "", refusal.Wrap(refusal.TooLarge, "the body is too large", err))
		return
	}
	if strings.Contains(err.Error(), "small read buffer") {
		se.refuse(ctx, "", refusal.Wrap(refusal.TooLarge, "the header is over 16 KiB", err))
		return
	}
	se.refuse(ctx, "", refusal.Wrap(refusal.BadRequest, "the request is not readable HTTP", err))
}
