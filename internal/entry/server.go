// Package entry is the listener towards callers: it reads HTTP requests, runs
// them through the filter chain and writes refusals.
//
// # Usage
//
//	se := &entry.Server{Listener: ln, Configuration: &holder, Generations: gs, Calls: cs, ...}
//	err := se.Run(ctx)   // a controller.Controller
//	err = se.Stop(ctx)   // no new work; open answers finish or are handed over
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

	"filbertstall.example/filbertstall/internal/explain"
	"filbertstall.example/filbertstall/internal/filter"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/internal/steady"
	"filbertstall.example/filbertstall/pkg/kind"
)

// headerBytes bounds the header of a request.
const headerBytes = 16 << 10

// Server is the listener towards callers. Set the fields before Run.
type Server struct {
	Listener net.Listener
	// Instance is named in refusals.
	Instance string
	// Explain keeps why requests were refused; nil keeps nothing.
	Explain       *explain.Ring
	Configuration *snapshot.Holder[kind.Configuration]
	// CreateGeneration, ResumeGeneration and Call end the chain.
	CreateGeneration filter.Handler
	ResumeGeneration filter.Handler
	Call             filter.Handler
	// OpenStreams counts the answers that go on after their handler returned;
	// HandOver ends them with an event that tells how to resume.
	OpenStreams func() int
	HandOver    func() int
	// Hangups tells of callers that hung up; nil tells of none.
	Hangups *hangup.Watcher
	// Metrics serves GET /metrics.
	Metrics fasthttp.RequestHandler
	Scope   tally.Scope
	Clock   clockwork.Clock
	Log     zerolog.Logger
	// BodyBytes bounds a request's body.
	BodyBytes int
	// Timeout is the deadline of a request that states none; MaxTimeout
	// bounds what it may state.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// WriteTimeout is how long one write to a caller may block; zero means
	// 15 s.
	WriteTimeout time.Duration

	server   fasthttp.Server
	stopping atomic.Bool
	handling atomic.Int64
	// base ends, with a refusal as its cause, when waiting requests are refused.
	base     context.Context
	endWait  context.CancelCauseFunc
	refusals map[refusal.Reason]tally.Counter
	requests tally.Counter
	create   filter.Handler
	resume   filter.Handler
	call     filter.Handler
}

// Name implements controller.Controller.
func (se *Server) Name() string { return "entry" }

// Run serves until ctx ends.
func (se *Server) Run(ctx context.Context) error {
	se.prepare()
	stop := context.AfterFunc(ctx, func() { _ = se.Listener.Close() })
	defer stop()
	err := se.server.Serve(steady.Listener{Listener: se.Listener, Timeout: se.WriteTimeout})
	if ctx.Err() != nil || se.stopping.Load() {
		return nil
	}
	return err
}

func (se *Server) prepare() {
	se.refusals = metric.Reasons(se.Scope, "refusals", refusal.Reasons())
	se.requests = se.Scope.Counter("requests")
	if se.WriteTimeout == 0 {
		se.WriteTimeout = steady.DefaultTimeout
	}
	se.base, se.endWait = context.WithCancelCause(context.Background())
	chain := []filter.Filter{
		filter.Func(se.admitWhileRunning), filter.Func(se.attachConfiguration),
		filter.Func(authenticate), filter.Func(se.setDeadline), filter.Func(se.watchCaller), filter.Recover{},
	}
	se.create = filter.Chain(se.CreateGeneration, chain...)
	se.resume = filter.Chain(se.ResumeGeneration, chain...)
	se.call = filter.Chain(se.Call, chain...)
	se.server = fasthttp.Server{
		Handler: se.serve, ErrorHandler: se.unreadable, NoDefaultServerHeader: true, CloseOnShutdown: true,
		MaxRequestBodySize: se.BodyBytes, ReadBufferSize: headerBytes, IdleTimeout: idleTimeout,
		// A stream holds no read buffer while it is written.
		ReduceMemoryUsage: true,
	}
}

// idleTimeout closes kept-alive connections without requests.
const idleTimeout = 2 * time.Minute

// Ready tells whether the instance takes new work.
func (se *Server) Ready() bool {
	return !se.stopping.Load() && se.Configuration.Load() != nil
}

func (se *Server) serve(ctx *fasthttp.RequestCtx) {
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
	se.handling.Add(1)
	defer se.handling.Add(-1)
	ex := &filter.Exchange{HTTP: ctx, Context: se.base, ID: newID(), Arrived: se.Clock.Now()}
	if err := ha(ex); err != nil {
		er := refusal.From(err)
		se.Explain.Add(ex.ID, explain.Event{Step: explain.Answered, Reason: er.Error()})
		se.refuse(ctx, ex.ID, er)
	}
	ctx.Response.Header.Set(requestIDHeader, ex.ID)
}

// requestIDHeader names the request towards its caller, for explanations.
const requestIDHeader = "Request-Id"

func (se *Server) refuse(ctx *fasthttp.RequestCtx, id string, er *refusal.Error) {
	ru := er.Rule()
	se.refusals[er.Reason].Inc(1)
	if er.Reason == refusal.Internal {
		se.Log.Error().Err(er).Msg("entry: internal fault")
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(ru.Status)
	ctx.SetContentType(refusal.ContentType)
	if after := ru.RetryAfterHeader(); after != "" {
		ctx.Response.Header.Set("Retry-After", after)
	}
	ctx.SetBody(er.ProblemOf(id, se.Instance))
}

// unreadable answers a request that could not be read.
func (se *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	if co, ok := ctx.Conn().(*steady.Conn); ok {
		co.MarkUnread()
	}
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
