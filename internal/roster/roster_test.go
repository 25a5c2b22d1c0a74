package roster

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
)

type fixture struct {
	*Roster
	clock *clockwork.FakeClock
	left  []string
}

func newFixture() *fixture {
	fx := &fixture{clock: clockwork.NewFakeClock()}
	fx.Roster = &Roster{Clock: fx.clock, Log: zerolog.Nop(), OnLeave: func(en Endpoint) { fx.left = append(fx.left, en.ID) }}
	return fx
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

func (fx *fixture) ready() []string {
	ids := []string{}
	for _, en := range fx.View().Ready("pool") {
		ids = append(ids, en.ID)
	}
	return ids
}

// An endpoint leaves at the first of several signals, and OnLeave is called
// once for it.
func TestLeaving(t *testing.T) {
	for _, ca := range []struct {
		name   string
		signal func(fx *fixture)
	}{
		{"by its entry", func(fx *fixture) { fx.Apply(put(object("e1", leaving))) }},
		{"by the removal of its entry", func(fx *fixture) { fx.Apply(removed("e1")) }},
		{"by its absence from a new list", func(fx *fixture) { fx.Reset([]feed.Object[Endpoint]{object("e2")}) }},
		{"by its answers", func(fx *fixture) { fx.Leave("e1") }},
		{"by an entry that cannot be decoded", func(fx *fixture) {
			fx.Apply(put(feed.Object[Endpoint]{Name: "e1", Err: errors.New("not JSON")}))
		}},
		{"by its entry and then its removal", func(fx *fixture) {
			fx.Apply(put(object("e1", leaving)))
			fx.Apply(removed("e1"))
		}},
		{"and does not become ready again without a restart", func(fx *fixture) {
			fx.Leave("e1")
			fx.Apply(put(object("e1")))
		}},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			fx := newFixture()
			fx.Reset([]feed.Object[Endpoint]{object("e1"), object("e2")})
			g.Expect(fx.ready()).To(Equal([]string{"e1", "e2"}))
			ca.signal(fx)
			g.Expect(fx.ready()).To(Equal([]string{"e2"}))
			g.Expect(fx.left).To(Equal([]string{"e1"}))
		})
	}
}

func TestRestartUnderTheSameID(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.Reset([]feed.Object[Endpoint]{object("e1")})
	fx.Leave("e1")
	fx.Apply(put(object("e1", restarted)))
	g.Expect(fx.ready()).To(Equal([]string{"e1"}), "the restarted endpoint is not leaving")
}

// Entries expire during an outage of the store although their endpoints may
// still run. Such endpoints stay in use until the grace period ends.
func TestEntriesThatRanOutWhileTheStoreWasAway(t *testing.T) {
	for _, ca := range []struct {
		name    string
		recover func(fx *fixture)
	}{
		{"missing from a list", func(fx *fixture) { fx.Reset(nil) }},
		{"removed by a change", func(fx *fixture) { fx.Apply(removed("e1")) }},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			fx := newFixture()
			fx.Reset([]feed.Object[Endpoint]{object("e1")})
			fx.CallFailed(errors.New("no answer"))
			fx.clock.Advance(5 * time.Second)
			g.Expect(fx.ready()).To(Equal([]string{"e1"}), "during the outage")
			ca.recover(fx)
			g.Expect(fx.ready()).To(Equal([]string{"e1"}), "retained after the store recovers")
			fx.clock.Advance(reregisterGracePeriod)
			fx.RemoveExpired()
			g.Expect(fx.ready()).To(BeEmpty(), "an endpoint still missing after the grace period is removed")
			g.Expect(fx.left).To(Equal([]string{"e1"}))
		})
	}
	t.Run("re-registered within the grace period", func(t *testing.T) {
		g := NewWithT(t)
		fx := newFixture()
		fx.Reset([]feed.Object[Endpoint]{object("e1")})
		fx.CallFailed(errors.New("no answer"))
		fx.Reset(nil)
		fx.clock.Advance(time.Second)
		fx.Apply(put(object("e1")))
		fx.clock.Advance(reregisterGracePeriod)
		fx.RemoveExpired()
		g.Expect(fx.ready()).To(Equal([]string{"e1"}))
		g.Expect(fx.left).To(BeEmpty())
	})
	t.Run("a removal after the grace period takes effect at once", func(t *testing.T) {
		g := NewWithT(t)
		fx := newFixture()
		fx.Reset([]feed.Object[Endpoint]{object("e1")})
		fx.CallFailed(errors.New("no answer"))
		fx.CallAnswered(0)
		fx.Apply(put(object("e1")))
		fx.clock.Advance(reregisterGracePeriod)
		fx.Apply(removed("e1"))
		g.Expect(fx.ready()).To(BeEmpty())
	})
}

func TestEvacuation(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.Reset([]feed.Object[Endpoint]{object("e1"), object("e2", func(en *Endpoint) { en.Zone = "b" })})
	fx.SetEvacuatedZones([]string{"a"})
	g.Expect(fx.ready()).To(Equal([]string{"e2"}))
	g.Expect(fx.left).To(BeEmpty(), "requests that run in an evacuated zone continue")
	fx.SetEvacuatedZones(nil)
	g.Expect(fx.ready()).To(Equal([]string{"e1", "e2"}))
}

func TestColdTime(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.Reset([]feed.Object[Endpoint]{object("e1", func(en *Endpoint) { en.ColdFor = time.Second })})
	en, _ := fx.View().Get("e1")
	g.Expect(en.ColdUntil).To(Equal(fx.clock.Now().Add(time.Second)))
}

func TestUsable(t *testing.T) {
	g := NewWithT(t)
	ro := &Roster{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()}
	ready := Endpoint{ID: "ready", Zone: "a"}
	leaving := Endpoint{ID: "leaving", Zone: "a", Leaving: true}
	evacuated := Endpoint{ID: "evacuated", Zone: "b"}
	for _, en := range []*Endpoint{&ready, &leaving, &evacuated} {
		ro.Apply([]feed.Change[Endpoint]{{Object: feed.Object[Endpoint]{Name: en.ID, Value: en}}})
	}
	ro.SetEvacuatedZones([]string{"b"})
	for id, want := range map[string]bool{"ready": true, "leaving": false, "evacuated": false, "unknown": false} {
		_, usable := ro.View().Usable(id)
		g.Expect(usable).To(Equal(want), id)
	}
}

// StoreUnresponsive reports true from a failed call until the store's next
// answer, even if that answer contains no changes.
func TestSilentStore(t *testing.T) {
	g := NewWithT(t)
	ro := &Roster{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()}
	g.Expect(ro.StoreUnresponsive()).To(BeFalse())
	for _, answer := range []func(){
		func() { ro.CallAnswered(0) }, func() { ro.Apply(nil) }, func() { ro.Reset(nil) },
	} {
		ro.CallFailed(errors.New("down"))
		g.Expect(ro.StoreUnresponsive()).To(BeTrue())
		answer()
		g.Expect(ro.StoreUnresponsive()).To(BeFalse())
	}
}

// An instance that follows a reader removes an endpoint as soon as the reader
// does, also shortly after it could not reach the store itself.
func TestReplicate(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.Reset([]feed.Object[Endpoint]{object("a"), object("b")})
	fx.CallFailed(errors.New("down"))
	fx.Apply(put(object("a")))
	c, d := object("c"), object("d")
	fx.Replicate(false, []Endpoint{*c.Value, *d.Value}, []string{"a"})
	g.Expect(fx.ready()).To(Equal([]string{"b", "c", "d"}))
	g.Expect(fx.left).To(Equal([]string{"a"}))
	fx.CallFailed(errors.New("down"))
	fx.Replicate(false, nil, nil)
	g.Expect(fx.StoreUnresponsive()).To(BeFalse(), "the reader gets answers")
	fx.Replicate(true, []Endpoint{*d.Value}, nil)
	g.Expect(fx.ready()).To(Equal([]string{"d"}))
}

// An endpoint that was removed, and that a restored store has, is used if the store
// keeps its entry for longer than that of an endpoint that is silent.
func TestRestoredEntryIsRenewed(t *testing.T) {
	g := NewWithT(t)
	fx := newFixture()
	fx.Reset([]feed.Object[Endpoint]{object("e1"), object("e2")})
	fx.Apply(removed("e1"))
	fx.Apply(removed("e2"))
	fx.Restored()
	fx.Reset([]feed.Object[Endpoint]{object("e1"), object("e2")})
	fx.clock.Advance(silencePeriod - time.Millisecond)
	fx.Apply(removed("e2"))
	fx.RemoveExpired()
	g.Expect(fx.ready()).To(BeEmpty())
	fx.clock.Advance(time.Millisecond)
	fx.RemoveExpired()
	g.Expect(fx.ready()).To(Equal([]string{"e1"}))
}

// A store that was restored from an older copy has endpoints that were removed, and
// lacks new ones. Neither is believed until the endpoint had time to write its entry
// again.
func TestRestoredStore(t *testing.T) {
	for _, ca := range []struct {
		name string
		// before and after are changes before the store was restored and after it.
		before, after [][]feed.Change[Endpoint]
		// copied are the entries of the copy.
		copied []feed.Object[Endpoint]
		lists  int
		ready  []string
	}{
		{name: "an endpoint is missing", ready: []string{"e1"}},
		{name: "a removed endpoint is back", before: [][]feed.Change[Endpoint]{removed("e1")}, copied: []feed.Object[Endpoint]{object("e1")}, ready: []string{}},
		{
			name: "a removed endpoint is back and listed twice", before: [][]feed.Change[Endpoint]{removed("e1")}, copied: []feed.Object[Endpoint]{object("e1")},
			lists: 2, ready: []string{},
		},
		{
			name: "a removed endpoint writes its entry again", before: [][]feed.Change[Endpoint]{removed("e1")}, copied: []feed.Object[Endpoint]{object("e1")},
			after: [][]feed.Change[Endpoint]{put(object("e1"))}, ready: []string{"e1"},
		},
		{
			name: "a removed endpoint restarted", before: [][]feed.Change[Endpoint]{removed("e1")}, copied: []feed.Object[Endpoint]{object("e1", restarted)},
			ready: []string{"e1"},
		},
		{name: "a leaving endpoint is ready again", before: [][]feed.Change[Endpoint]{put(object("e1", leaving))}, copied: []feed.Object[Endpoint]{object("e1")}, ready: []string{}},
		{
			name: "an endpoint that left writes its entry again", before: [][]feed.Change[Endpoint]{put(object("e1", leaving)), removed("e1")},
			copied: []feed.Object[Endpoint]{object("e1")}, after: [][]feed.Change[Endpoint]{put(object("e1"))}, ready: []string{},
		},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			fx := newFixture()
			fx.Reset([]feed.Object[Endpoint]{object("e1")})
			for _, list := range ca.before {
				fx.Apply(list)
			}
			fx.Restored()
			for range max(ca.lists, 1) {
				fx.Reset(ca.copied)
			}
			for _, list := range ca.after {
				fx.Apply(list)
			}
			g.Expect(fx.ready()).To(Equal(ca.ready))
			fx.clock.Advance(reregisterGracePeriod)
			fx.RemoveExpired()
			if len(ca.copied) == 0 {
				g.Expect(fx.ready()).To(BeEmpty(), "an endpoint that is still missing is gone")
			}
		})
	}
}

// Guards against a failed call of this instance alone that counts as an outage of the store:
// endpoints that were gone stayed in use (review/12). After an outage, the grace period counts
// from its end, whenever the list arrives.
func TestOutageIsToldByOutageEnd(t *testing.T) {
	for _, ca := range []struct {
		name string
		// ended is how long ago an outage ended when the list arrives, zero if there was none.
		ended time.Duration
		kept  bool
	}{
		{"no outage", 0, false},
		{"an outage", time.Millisecond, true},
		{"an outage of a while ago", reregisterGracePeriod - time.Millisecond, true},
		{"an outage of long ago", reregisterGracePeriod, false},
	} {
		for _, failed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, failed call %t", ca.name, failed), func(t *testing.T) {
				g := NewWithT(t)
				fx := newFixture()
				var end time.Time
				fx.OutageEnd = func() time.Time { return end }
				fx.Reset([]feed.Object[Endpoint]{object("e1")})
				if failed {
					fx.CallFailed(errors.New("no answer"))
				}
				fx.clock.Advance(5 * time.Second)
				if ca.ended > 0 {
					end = fx.clock.Now().Add(-ca.ended)
				}
				fx.Apply(removed("e1"))
				g.Expect(len(fx.ready()) > 0).To(Equal(ca.kept))
				fx.clock.Advance(reregisterGracePeriod - ca.ended)
				fx.RemoveExpired()
				g.Expect(fx.ready()).To(BeEmpty())
			})
		}
	}
	t.Run("a store that was restored from a copy", func(t *testing.T) {
		g := NewWithT(t)
		fx := newFixture()
		fx.OutageEnd = func() time.Time { return time.Time{} }
		fx.Reset([]feed.Object[Endpoint]{object("e1")})
		fx.Restored()
		fx.Reset(nil)
		g.Expect(fx.ready()).To(Equal([]string{"e1"}))
	})
}
