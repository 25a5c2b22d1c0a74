package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

var testEngine = &routing.Engine{Slots: 24, MemoryTokens: 34_000, TokensPerEvent: 4}

func newTracker(clock clockwork.Clock) *LoadTracker {
	return &LoadTracker{Clock: clock, Zone: "a", Instance: "i1", Changes: make(chan struct{}, 1)}
}

func endpoints(zones ...string) []roster.Endpoint {
	list := make([]roster.Endpoint, len(zones))
	for ix, zone := range zones {
		list[ix] = roster.Endpoint{ID: fmt.Sprintf("e%d", ix), Zone: zone, Slots: 6}
	}
	return list
}

// Guards against head-of-line blocking when long prompts arrive in a burst: no
// engine gets a second one while another has nothing to prefill.
func TestLongPromptsDoNotPileUp(t *testing.T) {
	g := NewWithT(t)
	lt := newTracker(clockwork.NewFakeClock())
	list := endpoints("a", "a", "a", "a")
	counts := make(map[string]int)
	for range 8 {
		ch, found := lt.Choose(list, Demand{Engine: testEngine, Prompt: 5000, Output: 400}, nil)
		g.Expect(found).To(BeTrue())
		lt.Begin(ch.Endpoint, Demand{Engine: testEngine, Prompt: 5000, Output: 400})
		counts[ch.Endpoint.ID]++
	}
	for _, en := range list {
		g.Expect(counts[en.ID]).To(Equal(2), en.ID)
	}
}

// Guards against sending to an engine whose memory is fully reserved by long
// streams: it gets no request while another has room, although its own prompts
// are all prefilled and the other is in another zone.
func TestFullMemoryGoesLast(t *testing.T) {
	g := NewWithT(t)
	lt := newTracker(clockwork.NewFakeClock())
	list := endpoints("a", "b")
	for range 8 {
		lt.Begin(list[0], Demand{Engine: testEngine, Prompt: 3600, Output: 400}).Started()
	}
	ch, _ := lt.Choose(list, Demand{Engine: testEngine, Prompt: 3000, Output: 400}, nil)
	g.Expect(ch.Endpoint.ID).To(Equal("e1"))
}

// Several instances send to the same engines: the loads that others report
// count like those of the instance itself until the next report replaces them.
func TestLoadsOfOthersCount(t *testing.T) {
	g := NewWithT(t)
	lt := newTracker(clockwork.NewFakeClock())
	list := endpoints("a", "a")
	demand := Demand{Engine: testEngine, Prompt: 2000, Output: 100}
	lt.SetRemoteLoads("i2", map[string]Load{"e0": {Running: 2, PrefillTokens: 9000, ReservedTokens: 9000}})
	ch, _ := lt.Choose(list, demand, nil)
	g.Expect(ch.Endpoint.ID).To(Equal("e1"))
	lt.SetRemoteLoads("i2", map[string]Load{"e1": {Running: 2, PrefillTokens: 9000, ReservedTokens: 9000}})
	ch, _ = lt.Choose(list, demand, nil)
	g.Expect(ch.Endpoint.ID).To(Equal("e0"))
	lt.SetRemoteLoads("i2", nil)
	g.Expect(lt.remoteTotals).To(BeEmpty())
}

// A network partition interrupts streams from another zone. Long streams are
// kept in the instance's zone where possible, and short ones go where they
// start sooner.
func TestLongStreamsStayInTheZone(t *testing.T) {
	g := NewWithT(t)
	lt := newTracker(clockwork.NewFakeClock())
	list := endpoints("a", "b")
	lt.Begin(list[0], Demand{Engine: testEngine, Prompt: 1000, Output: 400})
	long, _ := lt.Choose(list, Demand{Engine: testEngine, Prompt: 3000, Output: 400}, nil)
	g.Expect(long.Endpoint.Zone).To(Equal("a"))
	short, _ := lt.Choose(list, Demand{Engine: testEngine, Prompt: 2000, Output: 8}, nil)
	g.Expect(short.Endpoint.Zone).To(Equal("b"))
}

// Replicas may fail part of their requests while their health check passes:
// each failure raises the cost of the replica and decays.
func TestFailuresCostAndFade(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	lt := newTracker(clock)
	list := endpoints("a", "a")
	lt.Begin(list[0], Demand{}).End(Lost)
	ch, _ := lt.Choose(list, Demand{}, nil)
	g.Expect(ch.Endpoint.ID).To(Equal("e1"))
	lt.Begin(list[1], Demand{})
	lt.Begin(list[1], Demand{})
	lt.Begin(list[1], Demand{})
	clock.Advance(12 * time.Second)
	ch, _ = lt.Choose(list, Demand{}, nil)
	g.Expect(ch.Endpoint.ID).To(Equal("e0"), "a decayed failure must cost less than three running requests")
}

// An endpoint that is down or unreachable is not chosen during a back-off that
// doubles up to a maximum, and is chosen again afterwards.
func TestUnreachableEndpointsAreShunned(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	lt := newTracker(clock)
	list := endpoints("a")
	for _, backoff := range []time.Duration{initialBackoff, 2 * initialBackoff, maxBackoff, maxBackoff} {
		lt.Begin(list[0], Demand{}).End(Unreachable)
		clock.Advance(backoff - time.Millisecond)
		_, found := lt.Choose(list, Demand{}, nil)
		g.Expect(found).To(BeFalse())
		clock.Advance(time.Millisecond)
		_, found = lt.Choose(list, Demand{}, nil)
		g.Expect(found).To(BeTrue())
	}
}

func TestTicketsEndOnce(t *testing.T) {
	g := NewWithT(t)
	lt := newTracker(clockwork.NewFakeClock())
	list := endpoints("a")
	ti := lt.Begin(list[0], Demand{Engine: testEngine, Prompt: 100, Output: 10})
	ti.Started()
	ti.End(Done)
	ti.End(Lost)
	ti.Started()
	g.Expect(lt.load("e0")).To(Equal(Load{}))
	g.Expect(lt.Loads()).To(BeEmpty())
	lt.Forget(func(string) bool { return false })
	g.Expect(lt.accounts).To(BeEmpty())
}
