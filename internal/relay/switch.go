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
	// watchWait is how long a call waits at a reader.
	watchWait = time.Second
	// answerTime is how much longer the answer may take.
	answerTime = 700 * time.Millisecond
	// directTime is how long an instance reads the store after its reader failed.
	directTime = 5 * time.Second
	// lookInterval is how often the choice of a reader is looked at.
	lookInterval = time.Second
	// startTime is how long an instance takes all others for alive.
	startTime = 6 * time.Second
	// maxConfigurationAge and maxEndpointsAge are what a reader may state: beyond,
	// it knows no more than the store will tell.
	maxConfigurationAge = 2500 * time.Millisecond
	// maxEndpointsAge is over twice the time that one call about endpoints waits:
	// in calm times the last answer is that old.
	maxEndpointsAge = 8 * time.Second
	// awayAge is the age of its own proof from which an instance asks readers of
	// other zones, and abroadTime how long it stays with them before it tries the
	// store again.
	awayAge    = 2200 * time.Millisecond
	abroadTime = 4 * time.Second
)

// Switch reads the store through a reader where there is one, and directly
// elsewhere. Set the fields before Run.
type Switch struct {
	Log    *Log
	Caller peer.Caller
	// Self and Zone are those of this instance.
	Self    string
	Zone    string
	Members *loadshare.Members
	// Alive tells whether another instance was heard lately.
	Alive func(name string) bool
	// Configuration and Others are the controllers that follow the store; Others
	// start when the store has answered Configuration.
	Configuration controller.Controller
	Others        []controller.Controller
	// Fetch reads the configuration from the store.
	Fetch func(ctx context.Context) error
	// Decode reads a configuration that a reader handed on.
	Decode func(source []byte) (*routing.Configuration, error)
	Roster *roster.Roster
	State  *routing.State
	Clock  clockwork.Clock
	Boot   boottime.Clock
	Logger zerolog.Logger

	started time.Time
	// silent tells that the reader that is followed gets no answers.
	silent atomic.Bool
}

// Silent tells whether the reader that this instance follows gets no answers
// from the store.
func (sw *Switch) Silent() bool { return sw.silent.Load() }

// Name implements controller.Controller.
func (sw *Switch) Name() string { return "relay" }

// Run implements controller.Controller.
func (sw *Switch) Run(ctx context.Context) error {
	sw.started = sw.Clock.Now()
	pause.For(ctx, sw.Clock, lookInterval/4)
	for ctx.Err() == nil {
		me, found := sw.reader()
		if found {
			err := sw.follow(ctx, me, true)
			if ctx.Err() != nil {
				break
			}
			if sw.starting() && isIgnorant(err) {
				pause.For(ctx, sw.Clock, lookInterval/4)
				continue
			}
			sw.Logger.Info().Str("event", "reader_left").Str("reader", me.Name).Err(err).Msg("relay: reading the store directly")
		}
		sw.direct(ctx, directTime)
		if sw.turnedAway() {
			sw.abroad(ctx)
		}
	}
	return nil
}

// turnedAway tells whether the store has not answered this instance for a time.
func (sw *Switch) turnedAway() bool {
	age, proven := sw.State.Age()
	return proven && age > awayAge
}

// abroad follows readers of other zones for a time: the store may turn this
// instance away and answer others. They know no more if it answers nobody.
func (sw *Switch) abroad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, abroadTime)
	defer cancel()
	for _, me := range readersOf(sw.Members.List(), sw.Self, sw.Zone, sw.Alive) {
		if ctx.Err() != nil {
			return
		}
		err := sw.follow(ctx, me, false)
		sw.Logger.Info().Str("event", "reader_left").Str("reader", me.Name).Bool("abroad", true).Err(err).Msg("relay: reading the store directly")
	}
}

// starting tells whether all instances may be starting together.
func (sw *Switch) starting() bool { return sw.Clock.Since(sw.started) < startTime }

// isIgnorant tells whether a reader answered that it does not know enough.
func isIgnorant(err error) bool { return errors.Is(err, errOld) || errors.Is(err, errNotDirect) }

// reader returns the reader of the zone, or false if that is this instance.
func (sw *Switch) reader() (loadshare.Member, bool) {
	starting := sw.starting()
	me, found := readerOf(sw.Members.List(), sw.Self, sw.Zone, func(name string) bool { return starting || sw.Alive(name) })
	return me, found && me.Name != sw.Self
}

// direct follows the store until there is a reader, for least at least, or
// until the store has not answered for a time.
func (sw *Switch) direct(ctx context.Context, least time.Duration) {
	sw.Log.SetDirect(true)
	defer sw.Log.SetDirect(false)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		gr := controller.Group{Controllers: append([]controller.Controller{sw.Configuration}, sw.delayed()...)}
		if err := gr.Run(ctx); err != nil {
			sw.Logger.Error().Str("event", "store_not_followed").Err(err).Msg("relay: following the store ended")
		}
	}()
	begun := sw.Clock.Now()
	for ctx.Err() == nil {
		pause.For(ctx, sw.Clock, lookInterval)
		if sw.turnedAway() && sw.Clock.Since(begun) >= lookInterval {
			break
		}
		if _, found := sw.reader(); found && sw.Clock.Since(begun) >= least {
			break
		}
	}
	cancel()
	<-done
}

// delayed wraps the other controllers so that they start once the store has
// confirmed the configuration: while it is away, one call asks for it.
func (sw *Switch) delayed() []controller.Controller {
	begun := sw.Boot.Now()
	list := make([]controller.Controller, 0, len(sw.Others))
	for _, co := range sw.Others {
		list = append(list, &delayed{Controller: co, ready: func() bool {
			age, proven := sw.State.Age()
			return proven && sw.Boot.Now()-age >= begun
		}, sw: sw})
	}
	return list
}

// delayed starts a controller when something is ready.
type delayed struct {
	controller.Controller
	ready func() bool
	sw    *Switch
}

// delayInterval is how often it is looked whether a controller may start.
const delayInterval = 20 * time.Millisecond

// Run implements controller.Controller.
func (de *delayed) Run(ctx context.Context) error {
	for !de.ready() {
		pause.For(ctx, de.sw.Clock, delayInterval)
		if ctx.Err() != nil {
			return nil
		}
	}
	return de.Controller.Run(ctx)
}

var (
	errNotDirect = errors.New("relay: the reader does not read the store")
	errOld       = errors.New("relay: the reader's knowledge is old")
	errReplaced  = errors.New("relay: another instance reads for the zone")
)

// follow takes in what a reader knows until it fails. With own it is the reader
// of this zone, and is left for another that should be.
func (sw *Switch) follow(ctx context.Context, me loadshare.Member, own bool) error {
	defer sw.silent.Store(false)
	sw.Logger.Info().Str("event", "reader_followed").Str("reader", me.Name).Msg("relay: following a reader")
	var qu Query
	for ctx.Err() == nil {
		qu.Wait = watchWait
		begun := sw.Boot.Now()
		var up Update
		if err := sw.call(ctx, me, qu, &up); err != nil {
			return err
		}
		if err := judge(up); err != nil {
			return err
		}
		sw.silent.Store(up.Silent)
		sw.apply(up)
		if err := sw.confirm(ctx, me, up, begun); err != nil {
			return err
		}
		qu.Epoch, qu.Sequence = up.Epoch, up.Sequence
		if other, found := sw.reader(); own && (!found || other.Name != me.Name) {
			return errReplaced
		}
	}
	return ctx.Err()
}

func (sw *Switch) call(ctx context.Context, me loadshare.Member, qu Query, up *Update) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+answerTime)
	defer cancel()
	return sw.Caller.Call(ctx, me.Address.String(), ServiceName+".Watch", qu, up)
}

// judge tells whether an update is worth following.
func judge(up Update) error {
	switch {
	case !up.Direct:
		return errNotDirect
	case up.ConfigurationAge > maxConfigurationAge || up.EndpointsAge > maxEndpointsAge:
		return errOld
	default:
		return nil
	}
}

// apply brings an update into force.
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
	sw.Roster.Evacuate(up.Zones)
}

// confirm takes over the reader's proof, once this instance has the version
// that it speaks of. The proof is as old as the reader said when it answered,
// which was no sooner than the call's begin and the time that it held the call.
func (sw *Switch) confirm(ctx context.Context, me loadshare.Member, up Update, begun time.Duration) error {
	if !sw.has(up.Version) {
		if err := sw.catchUp(ctx, me); err != nil {
			return err
		}
	}
	if sw.has(up.Version) {
		sw.State.Confirm(begun + up.Held - up.ConfigurationAge)
	}
	return nil
}

// has tells whether a version or a newer one is in force.
func (sw *Switch) has(version int64) bool {
	cf := sw.State.Load()
	return cf != nil && cf.Version >= version
}

// catchUp gets the version that a reader has, from the reader itself: with many
// instances, each reading each version from the store is most of its load. The
// store is asked where the reader can't hand it on.
func (sw *Switch) catchUp(ctx context.Context, me loadshare.Member) error {
	err := sw.handedOn(ctx, me)
	if err == nil {
		return nil
	}
	if ferr := sw.Fetch(ctx); ferr != nil {
		return errors.Join(err, ferr)
	}
	return nil
}

// handedOn takes the configuration from a reader.
func (sw *Switch) handedOn(ctx context.Context, me loadshare.Member) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+answerTime)
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
		sw.Logger.Info().Str("event", "configuration").Int64("version", cf.Version).Str("reader", me.Name).Msg("relay: configuration in force, from a reader")
		sw.Log.Observe()
	}
	return nil
}
