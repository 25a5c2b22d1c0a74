package placement

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// During a network partition each attempt to another zone costs a caller its
// full duration. After the first connection attempts to a zone have failed,
// busy endpoints in the instance's zone are preferred to the remaining ones in
// that zone. Once the failures have decayed or a request to that zone has
// succeeded, its endpoints are used again.
func TestZonesBehindACut(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	bo := newBoard(clock)
	list := endpoints("a", "b", "b", "b", "b", "c")
	work := Work{Engine: testEngine, Prompt: 3000, Output: 400}
	for range 2 {
		bo.Begin(list[0], work) // the instance's zone is busy
	}
	choose := func() string {
		ch, found := bo.Choose(list, work, nil)
		g.Expect(found).To(BeTrue())
		return ch.Endpoint.Zone
	}
	g.Expect(choose()).To(BeElementOf("b", "c"))
	bo.Begin(list[1], work).End(Unreachable)
	bo.Begin(list[2], work).End(Unreachable)
	g.Expect(choose()).To(Equal("c"), "only the path to zone b has failed")
	bo.Begin(list[5], work).End(Unreachable)
	g.Expect(choose()).To(Equal("a"))
	clock.Advance(10 * time.Second)
	g.Expect(choose()).To(BeElementOf("b", "c"), "the failures have decayed")
	bo.Begin(list[1], work).End(Unreachable)
	bo.Begin(list[5], work).End(Unreachable)
	g.Expect(choose()).To(Equal("a"))
	bo.Begin(list[3], work).End(Done)
	g.Expect(choose()).To(Equal("b"), "a response shows that the path to zone b works")
}

// A failed connection attempt within the instance's zone counts against that
// endpoint only, not against the zone.
func TestHomeHasNoBorder(t *testing.T) {
	g := NewWithT(t)
	bo := newBoard(clockwork.NewFakeClock())
	list := endpoints("a", "a", "b")
	work := Work{Engine: testEngine, Prompt: 3000, Output: 400}
	bo.Begin(list[0], work).End(Unreachable)
	ch, _ := bo.Choose(list, work, nil)
	g.Expect(ch.Endpoint.ID).To(Equal("e1"))
}
