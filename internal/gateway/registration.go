package gateway

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
)

// Registry keeps the list of instances.
type Registry interface {
	// Register writes an instance down, over what is there of its name.
	Register(me loadshare.Member) error
	// Withdraw removes an instance.
	Withdraw(name string) error
}

// registerPause is the pause after a write that failed.
const registerPause = time.Second

// registration writes this instance down, once.
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
			re.log.Info().Str("event", "registered").Str("address", re.self.Address.String()).Msg("gateway: registered")
			break
		}
		re.log.Warn().Str("event", "not_registered").Err(err).Msg("gateway: not registered yet")
		select {
		case <-ctx.Done():
		case <-re.clock.After(registerPause):
		}
	}
	<-ctx.Done()
	return nil
}

// memberSink keeps the list of instances.
type memberSink struct {
	members *loadshare.Members
	known   map[string]loadshare.Member
}

// Reset implements feed.Sink.
func (ms *memberSink) Reset(list []feed.Object[loadshare.Member]) {
	ms.known = make(map[string]loadshare.Member, len(list))
	for _, ob := range list {
		ms.put(ob)
	}
	ms.publish()
}

// Apply implements feed.Sink.
func (ms *memberSink) Apply(list []feed.Change[loadshare.Member]) {
	for _, ch := range list {
		if ch.Removed {
			delete(ms.known, ch.Object.Name)
			continue
		}
		ms.put(ch.Object)
	}
	ms.publish()
}

// Contact implements feed.Sink.
func (*memberSink) Contact(time.Duration) {}

// Trouble implements feed.Sink.
func (*memberSink) Trouble(error) {}

func (ms *memberSink) put(ob feed.Object[loadshare.Member]) {
	if ob.Value == nil {
		delete(ms.known, ob.Name)
		return
	}
	ms.known[ob.Name] = *ob.Value
}

func (ms *memberSink) publish() {
	list := make([]loadshare.Member, 0, len(ms.known))
	for _, me := range ms.known {
		list = append(list, me)
	}
	ms.members.Set(list)
}
