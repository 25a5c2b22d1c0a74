package concurrency

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

// An instance that could not ask the allocator, as on an overloaded machine, sent one
// request after the other to an endpoint that turned them away, so that it fell over.
func TestTurnsWithoutAllocatorSpareFullEndpoints(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(2)
	fl.isCut = func(int, int) bool { return true }
	wide := roster.Endpoint{ID: "e9", Zone: "a", Slots: 8}
	turnedAway := 0
	for range 100 {
		for _, li := range fl.limiters {
			us, _, taken := li.Take(t.Context(), wide, 0, time.Minute)
			if taken && fl.allocatorOf(wide) != li {
				turnedAway++
				us.End(true)
			}
		}
		fl.boot.Advance(10 * time.Millisecond)
	}
	g.Expect(turnedAway).To(Equal(1), "in a second")

	for _, li := range fl.limiters {
		li.Running = func(string) int { return wide.Slots }
	}
	fl.pass(2 * roomStep)
	for _, li := range fl.limiters {
		if fl.allocatorOf(wide) != li {
			_, _, taken := li.Take(t.Context(), wide, 0, time.Minute)
			g.Expect(taken).To(BeFalse(), "all slots are known to be in use")
		}
	}
}

// A report that got lost was not repeated for a second, in which its requests were not
// counted.
func TestLostReportsAreRepeated(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(6)
	holder := fl.limiters[0]
	if fl.allocatorOf(endpoint1) == holder {
		holder = fl.limiters[1]
	}
	holder.IsBrittle = func(roster.Endpoint) bool { return true }
	holder.Enter(endpoint1)
	fl.isCut = func(int, int) bool { return true }
	holder.Report()
	g.Eventually(func() bool {
		holder.mu.Lock()
		defer holder.mu.Unlock()
		pr := holder.inProgress[keyOf(endpoint1)]
		return pr.reported.count == 1 && pr.reported.to == (grantor{})
	}, "2s").Should(BeTrue())
	fl.isCut = nil
	holder.Report()
	g.Eventually(known(fl.allocatorOf(endpoint1).Allocator, endpoint1), "2s").Should(Equal(1))
}
