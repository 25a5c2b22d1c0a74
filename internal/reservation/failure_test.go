package reservation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/placement"
)

// TestGrantsCountOnce follows a grant from the allocator into the loads of the instance
// that got it.
func TestGrantsCountOnce(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(18, 3, 9)
	al := fl.allocator(0, "z0")
	asker := 0
	if al == 0 {
		asker = 3
	}
	cl := fl.clients[asker]
	gr := fl.reserve(t, asker)
	g.Expect(fl.running(al)).To(Equal(1))

	// A load message that left before the request was accounted for changes nothing.
	report := func() {
		settled := cl.Settled()
		fl.clients[al].Allocator.Tracker.SetRemoteLoads("asker", cl.Allocator.Tracker.Loads())
		fl.clients[al].Settle(settled)
	}
	report()
	g.Expect(fl.running(al)).To(Equal(1))

	ti := cl.Allocator.Tracker.Begin(fl.engines[0], placement.Demand{Engine: &engine, Prompt: 2000, Output: 100})
	gr.Settle()
	report()
	g.Expect(fl.running(al)).To(Equal(1))
	report()
	ti.End(placement.Done)
	report()
	g.Expect(fl.running(al)).To(BeZero())
	fl.pass(settledRepeat+time.Second, nil)
	g.Expect(cl.Settled()).To(BeEmpty())
}

// TestFailures brings about what may happen between an instance and its allocator.
func TestFailures(t *testing.T) {
	only := func(al int) func(from, to int) bool { return func(from, to int) bool { return from == al || to == al } }
	for _, ca := range []struct {
		name string
		// during is what happens, and alone whether instances then choose by themselves.
		during func(fl *fleet, al int)
		alone  bool
		// after is what changes, after which the allocator is asked again. later is whether
		// it is another one.
		after func(fl *fleet, al int)
		later bool
	}{
		{"dies", func(fl *fleet, al int) {
			fl.fails = func(_, to int) (bool, error) { return false, errIf(to == al) }
		}, true, func(fl *fleet, al int) { fl.pass(4*time.Second, only(al)) }, true},
		{"is paused for 3 s", func(fl *fleet, al int) {
			fl.fails = func(_, to int) (bool, error) { return false, errIf(to == al) }
		}, true, func(fl *fleet, _ int) {
			fl.boot.Advance(3 * time.Second)
			fl.fails = nil
			fl.pass(4*time.Second, nil)
		}, false},
		{"loses its answers", func(fl *fleet, al int) {
			fl.fails = func(_, to int) (bool, error) { return true, errIf(to == al) }
		}, true, func(fl *fleet, _ int) {
			fl.fails = nil
			fl.pass(2*time.Second, nil)
		}, false},
		{"asker dies with a grant", func(*fleet, int) {}, false, func(fl *fleet, _ int) { fl.pass(2*time.Second, nil) }, false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			fl := newFleet(18, 3, 9)
			al := fl.allocator(0, "z0")
			asker := (al + 3) % 18
			ca.during(fl, al)
			calls := fl.calls.Load()
			gr := fl.reserve(t, asker)
			g.Expect(gr == nil).To(Equal(ca.alone))
			g.Expect(fl.calls.Load()-calls).To(Equal(int64(1)), "one round trip")
			if ca.alone {
				other := fl.reserve(t, asker)
				g.Expect(other).NotTo(BeNil(), "the next in rank decides meanwhile")
				g.Expect(other.allocator).NotTo(Equal(fl.clients[al].Peers.Self.Name))
			}
			ca.after(fl, al)
			g.Expect(fl.allocator(asker, "z0") != al).To(Equal(ca.later))
			fl.clients[al].Allocator.Prune()
			g.Expect(fl.running(al)).To(BeZero(), "grants without an account expire")
			g.Expect(fl.reserve(t, asker)).NotTo(BeNil())
		})
	}
}

// Guards against a late answer without a grant that is settled as grant 0: such numbers
// displace those of grants from the load messages.
func TestLateAnswerWithoutGrantSettlesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fl := newFleet(18, 3, 9)
		asker := fl.clients[(fl.allocator(0, "z0")+3)%18]
		ctx, leave := context.WithCancel(t.Context())
		proceed := make(chan struct{})
		fl.fails = func(int, int) (bool, error) {
			leave()
			<-proceed
			return false, errCut
		}
		_, err := asker.Reserve(ctx, request("r", 100, 10))
		g.Expect(err).To(HaveField("Kind", Left))
		close(proceed)
		synctest.Wait()
		g.Expect(asker.Settled()).To(BeEmpty())
	})
}

func errIf(cut bool) error {
	if cut {
		return errCut
	}
	return nil
}

// TestPartitionHasAnAllocatorOnEachSide cuts a zone in two. Each side has an allocator of
// its own once it has missed the others, and only one after that.
func TestPartitionHasAnAllocatorOnEachSide(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(18, 1, 9)
	side := func(ix int) bool { return ix < 6 }
	cut := func(from, to int) bool { return side(from) != side(to) }
	fl.fails = func(from, to int) (bool, error) { return false, errIf(cut(from, to)) }
	fl.pass(4*time.Second, cut)
	first, second := fl.allocator(0, "z0"), fl.allocator(10, "z0")
	g.Expect(side(first)).NotTo(Equal(side(second)))
	for ix := range fl.clients {
		g.Expect(fl.reserve(t, ix)).NotTo(BeNil())
	}
	g.Expect(fl.running(first)).To(Equal(6))
	g.Expect(fl.running(second)).To(Equal(12))

	fl.fails = nil
	fl.pass(time.Second, nil)
	g.Expect(fl.allocator(0, "z0")).To(Equal(fl.allocator(10, "z0")))
}

// TestRestartOfAllInstances lets all of them start together: each chooses by itself until
// they know each other.
func TestRestartOfAllInstances(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(18, 3, 9)
	fl.boot.Advance(5 * time.Second)
	for ix := range fl.clients {
		g.Expect(fl.reserve(t, ix)).To(BeNil())
	}
	fl.pass(4*time.Second, nil)
	for ix := range fl.clients {
		g.Expect(fl.reserve(t, ix)).NotTo(BeNil())
	}
}

// TestSmallZonesStayAsTheyAre has fewer instances than minInstances in each zone.
func TestSmallZonesStayAsTheyAre(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(3*(minInstances-1), 3, 9)
	for ix := range fl.clients {
		g.Expect(fl.reserve(t, ix)).To(BeNil())
	}
	g.Expect(fl.calls.Load()).To(BeZero())
}

// TestUnreachableEngines has an engine that refuses connections. The allocator learns of it
// from those that tried, and believes two of them.
func TestUnreachableEngines(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(18, 1, 2)
	dead := fl.reserve(t, 0).Endpoint
	ask := func(from int, unreachable ...string) string {
		re := request("r", 100, 10)
		re.Unreachable = unreachable
		gr, err := fl.clients[from].Reserve(t.Context(), re)
		g.Expect(err).NotTo(HaveOccurred())
		gr.Settle()
		return gr.Endpoint
	}
	for _, from := range []int{1, 2} {
		g.Expect(ask(from, dead)).NotTo(Equal(dead))
	}
	for from := range 12 {
		g.Expect(ask(from)).NotTo(Equal(dead))
	}
	fl.pass(reportLifetime+time.Second, nil)
	g.Expect(ask(3)).To(Equal(dead))
}
