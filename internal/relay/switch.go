package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

const (
	// startupPeriod is how long after its own start an instance considers all
	// others alive.
	startupPeriod = 6 * time.Second
	// skipTime is how long a candidate is passed over after it could not be
	// followed, or could not read the store. An instance that fails to read the
	// store again and again passes itself over for up to maxSkipTime.
	skipTime    = 5 * time.Second
	maxSkipTime = 10 * time.Second
	// maxOwnConfirmationAge is the age of the store's last confirmation beyond
	// which an instance follows any that has a fresh one, and alternativeTime is how
	// long it does so before it tries the candidates of its zone in order again.
	maxOwnConfirmationAge = 2200 * time.Millisecond
	alternativeTime       = 4 * time.Second
	// retryDelay is the pause after an attempt without a confirmation, and
	// retryDelayPerInstance what each instance of the deployment adds to it: all
	// of them ask the same few.
	retryDelay            = 200 * time.Millisecond
	retryDelayPerInstance = time.Millisecond
)

// Switch follows the reader of its zone, or reads the store if this instance is
// the reader. Set the exported fields before Run.
type Switch struct {
	Log    *Log
	Caller peer.Caller
	// Self is this instance.
	Self    loadshare.Member
	Members *loadshare.Members
	// Registered is closed once Members holds the instances that registered
	// before this one; nil means that it does already.
	Registered <-chan struct{}
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
	// OnPanic is called when a controller that follows the store has panicked, before it
	// is run again. It may be nil.
	OnPanic func(name string, cause any)

	// newestKnown is the newest version that Inquire was told of.
	newestKnown atomic.Int64
	// fetching is held while Inquire fetches a configuration.
	fetching sync.Mutex
	started  time.Time
	// skipped maps candidates to the end of the time for which they are passed
	// over. Only the goroutine of Run uses it.
	skipped map[string]time.Time
	// ownSkipTime is how long this instance passes itself over the next time.
	ownSkipTime time.Duration
}

// Name implements controller.Controller.
func (sw *Switch) Name() string { return "relay" }

// Run implements controller.Controller.
func (sw *Switch) Run(ctx context.Context) error {
	sw.skipped = make(map[string]time.Time)
	sw.awaitMembers(ctx)
	sw.started = sw.Clock.Now()
	for ctx.Err() == nil {
		begun := sw.Boot.Now()
		me := sw.choose()
		if me.Name == sw.Self.Name {
			sw.readDirectly(ctx)
		} else {
			sw.followOwnZone(ctx, me)
		}
		if sw.confirmedSince(begun) {
			continue
		}
		if sw.storeUnavailable() {
			sw.followAny(ctx)
		}
		sw.pause(ctx, retryDelay+time.Duration(len(sw.Members.List()))*retryDelayPerInstance)
	}
	return nil
}

// awaitMembers waits until the registered instances are known. Without them each
// instance would take itself for the only one, and all would read the store.
func (sw *Switch) awaitMembers(ctx context.Context) {
	if sw.Registered == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-sw.Registered:
	}
}

// confirmedSince reports whether the store has confirmed the configuration at or
// after the given boot time.
func (sw *Switch) confirmedSince(begun time.Duration) bool {
	age, confirmed := sw.State.Age()
	return confirmed && sw.Boot.Now()-age >= begun
}

// storeUnavailable reports whether the store's last confirmation is missing or
// older than maxOwnConfirmationAge.
func (sw *Switch) storeUnavailable() bool {
	age, confirmed := sw.State.Age()
	return !confirmed || age > maxOwnConfirmationAge
}

// starting reports whether this instance started recently, so that all
// instances may be starting at once.
func (sw *Switch) starting() bool { return sw.Clock.Since(sw.started) < startupPeriod }

// candidates returns the instances that may read the store for this zone, in
// order.
func (sw *Switch) candidates() []loadshare.Member {
	starting := sw.starting()
	return candidates(sw.Members.List(), sw.Self, func(name string) bool { return starting || sw.Alive(name) })
}

// choose returns the first candidate that is not passed over. If all are, it
// returns the one that has waited the longest, so that a zone always has an
// instance that tries to read the store.
func (sw *Switch) choose() loadshare.Member {
	list := sw.candidates()
	chosen := list[0]
	for _, me := range list {
		if !sw.skips(me.Name) {
			return me
		}
		if sw.skipped[me.Name].Before(sw.skipped[chosen.Name]) {
			chosen = me
		}
	}
	return chosen
}

// skip passes a candidate over for skipTime.
func (sw *Switch) skip(name string) { sw.skipped[name] = sw.Clock.Now().Add(skipTime) }

// skipSelf passes this instance over because it cannot read the store. The time
// doubles with each attempt that the store did not answer.
func (sw *Switch) skipSelf(answered bool) {
	if answered {
		sw.ownSkipTime = skipTime
	}
	sw.ownSkipTime = max(sw.ownSkipTime, skipTime)
	sw.skipped[sw.Self.Name] = sw.Clock.Now().Add(sw.ownSkipTime)
	sw.ownSkipTime = min(2*sw.ownSkipTime, maxSkipTime)
}

func (sw *Switch) skips(name string) bool { return sw.Clock.Now().Before(sw.skipped[name]) }

// isFirst reports whether this instance is the first candidate of its zone and
// may read the store.
func (sw *Switch) isFirst() bool {
	return sw.candidates()[0].Name == sw.Self.Name && !sw.skips(sw.Self.Name)
}

// followOwnZone follows a candidate of this zone for as long as that is
// possible. A candidate that fails is passed over.
func (sw *Switch) followOwnZone(ctx context.Context, me loadshare.Member) {
	if err := sw.follow(ctx, me, true); ctx.Err() == nil && isFailure(err) {
		sw.skip(me.Name)
	}
}

// followAny follows an instance that has a fresh confirmation of the store, in
// this zone or another one, for up to alternativeTime. The store may reject the first
// candidates of a zone, or all of them, and still answer others.
func (sw *Switch) followAny(ctx context.Context) {
	me, found := sw.findFresh(ctx)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, alternativeTime)
	defer cancel()
	_ = sw.follow(ctx, me, false)
}

// pause waits for the given time or until ctx ends.
func (sw *Switch) pause(ctx context.Context, wait time.Duration) { pause.For(ctx, sw.Clock, wait) }
