package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/concurrency"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/healthcheck"
	"filbertstall.example/filbertstall/internal/ingress"
	"filbertstall.example/filbertstall/internal/inquiry"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/outlier"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/reachability"
	"filbertstall.example/filbertstall/internal/relay"
	"filbertstall.example/filbertstall/internal/reservation"
	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/shutdown"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/internal/suspicion"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Codec translates requests and answers between a platform's protocol and the
// types of this module.
type Codec interface {
	dispatch.Codec
	ingress.Codec
	// Forward encodes a request for another instance, without its address.
	Forward(re *dispatch.Request, remaining time.Duration) upstream.Call
	// Signal returns what the header of an answer says about further requests to
	// its endpoint.
	Signal(an *upstream.Answer) backpressure.Signal
}

// Engines sends migration commands and health checks to engines.
type Engines interface {
	migration.Engines
	healthcheck.Engines
	// Progress returns the number of events that an engine says it has made of a
	// run.
	Progress(ctx context.Context, en roster.Endpoint, run string) (int, error)
}

// Adapter connects a gateway to a platform.
type Adapter struct {
	Endpoints      feed.Source[roster.Endpoint]
	Configurations feed.Source[routing.Configuration]
	Evacuations    feed.Source[string]
	// Rollouts and StatusWriter may be nil if operators order no roll-outs.
	Rollouts     feed.Source[rollout.Order]
	StatusWriter StatusWriter
	Members      feed.Source[loadshare.Member]
	Registry     Registry
	// ConfigurationName is the name of the object with the configuration.
	ConfigurationName string
	// DecodeConfiguration decodes a configuration that another instance forwarded.
	DecodeConfiguration func(source []byte) (*routing.Configuration, error)
	Codec               Codec
	// Engines returns a client of the engines' control API that makes its calls
	// through the given gate.
	Engines func(*backpressure.Gate) Engines
	// IDHeader is the header field in which endpoints echo the ID of a request.
	IDHeader string
	// Relocate directs the sources to a store at another address. If it is nil,
	// a reload does not change the store.
	Relocate func(address string)
	// ReadyPath is the path of the platform's readiness check.
	ReadyPath string
}

// Gateway is one instance. Set the exported fields before Run.
type Gateway struct {
	Settings Settings
	Adapter  Adapter
	Clock    clockwork.Clock
	Boot     boottime.Clock
	Log      zerolog.Logger
	// Dial opens connections to endpoints. If it is nil, they use TCP over IPv4.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	settings    snapshot.Holder[Settings]
	state       routing.State
	roster      roster.Roster
	tracker     placement.LoadTracker
	members     loadshare.Members
	relay       relay.Log
	relaySwitch relay.Switch
	inquiry     inquiry.Inquiry
	eras        feed.Eras
	suspects    *suspicion.Registry
	moveOrder   loadshare.MoveOrder
	stopping    loadshare.Stopping
	pool        upstream.Pool
	signals     backpressure.Registry
	gate        backpressure.Gate
	peers       ratelimit.Peers
	allocator   ratelimit.Allocator
	limiter     ratelimit.Limiter
	// slots gives out the slots of brittle endpoints.
	slots concurrency.Allocator
	// inProgress counts the requests in progress at endpoints.
	inProgress *concurrency.Limiter
	// engines chooses engines for the instances of the zone.
	engines reservation.Allocator
	// suspectLimiter paces requests with features that may crash endpoints.
	suspectLimiter ratelimit.Limiter
	paths          reachability.Tracker
	outliers       outlier.Detector
	forwardPool    upstream.Pool
	memory         memory
	shutdown       shutdown.Schedule
	ingress        ingress.Server
	// forwards serves the requests that other instances forward.
	forwards *ingress.Server
	ready    *readiness
	metrics  *metric.Root
	// rollouts is nil if operators order none.
	rollouts *rollouts
}

// Run serves until ctx is canceled and then shuts down gracefully. It returns an
// error if a listener cannot be opened or a controller fails.
func (gw *Gateway) Run(ctx context.Context) error {
	li, err := gw.listen()
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	gw.metrics = metric.NewRoot()
	defer func() { _ = gw.metrics.Close() }()
	controllers := gw.build(li)
	gw.Log.Info().Str("event", "started").Str("zone", gw.Settings.Zone).Str("callers", gw.Settings.Callers).Str("store", gw.Settings.Store).Msg("gateway: instance started")
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	unregister := context.AfterFunc(ctx, func() {
		gw.stop()
		cancel()
	})
	defer unregister()
	gr := controller.Group{Controllers: controllers, OnPanic: gw.logPanic}
	return gr.Run(running)
}

// logPanic logs that a controller panicked and is run again.
func (gw *Gateway) logPanic(name string, cause any) {
	gw.Log.Error().Str("event", "panicked").Str("controller", name).Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).Msg("gateway: a controller panicked; running it again")
}

// Reload applies a changed address of the store, KeyRevocationBound, RequireKeys and
// ConfigurationBound. All other settings keep their values until the next start.
// It returns false, and has no effect, before Run has built the instance.
func (gw *Gateway) Reload(se Settings) bool {
	old := gw.settings.Load()
	if old == nil {
		return false
	}
	if *old == se {
		return true
	}
	gw.settings.Store(&se)
	if se.Store != old.Store && gw.Adapter.Relocate != nil {
		gw.Adapter.Relocate(se.Store)
	}
	gw.Log.Info().Str("event", "reloaded").Str("store", se.Store).Dur("key_bound", se.KeyRevocationBound).Bool("restart_needed", se.needsRestart(*old)).Msg("gateway: settings reloaded")
	return true
}

// requiresKeys reports whether the platform's rules on keys are in force by the current
// settings.
func (gw *Gateway) requiresKeys() bool { return gw.settings.Load().RequireKeys }

// maxAges returns the maximum ages of the store's confirmations by the current
// settings.
func (gw *Gateway) maxAges() dispatch.MaxAges {
	se := gw.settings.Load()
	return dispatch.MaxAges{Key: se.maxKeyAge(), Deny: se.maxDenyAge()}
}

// staleAfter is the age of the store's last confirmation above which engines are
// asked for their state directly. In normal operation the age stays below 3 s: the
// instance that reads the store for the others (see package relay) gets an answer
// each second that confirms the state of the second before, and sends the other
// instances an update each second.
const staleAfter = 3300 * time.Millisecond

// engineStatesStale reports whether this instance may have missed that an engine is
// draining, because it gets no current data from the store.
func (gw *Gateway) engineStatesStale() bool {
	age, confirmed := gw.state.Age()
	return confirmed && (age > staleAfter || gw.relay.StoreUnresponsive())
}

// healthPath returns the path of the health check of a service's endpoints.
func (gw *Gateway) healthPath(service string) string {
	cf := gw.state.Load()
	if cf == nil {
		return ""
	}
	se, _ := cf.Service(service)
	return se.HealthPath
}

// build creates the components of the instance and returns its controllers.
func (gw *Gateway) build(li listeners) []controller.Controller {
	se := gw.Settings
	gw.settings.Store(&se)
	gw.state = routing.State{Clock: gw.Boot}
	gw.tracker = placement.LoadTracker{Clock: gw.Clock, Zone: se.Zone, Instance: se.Instance, Changes: make(chan struct{}, 1)}
	zones := gw.buildSpillover()
	gw.moveOrder = loadshare.MoveOrder{Instance: se.Instance, Changes: gw.tracker.Changes}
	gw.stopping = loadshare.Stopping{Boot: gw.Boot, Changes: gw.tracker.Changes}
	gw.memory = divideMemory(se.MemoryBytes)
	gw.shutdown = shutdown.Schedule{Clock: gw.Clock}
	gw.pool = upstream.Pool{IDHeader: gw.Adapter.IDHeader, Clock: gw.Clock, Dial: gw.Dial, OnSkip: gw.logSkipped}
	gw.buildGate(se.member())
	gw.buildOutliers()
	engines := gw.Adapter.Engines(&gw.gate)
	mover := &migration.Mover{Engines: engines, Roster: &gw.roster, Tracker: &gw.tracker, Clock: gw.Clock, Log: gw.Log, MoveOrder: &gw.moveOrder}
	gw.rollouts = gw.buildRollouts(mover)
	gw.roster = roster.Roster{Clock: gw.Clock, Log: gw.Log, OnLeave: mover.Evacuate, OnChange: gw.relay.Observe, OutageEnd: gw.relay.OutageEnd}
	gw.relay = relay.Log{Boot: gw.Boot, Roster: &gw.roster, State: &gw.state, Members: &gw.members, Now: gw.Clock.Now, Epoch: gw.Clock.Now().UnixNano(), Eras: &gw.eras, Informed: gw.isInformed, LapseTime: se.lapseTime()}
	gw.buildInquiry()
	if ro := gw.rollouts; ro != nil {
		gw.relay.Orders = &ro.orders
		gw.roster.OnChange = func() {
			ro.Endpoints(gw.roster.View().All())
			gw.relay.Observe()
		}
		gw.tracker.Emptying, mover.Allows = ro.leavesByID, ro.Allows
	}
	gw.suspects = &suspicion.Registry{Caller: &peer.Client{}, Peers: gw.peerAddresses, Clock: gw.Clock, Log: gw.Log, Changes: gw.tracker.Changes}
	gw.paths = reachability.Tracker{Roster: &gw.roster, Probe: gw.pool.Reachable, OnReached: gw.tracker.ClearBackoff, Clock: gw.Clock, Log: gw.Log, Changes: gw.tracker.Changes}
	hangups := &hangup.Watcher{Clock: gw.Clock}
	di := &dispatch.Dispatcher{
		State: &gw.state, Roster: &gw.roster, Tracker: &gw.tracker, Gate: &gw.gate, Codec: gw.Adapter.Codec, Clock: gw.Clock, Log: gw.Log,
		Budget: se.budget(gw.Clock, gw.instanceCount), MaxAges: gw.maxAges, RequireKeys: gw.requiresKeys, Informed: gw.isInformed,
		Runs: mover, Suspects: gw.suspects, Turns: turns{limiter: &gw.suspectLimiter}, Reachable: gw.pool.Reachable, Progress: engines.Progress, Paths: &gw.paths, Memory: gw.memory.bodies, Shutdown: &gw.shutdown, Meter: &dispatch.Meter{Scope: gw.metrics.Scope},
	}
	if gw.rollouts != nil {
		di.Rollouts = gw.rollouts
	}
	gw.ingress = ingress.Server{Listener: li.callers, Codec: gw.Adapter.Codec, Dispatcher: di, Hangups: hangups, Clock: gw.Clock, Log: gw.Log, Memory: gw.memory.bodies, MaxBodyBytes: gw.memory.maxBody, ConfiguredBodyBytes: gw.bodyBytes}
	gw.ingress.Intake = gw.newIntake("callers", gw.memory.callers, se.maxFiles()/callersFilesDivisor)
	if se.SlowCallers {
		gw.ingress.ReadAhead = gw.memory.readAhead
	}
	gw.ingress.Prepare()
	gw.ready = &readiness{state: &gw.state, roster: &gw.roster, maxAges: gw.maxAges, log: gw.Log}
	controllers := []controller.Controller{
		&gw.paths, hangups, &gw.ingress, &expirer{gw: gw},
		&healthcheck.Checker{Engines: engines, Runs: mover.Endpoints, StoreStale: gw.engineStatesStale, Path: gw.healthPath, Leave: gw.roster.Leave, Evacuate: mover.Evacuate, Clock: gw.Clock, Log: gw.Log},
		&auxiliaryServer{name: "readiness", listener: gw.listenAuxiliary("readiness", li.readiness), handler: gw.serveReady},
	}
	controllers = append(controllers, zones...)
	if li.metrics != nil {
		metrics := fasthttpadaptor.NewFastHTTPHandler(gw.metrics.Handler)
		controllers = append(controllers, &auxiliaryServer{name: "metrics", listener: gw.listenAuxiliary("metrics", li.metrics), handler: metrics})
	}
	if gw.rollouts != nil {
		controllers = append(controllers, gw.rollouts)
	}
	if li.peers == nil {
		return append(append(controllers, gw.followConfiguration()), gw.followOperators()...)
	}
	return append(controllers, gw.peerControllers(li, di, hangups)...)
}

func (gw *Gateway) serveReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != gw.Adapter.ReadyPath {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	if !gw.ready.check() {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}
