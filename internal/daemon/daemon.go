// Package daemon assembles an entry instance from its settings and runs it.
//
// # Usage
//
//	da := &daemon.Daemon{Settings: se, Log: log, Clock: clockwork.NewRealClock(), Ready: printReady}
//	err := da.Run(ctx) // runs until ctx ends, then shuts down gracefully
package daemon

import (
	"context"
	"encoding/hex"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"filbertstall.example/filbertstall/internal/allocation"
	"filbertstall.example/filbertstall/internal/call"
	"filbertstall.example/filbertstall/internal/control"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/entry"
	"filbertstall.example/filbertstall/internal/explain"
	"filbertstall.example/filbertstall/internal/generation"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/operator"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/record"
	"filbertstall.example/filbertstall/internal/retry"
	"filbertstall.example/filbertstall/internal/setting"
	"filbertstall.example/filbertstall/internal/shutdown"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/internal/suspicion"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Report holds the name, zone, process ID and listener addresses of an instance.
// Caller and Operator are URLs, and Peer is an IP address and port. The command
// serve prints a Report as one JSON line when all listeners are open.
type Report struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
	PID      int    `json:"pid"`
}

// Daemon is one entry instance. Set the fields before Run.
type Daemon struct {
	Settings setting.Settings
	Log      zerolog.Logger
	Clock    clockwork.Clock
	// Ready is called once all listeners are open. It may be nil.
	Ready func(Report)

	configuration snapshot.Holder[kind.Configuration]
	root          *metric.Root
	entry         *entry.Server
	control       *control.Control
	allocation    *allocation.Granter
	members       *allocation.Poller
	suspicion     *suspicion.Registry
	shutdown      shutdown.Schedule
	explain       *explain.Ring
	// requestStop starts the graceful shutdown.
	requestStop context.CancelFunc
}

// Run runs the instance until ctx ends, a plan stops the instance or a controller
// fails. In the first two cases, it shuts down gracefully: it accepts no new work
// and waits for open responses until the stop timeout of the settings. It then
// refuses the requests that are still queued and hands over the streams that are
// still open.
func (da *Daemon) Run(ctx context.Context) error {
	li, err := da.listen()
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	ctx, da.requestStop = context.WithCancel(ctx)
	defer da.requestStop()
	da.root = metric.NewRoot()
	defer func() { _ = da.root.Close() }()
	controllers, err := da.build(li)
	if err != nil {
		return err
	}
	if da.Ready != nil {
		da.Ready(da.report(li))
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	unregister := context.AfterFunc(ctx, func() {
		da.shutDown()
		cancel()
	})
	defer unregister()
	gr := controller.Group{Controllers: controllers}
	return gr.Run(runCtx)
}

// shutDown refuses new requests, announces the stop and releases the leases at
// once, because peers or a store that do not answer must not delay the refusals.
// The order is of no importance: requests in progress have their places already,
// and those that wait ask the holders, as they do while another instance stops.
func (da *Daemon) shutDown() {
	da.Log.Info().Msg("daemon: shutting down")
	timeout := time.Duration(da.Settings.Limits.StopTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	now := da.Clock.Now()
	da.shutdown.Start(shutdown.Period{Begin: now, Accepting: now, End: now.Add(timeout)})
	var left sync.WaitGroup
	left.Go(func() { da.control.Leave(ctx) })
	left.Go(func() { da.allocation.Leave(ctx) })
	handedOver, err := da.entry.Stop(ctx)
	left.Wait()
	if err != nil {
		da.Log.Warn().Err(err).Msg("daemon: graceful shutdown incomplete")
	}
	da.Log.Info().Int("streams_handed_over", handedOver).Msg("daemon: stopped")
}

func (da *Daemon) report(li listeners) Report {
	return Report{
		Name: da.Settings.Name, Zone: da.Settings.Zone, PID: os.Getpid(),
		Caller:   da.Settings.Caller.Scheme() + li.caller.Addr().String(),
		Operator: da.Settings.Operator.Scheme() + li.operator.Addr().String(),
		Peer:     li.peer.Addr().String(),
	}
}

// build creates the components of the instance and returns its controllers.
func (da *Daemon) build(li listeners) ([]controller.Controller, error) {
	key, err := hex.DecodeString(da.Settings.ResumeKey)
	if err != nil {
		return nil, err
	}
	limits := da.Settings.Limits
	guard := &platform.Guard{Store: &platform.HTTPStore{URL: da.Settings.Platform.URL}, Clock: da.Clock, Scope: da.root.Scope}
	client := &endpoint.Client{IdleTimeout: time.Duration(limits.IdleTimeout)}
	da.control = &control.Control{
		Self:  member.Member{Name: da.Settings.Name, Zone: da.Settings.Zone, Peer: li.peer.Addr().String(), Started: da.Clock.Now()},
		Store: guard.For(platform.ClassConfiguration), Caller: &peer.Client{TLS: li.peerTLS}, Holder: &da.configuration, Clock: da.Clock, Log: da.Log, Scope: da.root.Scope,
		Seeds: da.Settings.Peers, Stop: da.requestStop,
	}
	da.control.Build()
	granter := da.control.CountGrants(da.buildAllocation(li, guard, client))
	metrics := fasthttpadaptor.NewFastHTTPHandler(da.root.Handler)
	hangups := &hangup.Watcher{Clock: da.Clock}
	retries := &retry.Policy{Scope: da.root.Scope}
	generations := &generation.Handler{
		Granter: granter, Client: client, Tokens: generation.Tokens{Key: key}, Clock: da.Clock, Log: da.Log, Scope: da.root.Scope,
		Hangups: hangups, Retries: retries, ResumeGrace: generation.DefaultResumeGrace, SlowCallerLimit: generation.DefaultSlowCallerLimit,
		FlushDelay: time.Duration(limits.FlushDelay),
	}
	da.shutdown.Clock = da.Clock
	recorder := &record.Recorder{
		Store: guard.For(platform.ClassRecord), Instance: da.Settings.Name, Clock: da.Clock, Log: da.Log, Scope: da.root.Scope,
		Retention: time.Duration(limits.RecordRetention),
	}
	calls := &call.Handler{Granter: granter, Sender: client, Recorder: recorder, Clock: da.Clock, Log: da.Log, Scope: da.root.Scope, Retries: retries, Shutdown: &da.shutdown}
	in := da.newIntakes()
	da.entry = &entry.Server{
		Listener: li.caller, Intake: in.callers, Memory: in.bodies, Configuration: &da.configuration, Instance: da.Settings.Name, Explain: da.explain,
		CreateGeneration: generations.Create, ResumeGeneration: generations.Resume, Call: calls.Serve,
		OpenStreams: generations.OpenStreams, HandOver: generations.HandOver, Hangups: hangups,
		Metrics: metrics, Scope: da.root.Scope, Clock: da.Clock, Log: da.Log,
		BodyBytes: limits.BodyBytes, Timeout: time.Duration(limits.Timeout), MaxTimeout: time.Duration(limits.MaxTimeout),
	}
	operators := &operator.Server{
		Listener: li.operator, Intake: in.operators, Memory: in.bodies, Configuration: &da.configuration, Ready: da.entry.Ready, Metrics: metrics,
		Instance: da.Settings.Name, Zone: da.Settings.Zone,
		Routes: da.routes(),
	}
	peers := &peer.Server{
		Listener: li.peer, Limiter: in.peers, Memory: in.messages,
		OnClose: func(ca peer.Cause) { in.closedPeers.Count(string(ca)) },
	}
	if err := da.control.Register(peers); err != nil {
		return nil, err
	}
	if err := da.registerAllocation(peers); err != nil {
		return nil, err
	}
	controllers := append(da.control.Controllers(), li.certificates...)
	controllers = append(controllers, da.members, da.suspicion, da.allocation)
	return append(controllers, recorder, hangups, peers, operators, da.entry), nil
}
