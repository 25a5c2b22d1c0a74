package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/ingress"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/relay"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/internal/suspicion"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Codec translates requests and answers.
type Codec interface {
	dispatch.Codec
	ingress.Codec
}

// Adapter is what a gateway needs of a platform.
type Adapter struct {
	Endpoints      feed.Source[roster.Endpoint]
	Configurations feed.Source[routing.Configuration]
	Evacuations    feed.Source[string]
	Members        feed.Source[loadshare.Member]
	Registry       Registry
	// ConfigurationName is the name of the object with the configuration.
	ConfigurationName string
	// DecodeConfiguration reads a configuration that another instance handed on.
	DecodeConfiguration func(source []byte) (*routing.Configuration, error)
	Codec               Codec
	// Engines gives orders by a sender.
	Engines func(dispatch.Sender) migration.Engines
	// IDHeader is the header field in which endpoints repeat a request's ID.
	IDHeader string
	// Relocate makes the sources read another store.
	Relocate func(address string)
	// ReadyPath is the path at which the platform asks for readiness.
	ReadyPath string
}

// Gateway is one instance. Set the fields before Run.
type Gateway struct {
	Settings Settings
	Adapter  Adapter
	Clock    clockwork.Clock
	Boot     boottime.Clock
	Log      zerolog.Logger

	settings snapshot.Holder[Settings]
	state    routing.State
	roster   roster.Roster
	board    placement.Board
	members  loadshare.Members
	relay    relay.Log
	suspects *suspicion.Registry
	turns    loadshare.Turns
	pool     upstream.Pool
	ingress  ingress.Server
	ready    *readiness
	metrics  *metric.Root
}

// The times that one call to the store waits for changes. The configuration's
// is short, since each answer proves that no newer one exists.
const (
	configurationWait = 1000 * time.Millisecond
	endpointsWait     = 3 * time.Second
	evacuationsWait   = 4 * time.Second
	membersWait       = 25 * time.Second
	// membersGap is behind the first list: all instances start together.
	membersGap = 2 * time.Second
)

// Run runs the instance until ctx ends, then stops it in order.
func (gw *Gateway) Run(ctx context.Context) error {
	li, err := gw.listen()
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	gw.metrics = metric.NewRoot()
	defer func() { _ = gw.metrics.Close() }()
	controllers := gw.build(li)
	gw.Log.Info().Str("event", "started").Str("zone", gw.Settings.Zone).Str("callers", gw.Settings.Callers).Str("store", gw.Settings.Store).Msg("gateway: started")
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	over := context.AfterFunc(ctx, func() {
		gw.stop()
		cancel()
	})
	defer over()
	gr := controller.Group{Controllers: controllers}
	return gr.Run(running)
}

// Reload takes in settings that changed. Listeners, the instance's name and its
// zone stay as they were until the next start.
func (gw *Gateway) Reload(se Settings) {
	old := gw.settings.Load()
	if old == nil || *old == se {
		return
	}
	gw.settings.Store(&se)
	if se.Store != old.Store && gw.Adapter.Relocate != nil {
		gw.Adapter.Relocate(se.Store)
	}
	restart := se.Callers != old.Callers || se.Readiness != old.Readiness || se.Metrics != old.Metrics ||
		se.Instance != old.Instance || se.Zone != old.Zone
	gw.Log.Info().Str("event", "reloaded").Str("store", se.Store).Dur("key_bound", se.KeyBound).Bool("restart_needed", restart).Msg("gateway: settings reloaded")
}

// ages returns the bounds on proofs by the settings in force.
func (gw *Gateway) ages() dispatch.Ages {
	se := gw.settings.Load()
	return dispatch.Ages{Key: se.keyAge(), Deny: se.denyAge()}
}

// listeners are the open listeners of an instance.
type listeners struct {
	callers, readiness, metrics net.Listener
	// peers is nil if the instance tells and hears no others.
	peers *net.UDPConn
	// calls takes calls of other instances, at the same address.
	calls net.Listener
}

func (gw *Gateway) listen() (li listeners, err error) {
	if li.callers, err = net.Listen("tcp4", gw.Settings.Callers); err != nil {
		return li, err
	}
	if li.readiness, err = net.Listen("tcp4", gw.Settings.Readiness); err != nil {
		return li, err
	}
	if gw.Settings.Metrics != "" {
		if li.metrics, err = net.Listen("tcp4", gw.Settings.Metrics); err != nil {
			return li, err
		}
	}
	if gw.Settings.Peers == "" {
		return li, nil
	}
	address, err := netip.ParseAddrPort(gw.Settings.Peers)
	if err != nil {
		return li, err
	}
	if li.peers, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return li, err
	}
	li.calls, err = net.Listen("tcp4", gw.Settings.Peers)
	return li, err
}

// build makes the parts of the instance and returns its controllers.
func (gw *Gateway) build(li listeners) []controller.Controller {
	se := gw.Settings
	gw.settings.Store(&se)
	gw.state = routing.State{Clock: gw.Boot}
	gw.board = placement.Board{Clock: gw.Clock, Zone: se.Zone, Instance: se.Instance, Changes: make(chan struct{}, 1)}
	gw.turns = loadshare.Turns{Instance: se.Instance, Changes: gw.board.Changes}
	gw.pool = upstream.Pool{IDHeader: gw.Adapter.IDHeader, Clock: gw.Clock}
	mover := &migration.Mover{Engines: gw.Adapter.Engines(&gw.pool), Roster: &gw.roster, Board: &gw.board, Clock: gw.Clock, Log: gw.Log, Turns: &gw.turns}
	gw.roster = roster.Roster{Clock: gw.Clock, Log: gw.Log, OnLeave: mover.Leaving, OnChange: gw.relay.Observe}
	gw.relay = relay.Log{Boot: gw.Boot, Roster: &gw.roster, State: &gw.state, Now: gw.Clock.Now, Epoch: gw.Clock.Now().UnixNano()}
	gw.suspects = &suspicion.Registry{Caller: &peer.Client{}, Peers: gw.confidants, Clock: gw.Clock}
	hangups := &hangup.Watcher{Clock: gw.Clock}
	di := &dispatch.Dispatcher{
		State: &gw.state, Roster: &gw.roster, Board: &gw.board, Sender: &gw.pool, Codec: gw.Adapter.Codec, Clock: gw.Clock, Log: gw.Log,
		Budget: se.budget(gw.Clock), Ages: gw.ages, Members: gw.memberCount,
		Runs: mover, Suspects: gw.suspects, Reachable: gw.pool.Reachable, Meter: &dispatch.Meter{Scope: gw.metrics.Scope},
	}
	gw.ingress = ingress.Server{Listener: li.callers, Codec: gw.Adapter.Codec, Dispatcher: di, Hangups: hangups, Clock: gw.Clock, Log: gw.Log}
	gw.ingress.Prepare()
	gw.ready = &readiness{state: &gw.state, roster: &gw.roster, ages: gw.ages}
	controllers := []controller.Controller{
		hangups, &gw.ingress, &janitor{gw: gw},
		&plainServer{name: "readiness", listener: li.readiness, handler: gw.serveReady},
	}
	if li.metrics != nil {
		metrics := fasthttpadaptor.NewFastHTTPHandler(gw.metrics.Handler)
		controllers = append(controllers, &plainServer{name: "metrics", listener: li.metrics, handler: metrics})
	}
	if li.peers == nil {
		return append(append(controllers, gw.followConfiguration()), gw.followOthers()...)
	}
	return append(controllers, gw.sharing(li)...)
}

// followConfiguration returns what follows the store's configuration.
func (gw *Gateway) followConfiguration() controller.Controller {
	return &feed.Follower[routing.Configuration]{
		Kind: "configuration", Source: gw.Adapter.Configurations, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: configurationWait,
		Sink: gw.configurationSink(),
	}
}

func (gw *Gateway) configurationSink() *configurationSink {
	return &configurationSink{name: gw.Adapter.ConfigurationName, state: &gw.state, log: gw.Log, changed: gw.relay.Observe}
}

// followOthers returns what follows the store's endpoints and zones.
func (gw *Gateway) followOthers() []controller.Controller {
	return []controller.Controller{
		&feed.Follower[roster.Endpoint]{
			Kind: "endpoints", Source: gw.Adapter.Endpoints, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: endpointsWait,
			Sink: &endpointSink{Roster: &gw.roster, contact: gw.relay.Contact},
		},
		&feed.Follower[string]{
			Kind: "evacuations", Source: gw.Adapter.Evacuations, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: evacuationsWait,
			Sink: &evacuationSink{roster: &gw.roster},
		},
	}
}

// fetchConfiguration reads the configuration from the store once.
func (gw *Gateway) fetchConfiguration(ctx context.Context) error {
	begun := gw.Boot.Now()
	list, _, err := gw.Adapter.Configurations.List(ctx)
	if err != nil {
		return err
	}
	sink := gw.configurationSink()
	sink.Reset(list)
	sink.Contact(begun)
	return nil
}

// sharing returns the controllers that tell other instances what runs here and
// read the store together with them.
func (gw *Gateway) sharing(li listeners) []controller.Controller {
	se := gw.Settings
	self := loadshare.Member{Name: se.Instance, Zone: se.Zone, Address: netip.MustParseAddrPort(se.Peers), Link: se.Link}
	exchange := &loadshare.Exchange{
		Conn: li.peers, Instance: se.Instance, Zone: se.Zone, Board: &gw.board, Members: &gw.members, Turns: &gw.turns, Clock: gw.Clock, Log: gw.Log,
	}
	peers := &peer.Server{Listener: li.calls}
	err := errors.Join(peers.Register(relay.ServiceName, gw.relay.Service()), peers.Register(suspicion.ServiceName, gw.suspects.Service()))
	if err != nil {
		// Only a service without methods of the right form fails.
		panic(err)
	}
	return []controller.Controller{
		&registration{registry: gw.Adapter.Registry, self: self, clock: gw.Clock, log: gw.Log},
		&feed.Follower[loadshare.Member]{
			Kind: "members", Source: gw.Adapter.Members, Clock: gw.Clock, Boot: gw.Boot, Log: gw.Log, Wait: membersWait, Gap: membersGap,
			Sink: &memberSink{members: &gw.members},
		},
		exchange, peers, gw.suspects,
		&relay.Switch{
			Log: &gw.relay, Caller: &peer.Client{}, Self: se.Instance, Zone: se.Zone, Members: &gw.members, Alive: exchange.Heard,
			Configuration: gw.followConfiguration(), Others: gw.followOthers(), Fetch: gw.fetchConfiguration, Decode: gw.Adapter.DecodeConfiguration,
			Roster: &gw.roster, State: &gw.state, Clock: gw.Clock, Boot: gw.Boot, Logger: gw.Log,
		},
	}
}

// manyMembers is the size from which crashes are told to one instance of each
// other zone, not to all; the rest learn of them by asking.
const manyMembers = 16

// confidants returns the addresses of instances that are told of crashes.
func (gw *Gateway) confidants() []string {
	list := gw.members.List()
	told := make(map[string]bool)
	var addresses []string
	for _, me := range list {
		if me.Name == gw.Settings.Instance {
			continue
		}
		if len(list) < manyMembers || me.Zone == gw.Settings.Zone || !told[me.Zone] {
			told[me.Zone] = true
			addresses = append(addresses, me.Address.String())
		}
	}
	return addresses
}

// memberCount returns how many instances share the bounds of endpoints.
func (gw *Gateway) memberCount() int { return max(len(gw.members.List()), 1) }

func (gw *Gateway) serveReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != gw.Adapter.ReadyPath {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	if !gw.ready.ready() {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// The parts of the time to stop: first callers are still taken while the
// platform notices that the instance is not ready, then open answers end.
const (
	noticeTime = 2600 * time.Millisecond
	stopMargin = 500 * time.Millisecond
	// defaultStopBound is for platforms that state none.
	defaultStopBound = 8 * time.Second
)

// stop stops in order: not ready, no new connections, open answers end.
func (gw *Gateway) stop() {
	begun := gw.Clock.Now()
	bound := gw.Settings.StopBound
	if bound <= stopMargin {
		bound = defaultStopBound
	}
	gw.Log.Info().Str("event", "stopping").Int("open", gw.ingress.Open()).Msg("gateway: stopping")
	gw.ready.stopping.Store(true)
	gw.ingress.Announce()
	gw.Clock.Sleep(min(noticeTime, bound/3))
	ctx, cancel := context.WithTimeout(context.Background(), bound-stopMargin-gw.Clock.Since(begun))
	defer cancel()
	gw.ingress.Stop(ctx)
	gw.Log.Info().Str("event", "stopped").Dur("took", gw.Clock.Since(begun)).Msg("gateway: stopped")
}
