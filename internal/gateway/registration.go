package gateway

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
)

// Registry writes the list of instances that is kept in the platform's store.
type Registry interface {
	// Register creates the entry of an instance or replaces the one of the same
	// name.
	Register(me loadshare.Member) error
	// Withdraw removes the entry of an instance. A Gateway does not call it.
	Withdraw(name string) error
}

// registerRetryDelay is the delay before a failed registration is retried.
const registerRetryDelay = time.Second

// registration is the controller that registers this instance once, retrying
// until the write succeeds.
type registration struct {
	registry Registry
	self     loadshare.Member
	clock    clockwork.Clock
	log      zerolog.Logger
}

// Name implements controller.Controller.
func (*registration) Name() string { return "registration" }

// Run implements controller.Controller.
func (re *registration) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := re.registry.Register(re.self)
		if err == nil {
			re.log.Info().Str("event", "registered").Str("address", re.self.Address.String()).Msg("gateway: instance registered in the store")
			break
		}
		re.log.Warn().Str("event", "not_registered").Err(err).Msg("gateway: registration failed, retrying")
		select {
		case <-ctx.Done():
		case <-re.clock.After(registerRetryDelay):
		}
	}
	<-ctx.Done()
	return nil
}

// memberSink updates the list of instances from the store.
type memberSink struct {
	members *loadshare.Members
	byName  map[string]loadshare.Member
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
}
