package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/forwarding"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/ingress"
	"filbertstall.example/filbertstall/internal/upstream"
)

// maxForwarded is the number of requests of other instances that an instance serves at
// the same time. Those beyond are refused at once, and may go to a further instance.
const maxForwarded = 256

// forwardedCodec decodes the requests that other instances forward.
type forwardedCodec struct{ Codec }

// Request implements ingress.Codec.
func (fc forwardedCodec) Request(ctx *fasthttp.RequestCtx, body []byte, arrived time.Time) *dispatch.Request {
	re := fc.Codec.Request(ctx, body, arrived)
	re.Forwarded = true
	return re
}

// buildForwarding lets other instances serve requests whose endpoints this instance
// cannot reach, and serves theirs. It returns the controllers that are needed for it.
func (gw *Gateway) buildForwarding(li listeners, di *dispatch.Dispatcher, hangups *hangup.Watcher, takes func(string) bool) []controller.Controller {
	gw.forwardPool = upstream.Pool{IDHeader: gw.Adapter.IDHeader, Clock: gw.Clock, OnSkip: gw.logSkipped}
	di.Forwarder = &forwarding.Forwarder{
		Pool: &gw.forwardPool, Encode: gw.Adapter.Codec.Forward, Self: gw.Settings.member(), Members: &gw.members, Takes: takes, Paths: &gw.paths, Boot: gw.Boot,
	}
	if li.forwards == nil {
		return nil
	}
	gw.forwards = &ingress.Server{
		Listener: li.forwards, Codec: forwardedCodec{gw.Adapter.Codec}, Dispatcher: di, Hangups: hangups, Clock: gw.Clock, Log: gw.Log, IDHeader: gw.Adapter.IDHeader, Memory: gw.memory.bodies, MaxBodyBytes: gw.memory.maxBody, ConfiguredBodyBytes: gw.bodyBytes, MaxInFlight: maxForwarded,
	}
	gw.forwards.Intake = gw.newIntake("forwards", gw.memory.forwards, gw.Settings.maxFiles()/forwardsFilesDivisor)
	gw.forwards.Prepare()
	return []controller.Controller{gw.forwards}
}
