package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"time"

	"filbertstall.example/filbertstall/internal/filter"
	"filbertstall.example/filbertstall/internal/intake"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

func newID() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// refuseWhileStopping refuses new requests once the graceful shutdown has begun.
func (se *Server) refuseWhileStopping(next filter.Handler) filter.Handler {
	return func(ex *filter.Exchange) error {
		if se.stopping.Load() {
			return refusal.New(refusal.Stopping, "this instance stops; send the request again")
		}
		return next(ex)
	}
}

// attachConfiguration attaches the current configuration, which the request uses
// until it ends even if a newer one arrives.
func (se *Server) attachConfiguration(next filter.Handler) filter.Handler {
	return func(ex *filter.Exchange) error {
		ex.Configuration = se.Configuration.Load()
		if ex.Configuration == nil {
			return refusal.New(refusal.NoConfiguration, "this instance has no configuration yet")
		}
		return next(ex)
	}
}

// authenticate sets the team to which the bearer token belongs. Tokens of
// operators are refused.
func authenticate(next filter.Handler) filter.Handler {
	return func(ex *filter.Exchange) error {
		header := string(ex.HTTP.Request.Header.Peek("Authorization"))
		token, found := strings.CutPrefix(header, "Bearer ")
		if !found {
			return refusal.New(refusal.Unauthenticated, "the Authorization header must be: Bearer TOKEN")
		}
		te, known := ex.Configuration.TeamByToken(token)
		if !known {
			return refusal.New(refusal.Unauthenticated, "the bearer token belongs to no team")
		}
		if !te.May(kind.RoleCaller) {
			return refusal.New(refusal.Forbidden, "the bearer token is an operator's; it sends no requests")
		}
		ex.Team = te
		return next(ex)
	}
}

// readBody reads the body of the request. It frees it when the handler returns, unless a
// response that goes on has taken it.
func (se *Server) readBody(next filter.Handler) filter.Handler {
	return func(ex *filter.Exchange) error {
		bf, err := intake.ReadBody(ex.HTTP, se.Memory, se.BodyBytes)
		if err != nil {
			return intake.RefusalOfBody(err)
		}
		intake.Served(ex.HTTP.Conn())
		ex.SetBody(bf)
		defer ex.FreeBody()
		ex.Arrived = se.Clock.Now()
		return next(ex)
	}
}

// setDeadline sets the deadline of the exchange from the Request-Timeout header,
// a number of seconds that is limited to MaxTimeout. Without the header the
// deadline is Timeout after arrival.
func (se *Server) setDeadline(next filter.Handler) filter.Handler {
	return func(ex *filter.Exchange) error {
		timeout := se.Timeout
		if text := string(ex.HTTP.Request.Header.Peek("Request-Timeout")); text != "" {
			seconds, err := strconv.ParseFloat(text, 64)
			if err != nil || !(seconds > 0) {
				return refusal.New(refusal.BadRequest, "Request-Timeout must be a number of seconds above 0")
			}
			timeout = min(time.Duration(min(seconds, se.MaxTimeout.Seconds())*float64(time.Second)), se.MaxTimeout)
		}
		ex.Deadline = ex.Arrived.Add(timeout)
		ctx, cancel := context.WithDeadline(ex.Context, ex.Deadline)
		defer cancel()
		ex.Context = ctx
		return next(ex)
	}
}

// watchCaller cancels the context of the exchange when the caller closes its
// connection. Handlers report a canceled context as DeadlinePassed. Such a refusal
// is replaced by the actual cause, which is that the caller hung up or that the
// instance is shutting down.
func (se *Server) watchCaller(next filter.Handler) filter.Handler {
	return func(ex *filter.Exchange) error {
		ctx, cancel := context.WithCancelCause(ex.Context)
		defer cancel(nil)
		ex.Context = ctx
		hungUp := refusal.New(refusal.CallerGone, "the caller hung up before it got a place")
		stop := se.Hangups.Watch(ex.HTTP.Conn(), func() { cancel(hungUp) })
		defer stop()
		err := next(ex)
		var cause *refusal.Error
		if err == nil || !errors.As(context.Cause(ctx), &cause) {
			return err
		}
		er := refusal.From(err)
		if er.Reason != refusal.DeadlinePassed {
			return err
		}
		named := *cause
		named.Dispatched = er.Dispatched
		return &named
	}
}
