package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
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
	// Restore creates the entry of an instance. It has no effect if there is one of
	// that name.
	Restore(me loadshare.Member) error
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
	lost := false
	listed := re.repeat(ctx, func(ctx context.Context) error {
		err := re.list(ctx)
		if lost = errors.Is(err, errNotListed); lost {
			return nil
		}
		return err
	})
	switch {
	case !listed:
		return ctx.Err()
	case lost:
		return errNotListed
	default:
		return nil
	}
}

// list reads the current list of instances.
func (re *registration) list(ctx context.Context) error {
	list, _, err := re.source.List(ctx)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(list, func(ob feed.Object[loadshare.Member]) bool { return ob.Name == re.self.Name }) {
		return errNotListed
	}
	sink := memberSink{members: re.members}
	sink.Reset(list)
	return nil
}

// errNotListed means that the store lost the entry of this instance after it had
// acknowledged it.
var errNotListed = errors.New("gateway: the store does not have the entry of this instance")

// memberSink updates the list of instances from the store.
type memberSink struct {
	members *loadshare.Members
	// onChange is called after the list has changed. It may be nil.
	onChange func()
	// onLost is called with the instances whose entries were lost when the store was
	// restored from an older copy. They stay in the list. It may be nil.
	onLost   func(lost []loadshare.Member, isLost func(name string) bool)
	byName   map[string]loadshare.Member
	restored bool

	mu sync.Mutex
	// lost has the names of those instances, until they are in the store again.
	lost map[string]bool
}

// isLost reports whether the store still lacks the entry of an instance.
func (ms *memberSink) isLost(name string) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.lost[name]
}

// Restored implements feed.Sink.
func (ms *memberSink) Restored() { ms.restored = true }

// Reset implements feed.Sink.
func (ms *memberSink) Reset(list []feed.Object[loadshare.Member]) {
	ms.byName = make(map[string]loadshare.Member, len(list))
	for _, ob := range list {
		ms.set(ob)
	}
	if ms.restored {
		ms.restored = false
		ms.keepLost()
	}
	ms.publish()
}

// keepLost keeps the instances that are known but not in the list.
func (ms *memberSink) keepLost() {
	var lost []loadshare.Member
	for _, me := range ms.members.List() {
		if _, listed := ms.byName[me.Name]; !listed {
			lost = append(lost, me)
			ms.byName[me.Name] = me
		}
	}
	ms.mu.Lock()
	ms.lost = make(map[string]bool, len(lost))
	for _, me := range lost {
		ms.lost[me.Name] = true
	}
	ms.mu.Unlock()
	if len(lost) > 0 && ms.onLost != nil {
		ms.onLost(lost, ms.isLost)
	}
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
	ms.mu.Lock()
	delete(ms.lost, ob.Name)
	ms.mu.Unlock()
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

// maxRegisterAttempts limits the attempts to write a lost entry again.
const maxRegisterAttempts = 5

// otherZoneDelay is how long the reader of another zone has to write the entries of
// its own instances again.
const otherZoneDelay = 2 * time.Second

// registerAgain writes the entries of instances again that a restored store has lost.
// It returns at once. Those of other zones follow after otherZoneDelay if they are
// still missing, since the reader of their zone may not have noticed the loss.
func (gw *Gateway) registerAgain(lost []loadshare.Member, isLost func(name string) bool) {
	go func() {
		others := slices.DeleteFunc(slices.Clone(lost), func(me loadshare.Member) bool { return me.Zone == gw.Settings.Zone })
		for _, me := range lost {
			if me.Zone == gw.Settings.Zone {
				gw.registerOne(me)
			}
		}
		gw.Clock.Sleep(otherZoneDelay)
		for _, me := range others {
			if isLost(me.Name) {
				gw.registerOne(me)
			}
		}
	}()
}

// registerOne writes the entry of an instance again. An entry that is there by then is
// newer: the instance may have started again with another address meanwhile.
func (gw *Gateway) registerOne(me loadshare.Member) {
	var err error
	for attempt := range maxRegisterAttempts {
		if err = gw.Adapter.Registry.Restore(me); err == nil {
			gw.Log.Info().Str("event", "registered_again").Str("member", me.Name).Msg("gateway: wrote the entry of an instance again that the restored store had lost")
			return
		}
		gw.Clock.Sleep(minRegistrationBackoff << attempt)
	}
	gw.Log.Warn().Str("event", "not_registered").Str("member", me.Name).Err(err).Msg("gateway: the entry of an instance that the restored store had lost could not be written again")
}
