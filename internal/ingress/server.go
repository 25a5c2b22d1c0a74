package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/steady"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Codec reads a platform's form of requests.
type Codec interface {
	// Request reads a request. It keeps nothing of ctx.
	Request(ctx *fasthttp.RequestCtx, arrived time.Time) *dispatch.Request
	// AnswerHeaders returns the fields of an endpoint's answer that callers get.
	AnswerHeaders(list []upstream.Header) []upstream.Header
}

const (
	// headerBytes bounds a request's header, with room over what platforms allow.
	headerBytes = 32 << 10
	// bodyBytes bounds a request's body.
	bodyBytes = 64 << 20
	// readTimeout bounds the time from a request's first byte to its last.
	readTimeout = 30 * time.Second
	// idleTimeout is over what callers are told, so that they close first.
	idleTimeout = 75 * time.Second
)

// Server is the listener. Set the exported fields before Run.
type Server struct {
	Listener   net.Listener
	Codec      Codec
	Dispatcher *dispatch.Dispatcher
	Hangups    *hangup.Watcher
	Clock      clockwork.Clock
	Log        zerolog.Logger

	server   fasthttp.Server
	stopping atomic.Bool
	open     atomic.Int64
	base     context.Context
	cut      context.CancelCauseFunc
}

// Prepare must be called before Run and Stop.
func (se *Server) Prepare() {
	se.base, se.cut = context.WithCancelCause(context.Background())
	se.server = fasthttp.Server{
		Handler: se.serve, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		MaxRequestBodySize: bodyBytes, ReadBufferSize: headerBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		CloseOnShutdown: true, DisablePreParseMultipartForm: true, Logger: steady.QuietLogger{},
	}
}

// Name implements controller.Controller.
func (se *Server) Name() string { return "ingress" }

// Run serves until ctx ends or Stop is called.
func (se *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = se.Listener.Close() })
	defer stop()
	err := se.server.Serve(steady.Listener{Listener: se.Listener, Timeout: steady.DefaultTimeout})
	if ctx.Err() != nil || se.stopping.Load() {
		return nil
	}
	return err
}

// errStopping ends what is still open when the time to stop is over.
var errStopping = errors.New("ingress: the instance stops")

// Announce makes all answers from now on ask callers to connect anew.
func (se *Server) Announce() { se.stopping.Store(true) }

// Stop closes the listener and idle connections and waits for open answers.
// What is open when ctx ends is cut.
func (se *Server) Stop(ctx context.Context) {
	se.stopping.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = se.server.ShutdownWithContext(ctx)
	}()
	<-done
	if open := se.open.Load(); open > 0 {
		se.Log.Warn().Str("event", "stop_cuts").Int64("open", open).Msg("ingress: answers were still open at the end of the stop")
	}
	se.cut(errStopping)
}

// Open returns how many requests are open.
func (se *Server) Open() int { return int(se.open.Load()) }

func (se *Server) serve(ctx *fasthttp.RequestCtx) {
	re := se.Codec.Request(ctx, se.Clock.Now())
	se.open.Add(1)
	within, cancel := context.WithCancelCause(se.base)
	stopWatch := se.Hangups.Watch(ctx.Conn(), func() { cancel(errCallerLeft) })
	end := func() {
		stopWatch()
		cancel(nil)
		se.open.Add(-1)
	}
	rp := se.Dispatcher.Serve(within, re)
	if se.stopping.Load() {
		ctx.Response.SetConnectionClose()
	}
	switch {
	case rp.Refusal != nil:
		refuse(ctx, re, rp.Refusal)
	case rp.Events != nil:
		se.writeHead(ctx, rp)
		ctx.Response.SetBodyStream(&eventBody{Reply: rp, end: end}, -1)
		return
	default:
		se.writeHead(ctx, rp)
		writeBody(ctx, rp)
	}
	end()
}

// errCallerLeft is the cause of the end of a request whose caller hung up.
var errCallerLeft = errors.New("ingress: the caller left")

func (se *Server) writeHead(ctx *fasthttp.RequestCtx, rp dispatch.Reply) {
	ctx.SetStatusCode(rp.Status)
	for _, he := range se.Codec.AnswerHeaders(rp.Headers) {
		ctx.Response.Header.Add(he.Name, he.Value)
	}
}

func writeBody(ctx *fasthttp.RequestCtx, rp dispatch.Reply) {
	if ctx.IsHead() {
		ctx.Response.SkipBody = true
		return
	}
	ctx.Response.SetBodyRaw(rp.Body)
}

// refuse writes the instance's own answer. A status that promises that the
// request has not run is used only where the outcome proves it.
func refuse(ctx *fasthttp.RequestCtx, re *dispatch.Request, er *refusal.Error) {
	ru := er.Rule()
	status := ru.Status
	if ru.Outcome != refusal.NotRun && promises(status) {
		status = http.StatusBadGateway
	}
	ctx.SetStatusCode(status)
	if ru.RetryAfter > 0 && promises(status) {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(retryAfter(re, ru.RetryAfter).Seconds(), 'f', 3, 64))
	}
	ctx.SetContentType(refusal.ContentType)
	ctx.SetBody(er.ProblemOf(re.ID, ""))
}

// promises tells whether a status says that the request never ran.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// retryShare is the part of a caller's time that a pause may take; a longer
// one leaves it too little for the answer.
const retryShare = 4

func retryAfter(re *dispatch.Request, pause time.Duration) time.Duration {
	if re.Budget > 0 {
		pause = min(pause, re.Budget/retryShare)
	}
	return pause
}

// eventBody is a stream's body on its way to the caller.
type eventBody struct {
	dispatch.Reply
	end  func()
	over bool
}

// Read implements io.Reader.
func (eb *eventBody) Read(into []byte) (int, error) { return eb.Events.Read(into) }

// Close implements io.Closer. The library calls it behind the last read.
func (eb *eventBody) Close() error {
	if eb.over {
		return nil
	}
	eb.over = true
	err := eb.Events.Close()
	eb.end()
	return err
}
