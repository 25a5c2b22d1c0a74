package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

const (
	// watchWait is how long a reader may hold a call open for a change.
	watchWait = time.Second
	// responseMargin is the time beyond watchWait that a call may take.
	responseMargin = 700 * time.Millisecond
	// directReadTime is the minimum time for which an instance reads the store
	// itself after its reader failed.
	directReadTime = 5 * time.Second
	// readerCheckInterval is the interval at which the choice of the reader is
	// checked.
	readerCheckInterval = time.Second
	// startupPeriod is how long after its own start an instance considers all
	// others alive.
	startupPeriod = 6 * time.Second
	// maxConfigurationAge and maxEndpointsAge are the largest ages in an update
	// with which its sender is followed. Beyond them the store itself is the
	// better source.
	maxConfigurationAge = 2500 * time.Millisecond
	// maxEndpointsAge is over twice the time that one call about endpoints
	// waits. Without changes, the call that the store answered last was sent up
	// to two such waits ago.
	maxEndpointsAge = 8 * time.Second
	// maxOwnConfirmationAge is the age of the store's last confirmation beyond
	// which an instance follows readers of other zones, and otherZonesTime is
	// how long it does so before it tries the store again.
	maxOwnConfirmationAge = 2200 * time.Millisecond
	otherZonesTime        = 4 * time.Second
)

// Switch follows the reader of its zone if there is one, and reads the store
// directly otherwise. Set the exported fields before Run.
type Switch struct {
	Log    *Log
	Caller peer.Caller
	// Self and Zone are the name and the zone of this instance.
	Self    string
	Zone    string
	Members *loadshare.Members
	// Alive reports whether another instance was seen recently.
	Alive func(name string) bool
	// Configuration and Others are the controllers that follow the store.
	// Others start once the store has answered Configuration.
	Configuration controller.Controller
	Others        []controller.Controller
	// Fetch reads the configuration from the store.
	Fetch func(ctx context.Context) error
	// Decode decodes a configuration that a reader sent.
	Decode func(source []byte) (*routing.Configuration, error)
	Roster *roster.Roster
	State  *routing.State
	Clock  clockwork.Clock
	Boot   boottime.Clock
	Logger zerolog.Logger

	started time.Time
	// readerStoreUnresponsive is set while the followed reader gets no answers
	// from the store.
	readerStoreUnresponsive atomic.Bool
}

// StoreUnresponsive reports whether the reader that this instance follows gets
// no answers from the store.
func (sw *Switch) StoreUnresponsive() bool { return sw.readerStoreUnresponsive.Load() }

// Name implements controller.Controller.
func (sw *Switch) Name() string { return "relay" }

// Run implements controller.Controller.
func (sw *Switch) Run(ctx context.Context) error {
	sw.started = sw.Clock.Now()
	pause.For(ctx, sw.Clock, readerCheckInterval/4)
	for ctx.Err() == nil {
		me, found := sw.reader()
		if found {
			err := sw.follow(ctx, me, true)
			if ctx.Err() != nil {
				break
			}
			if sw.starting() && isReaderNotReady(err) {
				pause.For(ctx, sw.Clock, readerCheckInterval/4)
				continue
			}
			sw.Logger.Info().Str("event", "reader_left").Str("reader", me.Name).Err(err).Msg("relay: stopped following the reader; reading the store directly")
		}
		sw.readDirectly(ctx, directReadTime)
		if sw.storeUnavailable() {
			sw.followOtherZones(ctx)
		}
	}
	return nil
}

// storeUnavailable reports whether the store's last confirmation is older than
// maxOwnConfirmationAge.
func (sw *Switch) storeUnavailable() bool {
	age, confirmed := sw.State.Age()
	return confirmed && age > maxOwnConfirmationAge
}

// followOtherZones follows the readers of other zones, one after the other, for
// up to otherZonesTime. The store may reject this instance and still answer
// others. If it answers none of them, their updates are too old to be followed.
func (sw *Switch) followOtherZones(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, otherZonesTime)
	defer cancel()
	for _, me := range readersOf(sw.Members.List(), sw.Self, sw.Zone, sw.Alive) {
		if ctx.Err() != nil {
			return
		}
		err := sw.follow(ctx, me, false)
		sw.Logger.Info().Str("event", "reader_left").Str("reader", me.Name).Bool("abroad", true).Err(err).Msg("relay: stopped following the reader of another zone")
	}
}

// starting reports whether this instance started recently, so that all
// instances may be starting at once.
func (sw *Switch) starting() bool { return sw.Clock.Since(sw.started) < startupPeriod }

// isReaderNotReady reports whether a reader answered but is not worth following
// yet.
func isReaderNotReady(err error) bool {
	return errors.Is(err, errStale) || errors.Is(err, errNotDirect)
}

// reader returns the reader of the zone, and false if there is none or it is
// this instance.
func (sw *Switch) reader() (loadshare.Member, bool) {
	starting := sw.starting()
	me, found := readerOf(sw.Members.List(), sw.Self, sw.Zone, func(name string) bool { return starting || sw.Alive(name) })
	return me, found && me.Name != sw.Self
}

// readDirectly follows the store for at least minTime and until another instance
// is the reader of the zone. It returns earlier if the store is unavailable.
func (sw *Switch) readDirectly(ctx context.Context, minTime time.Duration) {
	sw.Log.SetDirect(true)
	defer sw.Log.SetDirect(false)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		gr := controller.Group{Controllers: append([]controller.Controller{sw.Configuration}, sw.delayed()...)}
		if err := gr.Run(ctx); err != nil {
			sw.Logger.Error().Str("event", "store_not_followed").Err(err).Msg("relay: controllers that follow the store stopped with an error")
		}
	}()
	begun := sw.Clock.Now()
	for ctx.Err() == nil {
		pause.For(ctx, sw.Clock, readerCheckInterval)
		if sw.storeUnavailable() && sw.Clock.Since(begun) >= readerCheckInterval {
			break
		}
		if _, found := sw.reader(); found && sw.Clock.Since(begun) >= minTime {
			break
		}
	}
	cancel()
	<-done
}

// delayed wraps the other controllers so that they start once the store has
// confirmed the configuration. During an outage of the store only one
// controller calls it.
func (sw *Switch) delayed() []controller.Controller {
	begun := sw.Boot.Now()
	list := make([]controller.Controller, 0, len(sw.Others))
	for _, co := range sw.Others {
		list = append(list, &delayed{Controller: co, ready: func() bool {
			age, confirmed := sw.State.Age()
			return confirmed && sw.Boot.Now()-age >= begun
		}, sw: sw})
	}
	return list
}

// delayed is a controller that starts once ready returns true.
type delayed struct {
	controller.Controller
	ready func() bool
	sw    *Switch
}

// readyPollInterval is the interval at which delayed calls ready.
const readyPollInterval = 20 * time.Millisecond

// Run implements controller.Controller.
func (de *delayed) Run(ctx context.Context) error {
	for !de.ready() {
		pause.For(ctx, de.sw.Clock, readyPollInterval)
		if ctx.Err() != nil {
			return nil
		}
	}
	return de.Controller.Run(ctx)
}

var (
	errNotDirect     = errors.New("relay: the reader does not read the store")
	errStale         = errors.New("relay: the reader's state is too old")
	errReaderChanged = errors.New("relay: another instance is now the reader of the zone")
)

// follow applies the updates of the reader me. It returns when a call fails, an
// update shows that the reader is not worth following, or its configuration
// cannot be fetched. If own is set, me is the reader of this zone, and follow
// also returns when another instance becomes the reader.
func (sw *Switch) follow(ctx context.Context, me loadshare.Member, own bool) error {
	defer sw.readerStoreUnresponsive.Store(false)
	sw.Logger.Info().Str("event", "reader_followed").Str("reader", me.Name).Msg("relay: following a reader")
	var qu Query
	for ctx.Err() == nil {
		qu.Wait = watchWait
		begun := sw.Boot.Now()
		var up Update
		if err := sw.call(ctx, me, qu, &up); err != nil {
			return err
		}
		if err := checkUpdate(up); err != nil {
			return err
		}
		sw.readerStoreUnresponsive.Store(up.Silent)
		sw.apply(up)
		if err := sw.confirm(ctx, me, up, begun); err != nil {
			return err
		}
		qu.Epoch, qu.Sequence = up.Epoch, up.Sequence
		if other, found := sw.reader(); own && (!found || other.Name != me.Name) {
			return errReaderChanged
		}
	}
	return ctx.Err()
}

func (sw *Switch) call(ctx context.Context, me loadshare.Member, qu Query, up *Update) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+responseMargin)
	defer cancel()
	return sw.Caller.Call(ctx, me.Address.String(), ServiceName+".Watch", qu, up)
}

// checkUpdate returns an error if the sender of an update is not worth
// following.
func checkUpdate(up Update) error {
	switch {
	case !up.Direct:
		return errNotDirect
	case up.ConfigurationAge > maxConfigurationAge || up.EndpointsAge > maxEndpointsAge:
		return errStale
	default:
		return nil
	}
}

// apply passes an update to the roster.
func (sw *Switch) apply(up Update) {
	if up.Full {
		list := make([]feed.Object[roster.Endpoint], 0, len(up.Endpoints))
		for _, en := range up.Endpoints {
			list = append(list, feed.Object[roster.Endpoint]{Name: en.ID, Value: &en})
		}
		sw.Roster.Reset(list)
	} else if len(up.Endpoints)+len(up.Removed) > 0 {
		changes := make([]feed.Change[roster.Endpoint], 0, len(up.Endpoints)+len(up.Removed))
		for _, en := range up.Endpoints {
			changes = append(changes, feed.Change[roster.Endpoint]{Object: feed.Object[roster.Endpoint]{Name: en.ID, Value: &en}})
		}
		for _, id := range up.Removed {
			changes = append(changes, feed.Change[roster.Endpoint]{Object: feed.Object[roster.Endpoint]{Name: id}, Removed: true})
		}
		sw.Roster.Apply(changes)
	}
	sw.Roster.SetEvacuatedZones(up.Zones)
}

// confirm applies the reader's confirmation, once this instance has the version
// that it refers to. The reader answered no earlier than begun plus the time
// that it held the call, and the confirmation had the reported age at that
// moment.
func (sw *Switch) confirm(ctx context.Context, me loadshare.Member, up Update, begun time.Duration) error {
	if !sw.hasVersion(up.Version) {
		if err := sw.fetchConfiguration(ctx, me); err != nil {
			return err
		}
	}
	if sw.hasVersion(up.Version) {
		sw.State.Confirm(begun + up.Held - up.ConfigurationAge)
	}
	return nil
}

// hasVersion reports whether this version or a newer one is in force.
func (sw *Switch) hasVersion(version int64) bool {
	cf := sw.State.Load()
	return cf != nil && cf.Version >= version
}

// fetchConfiguration fetches the configuration from the reader, and from the
// store only if that fails. If each of many instances read each version from the
// store, these reads would be most of the store's load.
func (sw *Switch) fetchConfiguration(ctx context.Context, me loadshare.Member) error {
	err := sw.fetchFromReader(ctx, me)
	if err == nil {
		return nil
	}
	if ferr := sw.Fetch(ctx); ferr != nil {
		return errors.Join(err, ferr)
	}
	return nil
}

// fetchFromReader fetches the configuration from a reader and brings it into
// force if it is newer.
func (sw *Switch) fetchFromReader(ctx context.Context, me loadshare.Member) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+responseMargin)
	defer cancel()
	var te Text
	if err := sw.Caller.Call(ctx, me.Address.String(), ServiceName+".Configuration", None{}, &te); err != nil {
		return err
	}
	cf, err := sw.Decode(te.Source)
	if err != nil {
		return err
	}
	if sw.State.Put(cf) {
		sw.Logger.Info().Str("event", "configuration").Int64("version", cf.Version).Str("reader", me.Name).Msg("relay: applied a configuration received from a reader")
		sw.Log.Observe()
	}
	return nil
}
