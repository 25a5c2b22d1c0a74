package placement

import (
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// All engines of the instance's own zone restart at once. A request tries two of them and
// then goes to another zone, and so do the next ones, until the first success there or the
// end of a second.
func TestZoneThatRestarts(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	lt := newTracker(clock)
	var reported []FailingZone
	lt.OnZoneFailing = func(fz FailingZone) { reported = append(reported, fz) }
	list := endpoints("a", "a", "a", "a", "a", "b", "b", "c")
	demand := Demand{Engine: testEngine, Prompt: 3000, Output: 1500}
	attempts := func() int {
		tried := make(map[string]bool)
		for {
			ch, _ := lt.Choose(list, demand, tried)
			if ch.Endpoint.Zone != "a" {
				return len(tried)
			}
			tried[ch.Endpoint.ID] = true
			lt.Begin(ch.Endpoint, demand).End(Unreachable)
		}
	}
	g.Expect(attempts()).To(Equal(failingEndpoints))
	g.Expect(attempts()).To(BeZero())
	g.Expect(reported).To(Equal([]FailingZone{{Zone: "a", Endpoints: failingEndpoints}}))
	clock.Advance(zoneFailurePeriod)
	g.Expect(attempts()).To(BeNumerically("<=", failingEndpoints), "tried again after a second")
	lt.Begin(list[4], demand).Answered()
	ch, _ := lt.Choose(list, demand, nil)
	g.Expect(ch.Endpoint.Zone).To(Equal("a"), "the first success ends it")
}

// Failures of one endpoint, or of several without a connection problem, are no failure of
// the zone, nor are those of another service.
func TestSingleFailuresAreNoFailingZone(t *testing.T) {
	g := NewWithT(t)
	lt := newTracker(clockwork.NewFakeClock())
	lt.OnZoneFailing = func(fz FailingZone) { t.Errorf("zone %v is failing", fz) }
	list := endpoints("a", "a", "a", "b")
	list[2].Service = "other"
	demand := Demand{Engine: testEngine, Prompt: 3000, Output: 1500}
	for range 2 {
		lt.Begin(list[0], demand).End(Unreachable)
		lt.Begin(list[2], demand).End(Unreachable)
		lt.Begin(list[1], demand).End(Lost)
	}
	ch, _ := lt.Choose(list, demand, nil)
	g.Expect(ch.Endpoint.Zone).To(Equal("a"))
}
