package concurrency

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
)

// restart replaces the process of an instance by a new one, which knows nothing.
func (fl *fleet) restart(old *Limiter) *Limiter {
	synctest.Wait() // no call is in progress
	pe := &ratelimit.Peers{Self: old.Peers.Self, Members: old.Peers.Members, Boot: fl.boot}
	al := &Allocator{Peers: pe, Boot: fl.boot}
	li := &Limiter{Peers: pe, Allocator: al, Caller: old.Caller, Boot: fl.boot, IsBrittle: old.IsBrittle, Running: old.Running}
	fl.limiters[slices.Index(fl.limiters, old)] = li
	return li
}

// serve lets time pass in which all instances report, as they do periodically.
func (fl *fleet) serve(span time.Duration) {
	const interval = 200 * time.Millisecond
	for passed := interval; passed <= span; passed += interval {
		fl.boot.Advance(interval)
		fl.tick()
		if passed%(5*interval) == 0 {
			fl.exchange(func(int, int) bool { return true })
		}
	}
}

// tick does the periodic work of all instances at one time.
func (fl *fleet) tick() {
	for _, li := range fl.limiters {
		li.Peers.Check()
		li.Allocator.Check()
		li.Report()
	}
	synctest.Wait()
}

// settleTime is the time after which an allocator that has started again gives out slots.
const settleTime = 4 * time.Second

// newBrittleFleet returns a fleet whose instances know that all endpoints are brittle, and
// have reported that they have nothing in progress.
func newBrittleFleet(size int) *fleet {
	fl := newFleet(size)
	for _, li := range fl.limiters {
		li.IsBrittle = func(roster.Endpoint) bool { return true }
	}
	fl.open(endpoint1)
	return fl
}

// Guards against an allocator that starts again within seconds and gives out slots that
// are in use: instances without new requests never reported their long ones to it.
func TestRestartedAllocatorLearnsWhatIsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fl := newBrittleFleet(6)
		inUse := fl.takeAll(t, endpoint1)
		g.Expect(inUse).To(HaveLen(endpoint1.Slots))
		fl.serve(2 * reportInterval)
		old := fl.allocatorOf(endpoint1)
		its := old.inProgress[keyOf(endpoint1)].counts[grantor{old.Peers.Self.Name, old.Allocator.Epoch()}]
		fl.restart(old)
		fl.serve(settleTime)
		again := fl.takeAll(t, endpoint1)
		fl.serve(reportInterval)
		again = append(again, fl.takeAll(t, endpoint1)...)
		g.Expect(again).To(HaveLen(its), "only its own requests have ended")
	})
}

// Guards against a slot of the process before that frees one of the present process: both
// had the same number.
func TestRestartedAllocatorKeepsSlotsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fl := newBrittleFleet(6)
		before := fl.takeAll(t, endpoint1)
		li := fl.restart(fl.allocatorOf(endpoint1))
		fl.serve(settleTime)
		inProgress := known(li.Allocator, endpoint1)
		for _, us := range before[endpoint1.Slots/2:] {
			us.End(false)
		}
		fl.serve(reportInterval)
		after := fl.takeAll(t, endpoint1)
		g.Expect(len(after)).To(BeNumerically(">=", endpoint1.Slots/2))
		for _, us := range before[:endpoint1.Slots/2] {
			us.End(false)
		}
		fl.serve(reportInterval)
		g.Expect(inProgress()).To(Equal(len(after)))
	})
}
