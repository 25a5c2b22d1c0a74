package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/pause"
)

// Registry reads and writes the list of instances that is kept in the platform's
// store.
type Registry interface {
	// Register creates the entry of an instance or replaces the one of the same
	// name.
	Register(me loadshare.Member) error
	// Registered returns the registered instances as they were up to a few
	// seconds ago. Such a call costs the store less than others.
	Registered(ctx context.Context) ([]loadshare.Member, error)
}

const (
	// minRegistrationBackoff and maxRegistrationBackoff bound the pause after a
	// failed call.
	minRegistrationBackoff = 200 * time.Millisecond
	maxRegistrationBackoff = time.Second
	// joinDelay is the time between the registration of a new instance and its
	// first complete list of the others. Many new instances start together.
	joinDelay = 1500 * time.Millisecond
)

// registration is the controller that makes this instance and the others known
// to each other: it registers this one and reads which others there are. Later
// instances are learned from the instance that reads the store (see package
// relay).
type registration struct {
	registry Registry
	// source lists the registered instances as they are now.
	source  feed.Source[loadshare.Member]
	members *loadshare.Members
	self    loadshare.Member
	// known is closed once members is filled.
	known chan struct{}
	clock clockwork.Clock
	log   zerolog.Logger
}

// Name implements controller.Controller.
func (*registration) Name() string { return "registration" }

// Run implements controller.Controller.
func (re *registration) Run(ctx context.Context) error {
	if re.repeat(ctx, re.join) {
		re.log.Info().Str("event", "registered").Str("address", re.self.Address.String()).Int("instances", len(re.members.List())).Msg("gateway: instance registered in the store")
		close(re.known)
	}
	<-ctx.Done()
	return nil
}

// repeat calls step until it succeeds, and reports whether it did before ctx
// ended.
func (re *registration) repeat(ctx context.Context, step func(ctx context.Context) error) bool {
	for wait := minRegistrationBackoff; ctx.Err() == nil; wait = min(2*wait, maxRegistrationBackoff) {
		err := step(ctx)
		if err == nil {
			return true
		}
		re.log.Warn().Str("event", "not_registered").Err(err).Msg("gateway: registration failed, retrying")
		pause.For(ctx, re.clock, wait/2+rand.N(wait/2))
	}
	return false
}

// join registers this instance, unless it was registered before its last start,
// and fills the list of instances.
func (re *registration) join(ctx context.Context) error {
	list, err := re.registry.Registered(ctx)
	if err != nil {
		return err
	}
	if slices.Contains(list, re.self) {
		re.members.Add(list)
		return nil
	}
	if err := re.registry.Register(re.self); err != nil {
		return err
	}
	pause.For(ctx, re.clock, joinDelay)
	if !re.repeat(ctx, re.list) {
		return ctx.Err()
	}
	return nil
}

// list reads the current list of instances.
func (re *registration) list(ctx context.Context) error {
	list, _, err := re.source.List(ctx)
	if err != nil {
		return err
	}
	sink := memberSink{members: re.members}
	sink.Reset(list)
	return nil
}

// memberSink updates the list of instances from the store.
type memberSink struct {
	members *loadshare.Members
	// onChange is called after the list has changed. It may be nil.
	onChange func()
	byName   map[string]loadshare.Member
}

// Reset implements feed.Sink.
func (ms *memberSink) Reset(list []feed.Object[loadshare.Member]) {
	ms.byName = make(map[string]loadshare.Member, len(list))
	for _, ob := range list {
		ms.set(ob)
	}
	ms.publish()
}

// Apply implements feed.Sink.
func (ms *memberSink) Apply(list []feed.Change[loadshare.Member]) {
	for _, ch := range list {
		if ch.Removed {
			delete(ms.byName, ch.Object.Name)
			continue
		}
		ms.set(ch.Object)
	}
	ms.publish()
}

// CallAnswered implements feed.Sink.
func (*memberSink) CallAnswered(time.Duration) {}

// CallFailed implements feed.Sink.
func (*memberSink) CallFailed(error) {}

func (ms *memberSink) set(ob feed.Object[loadshare.Member]) {
	if ob.Value == nil {
		delete(ms.byName, ob.Name)
		return
	}
	ms.byName[ob.Name] = *ob.Value
}

func (ms *memberSink) publish() {
	list := make([]loadshare.Member, 0, len(ms.byName))
	for _, me := range ms.byName {
		list = append(list, me)
	}
	ms.members.Set(list)
	if ms.onChange != nil {
		ms.onChange()
	}
}
