package placement

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// Pattern: the zone is cut off. After the first endpoints of another zone that
// can't be reached, its others are not tried before busy ones at home; once the
// way has healed they are used again.
func TestZonesBehindACut(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	bo := newBoard(clock)
	list := endpoints("a", "b", "b", "b", "b", "c")
	work := Work{Engine: testEngine, Prompt: 3000, Output: 400}
	for range 2 {
		bo.Begin(list[0], work) // home is busy
	}
	choose := func() string {
		ch, found := bo.Choose(list, work, nil)
		g.Expect(found).To(BeTrue())
		return ch.Endpoint.Zone
	}
	g.Expect(choose()).To(BeElementOf("b", "c"))
	bo.Begin(list[1], work).End(Unreachable)
	bo.Begin(list[2], work).End(Unreachable)
	g.Expect(choose()).To(Equal("c"), "only the way to b is suspected")
	bo.Begin(list[5], work).End(Unreachable)
	g.Expect(choose()).To(Equal("a"))
	clock.Advance(10 * time.Second)
	g.Expect(choose()).To(BeElementOf("b", "c"), "it is forgotten")
	bo.Begin(list[1], work).End(Unreachable)
	bo.Begin(list[5], work).End(Unreachable)
	g.Expect(choose()).To(Equal("a"))
	bo.Begin(list[3], work).End(Done)
	g.Expect(choose()).To(Equal("b"), "an answer shows that the way is open")
}

// An endpoint at home that can't be reached says nothing of its zone.
func TestHomeHasNoBorder(t *testing.T) {
	g := NewWithT(t)
	bo := newBoard(clockwork.NewFakeClock())
	list := endpoints("a", "a", "b")
	work := Work{Engine: testEngine, Prompt: 3000, Output: 400}
	bo.Begin(list[0], work).End(Unreachable)
	ch, _ := bo.Choose(list, work, nil)
	g.Expect(ch.Endpoint.ID).To(Equal("e1"))
}
