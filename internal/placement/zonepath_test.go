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
	lt := newTracker(clock)
	list := endpoints("a", "b", "b", "b", "b", "c")
	demand := Demand{Engine: testEngine, Prompt: 3000, Output: 400}
	for range 2 {
		lt.Begin(list[0], demand) // the instance's zone is busy
	}
	choose := func() string {
		ch, found := lt.Choose(list, demand, nil)
		g.Expect(found).To(BeTrue())
		return ch.Endpoint.Zone
	}
	g.Expect(choose()).To(BeElementOf("b", "c"))
	lt.Begin(list[1], demand).End(Unreachable)
	lt.Begin(list[2], demand).End(Unreachable)
	g.Expect(choose()).To(Equal("c"), "only the path to zone b has failed")
	lt.Begin(list[5], demand).End(Unreachable)
	g.Expect(choose()).To(Equal("a"))
	clock.Advance(10 * time.Second)
	g.Expect(choose()).To(BeElementOf("b", "c"), "the failures have decayed")
	lt.Begin(list[1], demand).End(Unreachable)
	lt.Begin(list[5], demand).End(Unreachable)
	g.Expect(choose()).To(Equal("a"))
	lt.Begin(list[3], demand).End(Done)
	g.Expect(choose()).To(Equal("b"), "a response shows that the path to zone b works")
}

// A failed connection attempt within the instance's zone counts against that
// endpoint only, not against the zone.
func TestHomeHasNoBorder(t *testing.T) {
	g := NewWithT(t)
	lt := newTracker(clockwork.NewFakeClock())
	list := endpoints("a", "a", "b")
	demand := Demand{Engine: testEngine, Prompt: 3000, Output: 400}
	lt.Begin(list[0], demand).End(Unreachable)
	ch, _ := lt.Choose(list, demand, nil)
	g.Expect(ch.Endpoint.ID).To(Equal("e1"))
}
