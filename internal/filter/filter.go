// Package filter defines the filter chain that each request of a caller passes
// through.
//
// A filter checks the request or sets fields of the Exchange, and calls the next
// handler. The handler at the end of the chain serves the request. Package entry
// writes an error that the chain returns as a refusal and counts it.
//
// # Usage
//
//	ha := filter.Chain(serve, filter.Recover{}, authenticate, deadline)
//	err := ha(&filter.Exchange{HTTP: ctx})
package filter

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Exchange is a request and its state in the filter chain.
type Exchange struct {
	// HTTP is the request and the response to fill.
	HTTP *fasthttp.RequestCtx
	// Context ends at the deadline, when the caller closes its connection, or
	// when a graceful shutdown refuses the requests that still wait.
	Context context.Context
	// Body is the body of the request. It must not be changed.
	Body []byte
	// ID identifies the request to its caller and in the explanation of a refusal.
	// The IDs of its requests for a place, which logs and explanations show, begin
	// with it.
	ID string
	// Arrived is the time at which the request was read.
	Arrived time.Time
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Configuration is the configuration that is used for the whole request.
	Configuration *kind.Configuration
	// Team is the team of the caller, set by authentication.
	Team kind.Team

	body *buffer.Buffer
}

// SetBody sets the body to that of a joined buffer, which FreeBody frees.
func (ex *Exchange) SetBody(bf *buffer.Buffer) { ex.body, ex.Body = bf, bf.Joined() }

// TakeBody returns a function that frees the body in place of FreeBody, for a response that
// is written after the handler has returned. It may be called more than once, but not
// concurrently.
func (ex *Exchange) TakeBody() (free func()) {
	bf := ex.body
	ex.body = nil
	return bf.Free
}

// FreeBody gives the memory of the body back, unless TakeBody was called.
func (ex *Exchange) FreeBody() { ex.body.Free() }

// Handler serves an exchange, or returns why it cannot. An error that is not a
// refusal counts as a refusal with reason Internal.
type Handler func(ex *Exchange) error

// Filter adds a step before a handler. Wrap returns a handler that does this step
// and then calls next, unless it refuses the request.
type Filter interface {
	Wrap(next Handler) Handler
}

// Func is an adapter that makes a function a Filter.
type Func func(next Handler) Handler

// Wrap implements Filter.
func (fu Func) Wrap(next Handler) Handler { return fu(next) }

// Chain wraps ha with the filters, of which the first is the outermost.
func Chain(ha Handler, filters ...Filter) Handler {
	for ix := len(filters) - 1; ix >= 0; ix-- {
		ha = filters[ix].Wrap(ha)
	}
	return ha
}

// Recover is a Filter that turns a panic of a handler into a refusal with reason
// Internal.
type Recover struct{}

// Wrap implements Filter.
func (Recover) Wrap(next Handler) Handler {
	return func(ex *Exchange) (err error) {
		defer func() {
			if cause := recover(); cause != nil {
				err = refusal.Wrap(refusal.Internal, "the instance met an unexpected fault", fmt.Errorf("panic: %v", cause))
			}
		}()
		return next(ex)
	}
}
