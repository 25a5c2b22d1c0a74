package standin

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/endpoint"
)

// Service is a plain service that records each call and echoes it in the answer. It
// deliberately does not deduplicate calls, so that a call that is sent twice is
// detected.
type Service struct {
	base
	// Name is the name of the service in answers.
	Name string
	// Delay is the duration of a call.
	Delay time.Duration

	running atomic.Int64
	started atomic.Int64
}

// serviceAnswer is the body of a service's answer.
type serviceAnswer struct {
	Service string `json:"service"`
	// Number is the number of calls that this endpoint has started, including
	// this one.
	Number int64  `json:"number"`
	Key    string `json:"key,omitempty"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
}

// Serve implements Handler.
func (se *Service) Serve(ctx *fasthttp.RequestCtx) {
	begun := time.Now()
	se.running.Add(1)
	defer se.running.Add(-1)
	number := se.started.Add(1)
	key := string(ctx.Request.Header.Peek(endpoint.KeyHeader))
	se.record(key, string(ctx.Path()), 0)
	se.crashOn(ctx.PostBody())
	time.Sleep(se.Delay)
	for se.silenced(begun) {
		time.Sleep(time.Minute)
	}
	writeJSON(ctx, serviceAnswer{
		Service: se.Name, Number: number, Key: key, Method: string(ctx.Method()),
		Path: string(ctx.Path()), Body: string(ctx.PostBody()),
	})
}

// Load implements Handler.
func (se *Service) Load() any {
	return endpoint.Load{BootID: bootID, Running: int(se.running.Load()), StartedTotal: se.started.Load()}
}
