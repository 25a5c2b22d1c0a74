package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
)

// fakeRegistry is a Registry and a source of instances that counts calls.
type fakeRegistry struct {
	mu         sync.Mutex
	stale      []loadshare.Member
	current    []loadshare.Member
	fail       int
	registered int
	lists      int
}

func (fr *fakeRegistry) Registered(context.Context) ([]loadshare.Member, error) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.fail > 0 {
		fr.fail--
		return nil, errors.New("the store is down")
	}
	return fr.stale, nil
}

func (fr *fakeRegistry) Register(me loadshare.Member) error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.registered++
	fr.current = append(fr.current, me)
	return nil
}

func (fr *fakeRegistry) Restore(me loadshare.Member) error {
	fr.mu.Lock()
	registered := slices.ContainsFunc(fr.current, func(it loadshare.Member) bool { return it.Name == me.Name })
	fr.mu.Unlock()
	if registered {
		return nil
	}
	return fr.Register(me)
}

func (fr *fakeRegistry) List(context.Context) (list []feed.Object[loadshare.Member], at feed.Position, err error) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.lists++
	for _, me := range fr.current {
		list = append(list, feed.Object[loadshare.Member]{Name: me.Name, Value: &me})
	}
	return list, feed.Position{Revision: 1}, nil
}

func (*fakeRegistry) Watch(context.Context, feed.Position, time.Duration) ([]feed.Change[loadshare.Member], feed.Position, error) {
	return nil, feed.Position{}, errors.New("unexpected call to Watch")
}

// register runs a registration until the instances are known.
func register(t *testing.T, fr *fakeRegistry, self loadshare.Member) []loadshare.Member {
	t.Helper()
	return registerWith(t, fr, fr, self)
}

func registerWith(t *testing.T, registry Registry, source feed.Source[loadshare.Member], self loadshare.Member) []loadshare.Member {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock := clockwork.NewFakeClock()
	re := &registration{registry: registry, source: source, members: &loadshare.Members{}, self: self, known: make(chan struct{}), clock: clock, log: zerolog.Nop()}
	go func() { _ = re.Run(ctx) }()
	for {
		select {
		case <-re.known:
			return re.members.List()
		case <-time.After(time.Millisecond):
			clock.Advance(100 * time.Millisecond)
		}
	}
}

// A new instance registers itself and lists the others after the time in which
// other new instances register.
func TestNewInstanceRegisters(t *testing.T) {
	g := NewWithT(t)
	other, self := loadshare.Member{Name: "other", Zone: "a"}, loadshare.Member{Name: "self", Zone: "a"}
	fr := &fakeRegistry{fail: 3, current: []loadshare.Member{other}}
	g.Expect(register(t, fr, self)).To(ConsistOf(other, self))
	g.Expect(fr.registered).To(Equal(1))
	g.Expect(fr.lists).To(Equal(1))
}

// An instance that starts again makes no call but the cheap one. All instances
// may start again at once.
func TestRestartedInstanceIsRegistered(t *testing.T) {
	g := NewWithT(t)
	other, self := loadshare.Member{Name: "other", Zone: "a"}, loadshare.Member{Name: "self", Zone: "a"}
	fr := &fakeRegistry{stale: []loadshare.Member{other, self}}
	g.Expect(register(t, fr, self)).To(ConsistOf(other, self))
	g.Expect(fr.registered + fr.lists).To(BeZero())
}

// An instance whose address or link changed replaces its entry.
func TestChangedInstanceRegistersAgain(t *testing.T) {
	g := NewWithT(t)
	self := loadshare.Member{Name: "self", Zone: "a", LinkMbps: 20}
	fr := &fakeRegistry{stale: []loadshare.Member{{Name: "self", Zone: "a", LinkMbps: 10}}}
	g.Expect(register(t, fr, self)).To(ConsistOf(self))
	g.Expect(fr.registered).To(Equal(1))
}
