package roster

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
)

type world struct {
	*Roster
	clock *clockwork.FakeClock
	left  []string
}

func newWorld() *world {
	wo := &world{clock: clockwork.NewFakeClock()}
	wo.Roster = &Roster{Clock: wo.clock, Log: zerolog.Nop(), OnLeave: func(en Endpoint) { wo.left = append(wo.left, en.ID) }}
	return wo
}

func object(id string, change ...func(*Endpoint)) feed.Object[Endpoint] {
	en := Endpoint{ID: id, Service: "pool", Zone: "a", Started: 1}
	for _, ch := range change {
		ch(&en)
	}
	return feed.Object[Endpoint]{Name: id, Value: &en}
}

func leaving(en *Endpoint) { en.Leaving = true }

func restarted(en *Endpoint) { en.Started = 2 }

func put(ob feed.Object[Endpoint]) []feed.Change[Endpoint] {
	return []feed.Change[Endpoint]{{Object: ob}}
}

func removed(id string) []feed.Change[Endpoint] {
	return []feed.Change[Endpoint]{{Object: feed.Object[Endpoint]{Name: id}, Removed: true}}
}

func (wo *world) ready() []string {
	ids := []string{}
	for _, en := range wo.View().Ready("pool") {
		ids = append(ids, en.ID)
	}
	return ids
}

// An endpoint leaves by whichever sign comes first, and is told of once.
func TestLeaving(t *testing.T) {
	for _, ca := range []struct {
		name  string
		signs func(wo *world)
	}{
		{"by its entry", func(wo *world) { wo.Apply(put(object("e1", leaving))) }},
		{"by the removal of its entry", func(wo *world) { wo.Apply(removed("e1")) }},
		{"by its absence from a list", func(wo *world) { wo.Reset([]feed.Object[Endpoint]{object("e2")}) }},
		{"by its answers", func(wo *world) { wo.Leave("e1") }},
		{"by an entry that can't be read", func(wo *world) {
			wo.Apply(put(feed.Object[Endpoint]{Name: "e1", Err: errors.New("not JSON")}))
		}},
		{"by its entry and then its removal", func(wo *world) {
			wo.Apply(put(object("e1", leaving)))
			wo.Apply(removed("e1"))
		}},
		{"and does not come back in the same start", func(wo *world) {
			wo.Leave("e1")
			wo.Apply(put(object("e1")))
		}},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			wo := newWorld()
			wo.Reset([]feed.Object[Endpoint]{object("e1"), object("e2")})
			g.Expect(wo.ready()).To(Equal([]string{"e1", "e2"}))
			ca.signs(wo)
			g.Expect(wo.ready()).To(Equal([]string{"e2"}))
			g.Expect(wo.left).To(Equal([]string{"e1"}))
		})
	}
}

func TestRestartUnderTheSameID(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld()
	wo.Reset([]feed.Object[Endpoint]{object("e1")})
	wo.Leave("e1")
	wo.Apply(put(object("e1", restarted)))
	g.Expect(wo.ready()).To(Equal([]string{"e1"}), "the new start has not said that it leaves")
}

// Entries run out while the store is away; the endpoints may well live.
func TestEntriesThatRanOutWhileTheStoreWasAway(t *testing.T) {
	for _, ca := range []struct {
		name     string
		comeBack func(wo *world)
	}{
		{"found missing by a list", func(wo *world) { wo.Reset(nil) }},
		{"removed by a change", func(wo *world) { wo.Apply(removed("e1")) }},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			wo := newWorld()
			wo.Reset([]feed.Object[Endpoint]{object("e1")})
			wo.Trouble(errors.New("no answer"))
			wo.clock.Advance(5 * time.Second)
			g.Expect(wo.ready()).To(Equal([]string{"e1"}), "while the store is away")
			ca.comeBack(wo)
			g.Expect(wo.ready()).To(Equal([]string{"e1"}), "held when it is back")
			wo.clock.Advance(holdTime)
			wo.Tick()
			g.Expect(wo.ready()).To(BeEmpty(), "one that is still missing is gone")
			g.Expect(wo.left).To(Equal([]string{"e1"}))
		})
	}
	t.Run("back in time", func(t *testing.T) {
		g := NewWithT(t)
		wo := newWorld()
		wo.Reset([]feed.Object[Endpoint]{object("e1")})
		wo.Trouble(errors.New("no answer"))
		wo.Reset(nil)
		wo.clock.Advance(time.Second)
		wo.Apply(put(object("e1")))
		wo.clock.Advance(holdTime)
		wo.Tick()
		g.Expect(wo.ready()).To(Equal([]string{"e1"}))
		g.Expect(wo.left).To(BeEmpty())
	})
	t.Run("a removal long after the return is final", func(t *testing.T) {
		g := NewWithT(t)
		wo := newWorld()
		wo.Reset([]feed.Object[Endpoint]{object("e1")})
		wo.Trouble(errors.New("no answer"))
		wo.Contact(0)
		wo.Apply(put(object("e1")))
		wo.clock.Advance(holdTime)
		wo.Apply(removed("e1"))
		g.Expect(wo.ready()).To(BeEmpty())
	})
}

func TestEvacuation(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld()
	wo.Reset([]feed.Object[Endpoint]{object("e1"), object("e2", func(en *Endpoint) { en.Zone = "b" })})
	wo.Evacuate([]string{"a"})
	g.Expect(wo.ready()).To(Equal([]string{"e2"}))
	g.Expect(wo.left).To(BeEmpty(), "what runs there goes on")
	wo.Evacuate(nil)
	g.Expect(wo.ready()).To(Equal([]string{"e1", "e2"}))
}

func TestColdTime(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld()
	wo.Reset([]feed.Object[Endpoint]{object("e1", func(en *Endpoint) { en.ColdFor = time.Second })})
	en, _ := wo.View().Get("e1")
	g.Expect(en.ColdUntil).To(Equal(wo.clock.Now().Add(time.Second)))
}

func TestUsable(t *testing.T) {
	g := NewWithT(t)
	ro := &Roster{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()}
	ready := Endpoint{ID: "ready", Zone: "a"}
	leaving := Endpoint{ID: "leaving", Zone: "a", Leaving: true}
	away := Endpoint{ID: "away", Zone: "b"}
	for _, en := range []*Endpoint{&ready, &leaving, &away} {
		ro.Apply([]feed.Change[Endpoint]{{Object: feed.Object[Endpoint]{Name: en.ID, Value: en}}})
	}
	ro.Evacuate([]string{"b"})
	for id, want := range map[string]bool{"ready": true, "leaving": false, "away": false, "unknown": false} {
		_, usable := ro.View().Usable(id)
		g.Expect(usable).To(Equal(want), id)
	}
}

// The store counts as silent from a call without an answer to the next answer,
// also one that tells nothing new.
func TestSilentStore(t *testing.T) {
	g := NewWithT(t)
	ro := &Roster{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()}
	g.Expect(ro.Silent()).To(BeFalse())
	for _, answer := range []func(){
		func() { ro.Contact(0) }, func() { ro.Apply(nil) }, func() { ro.Reset(nil) },
	} {
		ro.Trouble(errors.New("down"))
		g.Expect(ro.Silent()).To(BeTrue())
		answer()
		g.Expect(ro.Silent()).To(BeFalse())
	}
}
