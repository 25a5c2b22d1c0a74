package concurrency

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/roster"
)

// allocatorOf returns the limiter of the instance that gives out the slots of an endpoint.
func (fl *fleet) allocatorOf(en roster.Endpoint) *Limiter {
	name := fl.limiters[0].Peers.View(en.ID, en.Zone).Allocator.Name
	for _, li := range fl.limiters {
		if li.Peers.Self.Name == name {
			return li
		}
	}
	return nil
}

// pass lets time pass in which all instances exchange messages.
func (fl *fleet) pass(span time.Duration) {
	for until := fl.boot.Now() + span; fl.boot.Now() < until; {
		fl.hear(func(int, int) bool { return true })
	}
}

// known returns the number of requests in progress that an allocator knows of.
func known(al *Allocator, en roster.Endpoint) func() int {
	return func() int {
		al.mu.Lock()
		defer al.mu.Unlock()
		return al.endpoint(keyOf(en)).inProgress()
	}
}

// report lets all instances report twice: the first answer tells them the epoch of the
// allocator.
func (fl *fleet) report(g *WithT, en roster.Endpoint, want int) {
	for _, li := range fl.limiters {
		li.IsBrittle = func(roster.Endpoint) bool { return true }
		li.Report()
	}
	al := fl.allocatorOf(en).Allocator
	g.Eventually(func() int {
		for _, li := range fl.limiters {
			li.Report()
		}
		return known(al, en)()
	}, "5s").Should(Equal(want))
}

// slots are the slots that instances took.
type slots []backpressure.Use

// GomegaString implements format.GomegaStringer.
func (sl slots) GomegaString() string { return fmt.Sprint(len(sl), " slots") }

// takeAll takes slots at all instances in turn until none is given out.
func (fl *fleet) takeAll(t *testing.T, en roster.Endpoint) (list slots) {
	for ix, denied := 0, 0; denied < len(fl.limiters); ix++ {
		us, _, taken := fl.limiters[ix%len(fl.limiters)].Take(t.Context(), en, 0, time.Minute)
		if !taken {
			denied++
			continue
		}
		denied = 0
		list = append(list, us)
	}
	return list
}

// Requests that were sent before an endpoint said that it is brittle had no slot, so that
// as many again were let through as were running there.
func TestRequestsWithoutSlotCount(t *testing.T) {
	for _, size := range []int{1, 6, 95} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			fl := newFleet(size)
			var before []backpressure.Use
			for ix := range endpoint1.Slots - 2 {
				before = append(before, fl.limiters[ix%size].Enter(endpoint1))
			}
			fl.report(g, endpoint1, len(before))
			g.Expect(fl.takeAll(t, endpoint1)).To(BeEmpty(), "other instances may not have reported yet")
			fl.boot.Advance(collectTime)
			g.Expect(fl.takeAll(t, endpoint1)).To(HaveLen(2))
			before[0].End(false)
			before[1].End(false)
			fl.report(g, endpoint1, endpoint1.Slots-2)
			g.Expect(fl.takeAll(t, endpoint1)).To(HaveLen(2))
		})
	}
}

// The account of an allocator that has just started, or has just become it, was empty,
// although the slots of the one before were in use.
func TestSlotsOfAnotherAllocatorCount(t *testing.T) {
	t.Run("restart", func(t *testing.T) {
		g := NewWithT(t)
		fl := newFleet(6)
		fl.open(endpoint1)
		first := fl.takeAll(t, endpoint1)
		g.Expect(first).To(HaveLen(endpoint1.Slots))
		li := fl.allocatorOf(endpoint1)
		li.Allocator = &Allocator{Peers: li.Peers, Boot: fl.boot}
		fl.report(g, endpoint1, endpoint1.Slots)
		fl.boot.Advance(collectTime)
		g.Expect(fl.takeAll(t, endpoint1)).To(BeEmpty())
		first[0].End(false)
		fl.report(g, endpoint1, endpoint1.Slots-1)
		g.Expect(fl.takeAll(t, endpoint1)).To(HaveLen(1))
	})
	t.Run("end of the allocator", func(t *testing.T) {
		g := NewWithT(t)
		fl := newFleet(6)
		fl.open(endpoint1)
		inUse := fl.takeAll(t, endpoint1)
		old := fl.allocatorOf(endpoint1)
		gone := -1
		for ix, li := range fl.limiters {
			if li == old {
				gone = ix
			}
		}
		for range 8 {
			fl.hear(func(from, _ int) bool { return from != gone })
		}
		// Its own requests have ended with it.
		left := 0
		for gr, count := range old.inProgress[keyOf(endpoint1)].counts {
			g.Expect(gr.instance).To(Equal(old.Peers.Self.Name))
			left = len(inUse) - count
		}
		fl.limiters = append(fl.limiters[:gone:gone], fl.limiters[gone+1:]...)
		g.Expect(fl.allocatorOf(endpoint1)).NotTo(BeNil())
		al := fl.allocatorOf(endpoint1).Allocator
		for _, li := range fl.limiters {
			li.IsBrittle = func(roster.Endpoint) bool { return true }
			if ar := li.dueReports(); len(ar) > 0 {
				for _, holds := range ar {
					al.Report(ReportArgs{Instance: li.Peers.Self.Name, Holds: holds})
				}
			}
		}
		g.Expect(known(al, endpoint1)()).To(Equal(left))
	})
}

// An endpoint that has turned a request away gets, independent of its entry's slots,
// no more than it had room for, and one more from time to time.
func TestEndpointThatTurnsAwayHasLessRoom(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(6)
	fl.open(endpoint1)
	var running []backpressure.Use
	for range 4 {
		us, _, taken := fl.limiters[len(running)].Take(t.Context(), endpoint1, 0, time.Minute)
		g.Expect(taken).To(BeTrue())
		running = append(running, us)
	}
	running[3].End(true)
	al := fl.allocatorOf(endpoint1).Allocator
	g.Eventually(known(al, endpoint1), "2s").Should(Equal(3))
	g.Expect(fl.takeAll(t, endpoint1)).To(BeEmpty(), "it had room for three")
	running[2].End(false)
	g.Eventually(known(al, endpoint1), "2s").Should(Equal(2))
	g.Expect(fl.takeAll(t, endpoint1)).To(HaveLen(1))
	fl.pass(roomStep)
	g.Expect(fl.takeAll(t, endpoint1)).To(HaveLen(1))
	fl.pass(10 * roomStep)
	g.Expect(fl.takeAll(t, endpoint1)).To(HaveLen(endpoint1.Slots - 4))

	// A request without a slot tells its allocator, too.
	fl.limiters[0].Enter(endpoint1).End(true)
	fl.limiters[0].IsBrittle = func(roster.Endpoint) bool { return true }
	fl.limiters[0].Report()
	g.Eventually(func() int {
		al.mu.Lock()
		defer al.mu.Unlock()
		return al.endpoints[keyOf(endpoint1)].room
	}, "2s").Should(Equal(endpoint1.Slots))
}

// A report that is not repeated, as after a kill of its instance, ends.
func TestReportsExpire(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(1)
	fl.limiters[0].Enter(endpoint1)
	fl.report(g, endpoint1, 1)
	fl.boot.Advance(holdLifetime + time.Millisecond)
	al := fl.limiters[0].Allocator
	al.Check()
	g.Expect(known(al, endpoint1)()).To(BeZero())
}

// Endpoints that are not brittle cost no messages, and none is kept in memory.
func TestOthersAreNotReported(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(6)
	us := fl.limiters[0].Enter(endpoint1)
	fl.limiters[0].Report()
	us.End(true)
	fl.limiters[0].Report()
	g.Expect(fl.calls.Load()).To(BeZero())
	g.Expect(fl.limiters[0].inProgress).To(BeEmpty())
}

// A report that was overtaken by a later one replaced it, so that requests which had begun
// meanwhile were not counted.
func TestOvertakenReportsDoNotCount(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(1)
	al := fl.limiters[0].Allocator
	report := func(process int64, sequence uint64, count int) {
		al.Report(ReportArgs{Instance: "i9", Process: process, Sequence: sequence, Holds: []Hold{{Endpoint: endpoint1.ID, Count: count}}})
	}
	report(7, 2, 4)
	report(7, 1, 1)
	g.Expect(known(al, endpoint1)()).To(Equal(4))
	report(7, 3, 0)
	report(7, 2, 4)
	g.Expect(known(al, endpoint1)()).To(BeZero())
	report(8, 1, 2)
	g.Expect(known(al, endpoint1)()).To(Equal(2), "another process begins anew")
}
