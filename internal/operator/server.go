// Package operator serves the HTTP API for operators, the health checks and the
// metrics.
//
// # Usage
//
//	se := &operator.Server{Listener: ln, Configuration: &holder, Ready: ready}
//	err := se.Run(ctx) // a controller.Controller
//
// All paths except the health checks and the metrics require the bearer token of
// an operator.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/intake"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/internal/writetimeout"
	"filbertstall.example/filbertstall/pkg/kind"
)

const (
	// maxBodyBytes is the maximum size of the body of a request.
	maxBodyBytes = 4 << 20
	// idleTimeout is how long a keep-alive connection without requests stays open.
	idleTimeout = 2 * time.Minute
)

// Server serves the operator API. Set the fields before Run.
type Server struct {
	Listener      net.Listener
	Configuration *snapshot.Holder[kind.Configuration]
	// Ready reports whether the instance accepts new work. It decides the answer
	// to GET /readyz.
	Ready func() bool
	// Metrics serves GET /metrics.
	Metrics fasthttp.RequestHandler
	// Instance and Zone are the name and the zone of this instance, for GET
	// /status.
	Instance string
	Zone     string
	// Intake limits the connections, and the time in which a request arrives. If it is nil,
	// they have no limits.
	Intake *intake.Limiter
	// Memory limits the bodies of all requests that are being served. If it is nil, they have
	// no common limit.
	Memory *buffer.Budget
	// Routes are the other routes, keyed by method and path, such as "GET /fleet".
	Routes map[string]Route

	server fasthttp.Server
}

// Request is an authenticated request of an operator. Team is the team of the
// bearer token, and Configuration is the one in force when the request arrived.
type Request struct {
	HTTP *fasthttp.RequestCtx
	// Body is valid until the route returns.
	Body          []byte
	Team          kind.Team
	Configuration *kind.Configuration
}

// Route is one route of the operator API.
type Route struct {
	// Role is the role that the operator's team must have.
	Role kind.Role
	// Serve returns the value to send as JSON, or a *refusal.Error to send as a
	// problem document.
	Serve func(re Request) (any, error)
}

// Name implements controller.Controller.
func (se *Server) Name() string { return "operator" }

// Run serves until ctx ends.
func (se *Server) Run(ctx context.Context) error {
	se.server = fasthttp.Server{
		Handler: se.serve, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes, IdleTimeout: idleTimeout,
		// The body is read by answer, so that its memory is counted while it arrives.
		StreamRequestBody: true, DisablePreParseMultipartForm: true,
		ReduceMemoryUsage: true, Logger: writetimeout.QuietLogger{},
	}
	stop := context.AfterFunc(ctx, func() { _ = se.Listener.Close() })
	defer stop()
	ln := se.Listener
	if se.Intake != nil {
		ln = se.Intake.Listen(ln)
	}
	err := se.server.Serve(writetimeout.Listener{Listener: ln, Timeout: writetimeout.DefaultTimeout})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (se *Server) serve(ctx *fasthttp.RequestCtx) {
	if !ctx.Request.IsBodyStream() {
		intake.Served(ctx.Conn())
	}
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if !se.Ready() {
			ctx.Error("not ready\n", http.StatusServiceUnavailable)
		}
	case "/metrics":
		se.Metrics(ctx)
	default:
		value, err := se.answer(ctx)
		if err != nil {
			writeRefusal(ctx, refusal.From(err))
			intake.Refused(ctx)
			return
		}
		writeJSON(ctx, value)
	}
}

func (se *Server) answer(ctx *fasthttp.RequestCtx) (any, error) {
	ro, found := se.Routes[string(ctx.Method())+" "+string(ctx.Path())]
	if string(ctx.Path()) == "/status" {
		ro, found = Route{Role: kind.RoleView, Serve: se.status}, true
	}
	if !found {
		return nil, refusal.New(refusal.NotFound, "no such path: "+string(ctx.Method())+" "+string(ctx.Path()))
	}
	cf := se.Configuration.Load()
	if cf == nil {
		return nil, refusal.New(refusal.NoConfiguration, "this instance has no configuration yet")
	}
	token, found := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !found {
		return nil, refusal.New(refusal.Unauthenticated, "the Authorization header must be: Bearer TOKEN")
	}
	te, known := cf.TeamByToken(token)
	if !known {
		return nil, refusal.New(refusal.Unauthenticated, "the bearer token belongs to nobody")
	}
	if !te.May(ro.Role) {
		return nil, refusal.New(refusal.Forbidden, "this needs the role "+string(ro.Role))
	}
	bf, err := intake.ReadBody(ctx, se.Memory, maxBodyBytes)
	if err != nil {
		return nil, intake.RefusalOfBody(err)
	}
	defer bf.Free()
	intake.Served(ctx.Conn())
	return ro.Serve(Request{HTTP: ctx, Body: bf.Joined(), Team: te, Configuration: cf})
}

// Status is the answer to GET /status.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	// Version is the version of the configuration in force on this instance.
	Version int64 `json:"version"`
}

func (se *Server) status(re Request) (any, error) {
	return Status{Instance: se.Instance, Zone: se.Zone, Ready: se.Ready(), Version: re.Configuration.Version()}, nil
}

func writeRefusal(ctx *fasthttp.RequestCtx, er *refusal.Error) {
	ctx.SetStatusCode(er.Rule().Status)
	ctx.SetContentType(refusal.ContentType)
	ctx.SetBody(er.Problem())
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeRefusal(ctx, refusal.From(err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
