package relay

import (
	"context"
	"slices"
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

	// newestKnown is the newest version that Inquire received.
	newestKnown atomic.Int64
	// fetching is held while Inquire fetches a configuration.
	fetching sync.Mutex
	started  time.Time
	// el decides what this instance does. Only the goroutine of Run uses it.
	el election
}

// Name implements controller.Controller.
func (sw *Switch) Name() string { return "relay" }

// Run implements controller.Controller.
func (sw *Switch) Run(ctx context.Context) error {
	sw.el = election{self: sw.Self.Name}
	sw.awaitMembers(ctx)
	sw.started = sw.Clock.Now()
	for ctx.Err() == nil {
		switch sw.el.phase {
		case reading:
			sw.readDirectly(ctx)
		case following:
			sw.followSource(ctx)
		case searching:
			sw.search(ctx)
		case resting:
			sw.pause(ctx, retryDelay+time.Duration(len(sw.Members.List()))*retryDelayPerInstance)
			sw.handle(event{kind: started})
		case undecided:
			sw.handle(event{kind: started})
		}
	}
	return nil
}

// handle passes an event of now to the election.
func (sw *Switch) handle(ev event) {
	ev.at, ev.age = sw.Clock.Now(), unknownAge
	if age, confirmed := sw.State.Age(); confirmed {
		ev.age = age
	}
	for _, me := range sw.candidates() {
		ev.ranked = append(ev.ranked, me.Name)
	}
	sw.el.handle(ev)
}

// followSource follows the source of the election.
func (sw *Switch) followSource(ctx context.Context) {
	list := sw.Members.List()
	ix := slices.IndexFunc(list, func(me loadshare.Member) bool { return me.Name == sw.el.source })
	if ix < 0 {
		sw.handle(event{kind: unreachable, name: sw.el.source})
		return
	}
	_ = sw.follow(ctx, list[ix])
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

// starting reports whether this instance started recently, so that all
// instances may be starting at once.
func (sw *Switch) starting() bool { return sw.Clock.Since(sw.started) < startupPeriod }

// candidates returns the instances that may read the store for this zone, in
// order.
func (sw *Switch) candidates() []loadshare.Member {
	starting := sw.starting()
	return candidates(sw.Members.List(), sw.Self, func(name string) bool { return starting || sw.Alive(name) })
}

// pause waits for the given time or until ctx ends.
func (sw *Switch) pause(ctx context.Context, wait time.Duration) { pause.For(ctx, sw.Clock, wait) }
