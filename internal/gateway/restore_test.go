package gateway

import (
	"context"
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/relay"
	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
)

// An evacuation that a restored store has lost holds until operators had time to
// write it again.
func TestEvacuationsOfRestoredStore(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	ro := &roster.Roster{Clock: clock, Log: zerolog.Nop()}
	es := &evacuationSink{roster: ro, clock: clock}
	zone := func(name string) feed.Object[string] { return feed.Object[string]{Name: name, Value: &name} }
	es.Reset([]feed.Object[string]{zone("a"), zone("b")})
	es.Restored()
	es.Reset([]feed.Object[string]{zone("b"), zone("c")})
	es.CallAnswered(0)
	g.Expect(ro.View().Evacuated()).To(Equal([]string{"a", "b", "c"}))
	es.Apply([]feed.Change[string]{{Object: zone("c"), Removed: true}})
	g.Expect(ro.View().Evacuated()).To(Equal([]string{"a", "b"}))
	clock.Advance(rewriteTime)
	es.CallAnswered(0)
	g.Expect(ro.View().Evacuated()).To(Equal([]string{"b"}))
}

// An order that a restored store has lost stays in force until operators had time to
// write it again. One that can't be read orders nothing.
func TestRollOutsOfRestoredStore(t *testing.T) {
	g := NewWithT(t)
	clock, boot := clockwork.NewFakeClock(), &boottime.Manual{}
	orders := &relay.Orders{Registry: &rollout.Registry{}, Clock: clock, Boot: boot}
	rs := &rolloutSink{orders: orders, clock: clock, log: zerolog.Nop()}
	order := func(service string) feed.Object[rollout.Order] {
		return feed.Object[rollout.Order]{Name: service, Value: &rollout.Order{Service: service, Target: "v2"}}
	}
	rs.Reset([]feed.Object[rollout.Order]{order("s"), order("t")})
	rs.Restored()
	rs.Reset([]feed.Object[rollout.Order]{order("t")})
	rs.CallAnswered(0)
	g.Expect(orders.List()).To(HaveLen(2))
	clock.Advance(rewriteTime)
	rs.CallAnswered(0)
	g.Expect(orders.List()).To(ConsistOf(HaveField("Service", "t")))
	rs.Apply([]feed.Change[rollout.Order]{{Object: feed.Object[rollout.Order]{Name: "t", Err: errors.New("unreadable")}}})
	g.Expect(orders.List()).To(BeEmpty())
}

// Instances whose entries a restored store has lost stay known, and are written
// again until the store has them.
func TestMembersOfRestoredStore(t *testing.T) {
	g := NewWithT(t)
	var members loadshare.Members
	var lost []loadshare.Member
	ms := &memberSink{members: &members, onLost: func(list []loadshare.Member, _ func(string) bool) { lost = list }}
	object := func(name string) feed.Object[loadshare.Member] {
		return feed.Object[loadshare.Member]{Name: name, Value: &loadshare.Member{Name: name}}
	}
	ms.Reset([]feed.Object[loadshare.Member]{object("i1"), object("i2")})
	ms.Restored()
	ms.Reset([]feed.Object[loadshare.Member]{object("i1")})
	g.Expect(lost).To(ConsistOf(loadshare.Member{Name: "i2"}))
	g.Expect(members.List()).To(HaveLen(2))
	g.Expect(ms.isLost("i2")).To(BeTrue())
	ms.Apply([]feed.Change[loadshare.Member]{{Object: object("i2")}})
	g.Expect(ms.isLost("i2")).To(BeFalse())
	ms.Reset([]feed.Object[loadshare.Member]{object("i1")})
	g.Expect(members.List()).To(HaveLen(1), "a list without a new era is complete")
}

// A new instance whose entry was lost before it read the list registers again.
func TestEntryLostWhileJoining(t *testing.T) {
	g := NewWithT(t)
	self := loadshare.Member{Name: "self", Zone: "a"}
	fr := &forgetfulRegistry{forget: 1}
	g.Expect(registerWith(t, fr, fr, self)).To(ConsistOf(self))
	g.Expect(fr.registered).To(Equal(2))
}

// Guards against a lost entry that another instance writes again after its own instance
// did, with the address that it had before: no instance could reach that one any more.
func TestRestoredEntryReplacesNoNewerOne(t *testing.T) {
	g := NewWithT(t)
	older, newer := loadshare.Member{Name: "i", LinkMbps: 10}, loadshare.Member{Name: "i", LinkMbps: 20}
	fr := &fakeRegistry{current: []loadshare.Member{newer}}
	gw := &Gateway{Adapter: Adapter{Registry: fr}, Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()}
	gw.registerOne(older)
	g.Expect(fr.current).To(ConsistOf(newer))
}

// forgetfulRegistry loses the first entries that it acknowledges.
type forgetfulRegistry struct {
	fakeRegistry
	forget int
}

func (fr *forgetfulRegistry) Register(me loadshare.Member) error {
	err := fr.fakeRegistry.Register(me)
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.forget > 0 {
		fr.forget--
		fr.current = nil
	}
	return err
}

// A list that fails is asked for again. The instance does not register anew for that.
func TestListIsRepeatedWhileJoining(t *testing.T) {
	g := NewWithT(t)
	self := loadshare.Member{Name: "self", Zone: "a"}
	fr := &failingLists{fail: 4}
	g.Expect(registerWith(t, fr, fr, self)).To(ConsistOf(self))
	g.Expect(fr.registered).To(Equal(1))
}

// failingLists fails the first lists.
type failingLists struct {
	fakeRegistry
	fail int
}

func (fl *failingLists) List(ctx context.Context) ([]feed.Object[loadshare.Member], feed.Position, error) {
	fl.mu.Lock()
	failing := fl.fail > 0
	fl.fail--
	fl.mu.Unlock()
	if failing {
		return nil, feed.Position{}, errors.New("the store is slow")
	}
	return fl.fakeRegistry.List(ctx)
}
