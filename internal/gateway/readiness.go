package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/steady"
)

// readiness decides whether the platform should send callers here.
type readiness struct {
	state    *routing.State
	roster   *roster.Roster
	ages     func() dispatch.Ages
	stopping atomic.Bool
}

// ready tells whether requests can be served: a configuration is proved, some
// endpoint is known, and the instance does not stop.
func (re *readiness) ready() bool {
	age, proven := re.state.Age()
	return !re.stopping.Load() && proven && age <= re.ages().Key && re.roster.View().Len() > 0
}

// plainServer serves small answers on a listener of its own.
type plainServer struct {
	name     string
	listener net.Listener
	handler  fasthttp.RequestHandler
}

// Name implements controller.Controller.
func (ps *plainServer) Name() string { return ps.name }

// Run implements controller.Controller.
func (ps *plainServer) Run(ctx context.Context) error {
	se := fasthttp.Server{Handler: ps.handler, NoDefaultServerHeader: true, Logger: steady.QuietLogger{}}
	stop := context.AfterFunc(ctx, func() { _ = ps.listener.Close() })
	defer stop()
	err := se.Serve(ps.listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const (
	// tickInterval is how often state that times out is looked at.
	tickInterval = 200 * time.Millisecond
	// pruneTicks is how many ticks lie between two rounds of tidying.
	pruneTicks = 10
)

// janitor lets go of what has timed out.
type janitor struct{ gw *Gateway }

// Name implements controller.Controller.
func (*janitor) Name() string { return "janitor" }

// Run implements controller.Controller.
func (ja *janitor) Run(ctx context.Context) error {
	ti := ja.gw.Clock.NewTicker(tickInterval)
	defer ti.Stop()
	for tick := 1; ; tick++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
		}
		ja.gw.roster.Tick()
		if tick%pruneTicks == 0 {
			ja.gw.pool.Prune()
			vi := ja.gw.roster.View()
			ja.gw.board.Forget(func(id string) bool { _, known := vi.Get(id); return known })
		}
	}
}
