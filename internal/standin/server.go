package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Mode is a fault mode of a stand-in.
type Mode string

// The modes of POST /standin/faults.
const (
	// ModeNone serves requests normally.
	ModeNone Mode = "none"
	// ModeDown closes connections without an answer.
	ModeDown Mode = "down"
	// ModeSlow delays each answer, and each write to a stream, by 500 ms.
	ModeSlow Mode = "slow"
	// ModeSilent stops the streams of an engine and the answers of a service to
	// requests that were received before the fault, without closing their
	// connections. They do not continue when the fault ends.
	ModeSilent Mode = "silent"
	// ModeCrash exits the process, at once or when a request matches.
	ModeCrash Mode = "crash"
	// ModeLoseAnswer executes requests and closes the connection without an
	// answer.
	ModeLoseAnswer Mode = "lose_answer"
	// ModeCold makes an engine cold.
	ModeCold Mode = "cold"
)

// slowDelay is the delay of ModeSlow.
const slowDelay = 500 * time.Millisecond

// crashExitCode is the exit code of a stand-in in ModeCrash.
const crashExitCode = 3

// Fault is the body of POST /standin/faults.
type Fault struct {
	Mode Mode `json:"mode"`
	// For is the duration of the fault in the format of time.ParseDuration. If it
	// is empty, the fault lasts until the next one is set.
	For string `json:"for,omitempty"`
	// Match delays ModeCrash until a generation request or a service call whose
	// body contains it. If it is empty, the process exits immediately.
	Match string `json:"match,omitempty"`
}

// Call is an element of the answer to GET /standin/calls. Key is the
// idempotency key of a call or the ID of a generation, Offset is the number of
// tokens that the caller of a generation already has, and At is a time in RFC
// 3339 format.
type Call struct {
	Key    string `json:"key"`
	Path   string `json:"path"`
	Offset int64  `json:"offset"`
	At     string `json:"at"`
}

// Handler is a stand-in that Serve can run.
type Handler interface {
	// Serve answers a request of the published protocol.
	Serve(ctx *fasthttp.RequestCtx)
	// Load answers GET /standin/load.
	Load() any
	shared() *base
}

// base has the parts that all stand-ins share: the fault mode and the record of
// calls.
type base struct {
	mu    sync.Mutex
	fault Fault
	// until is the end of the fault, zero if it has none.
	until time.Time
	// silentSince is the time at which ModeSilent was last set.
	silentSince time.Time
	calls       []Call
	// onCold is called when ModeCold is set. It may be nil.
	onCold func()
}

func (ba *base) shared() *base { return ba }

func (ba *base) currentFault() Fault {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if !ba.until.IsZero() && time.Now().After(ba.until) {
		return Fault{Mode: ModeNone}
	}
	return ba.fault
}

func (ba *base) setFault(fa Fault) error {
	var lasts time.Duration
	if fa.For != "" {
		var err error
		if lasts, err = time.ParseDuration(fa.For); err != nil {
			return err
		}
	}
	ba.mu.Lock()
	ba.fault = fa
	ba.until = time.Time{}
	if lasts > 0 {
		ba.until = time.Now().Add(lasts)
	}
	if fa.Mode == ModeSilent {
		ba.silentSince = time.Now()
	}
	ba.mu.Unlock()
	if fa.Mode == ModeCold && ba.onCold != nil {
		ba.onCold()
	}
	if fa.Mode == ModeCrash && fa.Match == "" {
		os.Exit(crashExitCode)
	}
	return nil
}

// silenced reports whether ModeSilent was set after a request that was received at
// begun, so that its answer must stop.
func (ba *base) silenced(begun time.Time) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return begun.Before(ba.silentSince)
}

// record adds a call to the answer to GET /standin/calls.
func (ba *base) record(key, path string, offset int64) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.calls = append(ba.calls, Call{Key: key, Path: path, Offset: offset, At: time.Now().UTC().Format(time.RFC3339Nano)})
}

// crashOn exits the process if ModeCrash is set and the body contains its match.
func (ba *base) crashOn(body []byte) {
	fa := ba.currentFault()
	if fa.Mode == ModeCrash && fa.Match != "" && strings.Contains(string(body), fa.Match) {
		os.Exit(crashExitCode)
	}
}

// Serve answers requests until the listener is closed.
func Serve(ln net.Listener, ha Handler) error {
	server := &fasthttp.Server{
		Handler:               func(ctx *fasthttp.RequestCtx) { route(ctx, ha) },
		NoDefaultServerHeader: true, StreamRequestBody: false, MaxRequestBodySize: 16 << 20,
	}
	return server.Serve(ln)
}

func route(ctx *fasthttp.RequestCtx, ha Handler) {
	switch string(ctx.Path()) {
	case "/standin/calls":
		ba := ha.shared()
		ba.mu.Lock()
		list := append([]Call{}, ba.calls...)
		ba.mu.Unlock()
		writeJSON(ctx, list)
	case "/standin/load":
		writeJSON(ctx, ha.Load())
	case "/standin/faults":
		var fa Fault
		err := json.Unmarshal(ctx.PostBody(), &fa)
		if err == nil {
			err = ha.shared().setFault(fa)
		}
		if err != nil {
			ctx.Error(err.Error(), http.StatusBadRequest)
		}
	default:
		serveWithFault(ctx, ha)
	}
}

func serveWithFault(ctx *fasthttp.RequestCtx, ha Handler) {
	switch ha.shared().currentFault().Mode {
	case ModeDown:
		hangUp(ctx)
		return
	case ModeSlow:
		time.Sleep(slowDelay)
	case ModeLoseAnswer:
		ha.Serve(ctx)
		hangUp(ctx)
		return
	}
	ha.Serve(ctx)
}

// hangUp closes the connection without sending an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.Response.ResetBody()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
