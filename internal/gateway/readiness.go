package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/intake"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/writetimeout"
)

// readiness decides the answer to the platform's readiness check.
type readiness struct {
	state    *routing.State
	roster   *roster.Roster
	maxAges  func() dispatch.MaxAges
	log      zerolog.Logger
	stopping atomic.Bool
	// answered is the last answer, for the log.
	answered atomic.Bool
}

// check returns the answer to a readiness check and logs it if it has changed.
func (re *readiness) check() bool {
	ready := re.ready()
	if re.answered.Swap(ready) != ready {
		age, _ := re.state.Age()
		re.log.Info().Str("event", "readiness").Bool("ready", ready).Bool("stopping", re.stopping.Load()).Dur("proof_age", age).Int("endpoints", re.roster.View().Len()).
			Msg("gateway: answer to the readiness check changed")
	}
	return ready
}

// ready reports whether requests can be served: the store has confirmed the
// configuration recently enough for accepting keys, at least one endpoint is
// known, and the instance is not shutting down.
func (re *readiness) ready() bool {
	age, confirmed := re.state.Age()
	return !re.stopping.Load() && confirmed && age <= re.maxAges().Key && re.roster.View().Len() > 0
}

// auxiliaryServer serves the readiness check or the metrics on a listener of its
// own.
type auxiliaryServer struct {
	name     string
	listener net.Listener
	handler  fasthttp.RequestHandler
}

const (
	// auxiliaryBodyBytes limits the body of a request, which is not used.
	auxiliaryBodyBytes = 4 << 10
	// auxiliaryIdleTimeout is how long a connection without requests stays open.
	auxiliaryIdleTimeout = 75 * time.Second
)

// Name implements controller.Controller.
func (as *auxiliaryServer) Name() string { return as.name }

// serve answers one request.
func (as *auxiliaryServer) serve(ctx *fasthttp.RequestCtx) {
	intake.Served(ctx.Conn())
	as.handler(ctx)
}

// Run implements controller.Controller.
func (as *auxiliaryServer) Run(ctx context.Context) error {
	se := fasthttp.Server{
		Handler: as.serve, NoDefaultServerHeader: true, MaxRequestBodySize: auxiliaryBodyBytes, IdleTimeout: auxiliaryIdleTimeout,
		ReduceMemoryUsage: true, Logger: writetimeout.QuietLogger{},
	}
	stop := context.AfterFunc(ctx, func() { _ = as.listener.Close() })
	defer stop()
	err := se.Serve(writetimeout.Listener{Listener: as.listener, Timeout: writetimeout.DefaultTimeout})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const (
	// expiryInterval is the time between two checks for expired state.
	expiryInterval = 200 * time.Millisecond
	// ticksPerPrune is the number of checks per garbage collection of idle
	// connections and of the accounts of removed endpoints.
	ticksPerPrune = 10
)

// expirer is the controller that removes expired state: roster entries, idle
// connections and the accounts of endpoints that no longer exist.
type expirer struct{ gw *Gateway }

// Name implements controller.Controller.
func (*expirer) Name() string { return "janitor" }

// Run implements controller.Controller.
func (ex *expirer) Run(ctx context.Context) error {
	ti := ex.gw.Clock.NewTicker(expiryInterval)
	defer ti.Stop()
	for tick := 1; ; tick++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
		}
		ex.gw.roster.RemoveExpired()
		ex.gw.peers.Check()
		ex.gw.slots.Check()
		ex.gw.inProgress.Report()
		if tick%ticksPerPrune == 0 {
			ex.gw.pool.Prune()
			ex.gw.forwardPool.Prune()
			ex.gw.forgetEndpoints()
		}
	}
}
