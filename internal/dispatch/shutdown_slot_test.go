package dispatch

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/concurrency"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/refusal"
)

// occupy makes the endpoints of a harness brittle and takes all their slots, as given
// out by the real allocator of this instance.
func (ha *harness) occupy(g *WithT) {
	me := loadshare.Member{Name: "i0", Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	members := &loadshare.Members{}
	members.Set([]loadshare.Member{me})
	pe := &ratelimit.Peers{Self: me, Members: members, Boot: ha.boot}
	for range 8 {
		ha.boot.Advance(500 * time.Millisecond)
		pe.Check()
	}
	al := &concurrency.Allocator{Peers: pe, Boot: ha.boot}
	li := &concurrency.Limiter{Peers: pe, Allocator: al, Boot: ha.boot}
	for _, en := range ha.Roster.View().Ready("s") {
		al.Report(concurrency.ReportArgs{Instance: "none", Holds: []concurrency.Hold{{Endpoint: en.ID, Started: en.Started}}})
	}
	ha.boot.Advance(500 * time.Millisecond)
	pe.Check()
	for _, en := range ha.Roster.View().Ready("s") {
		for range en.Slots {
			_, _, taken := li.Take(ha.t.Context(), en, 0, time.Minute)
			g.Expect(taken).To(BeTrue())
		}
		ha.Gate.Registry.Observe(en, backpressure.Signal{Brittle: true})
	}
	ha.Gate.Slots = li
	ha.Tracker.Backpressure = ha.Gate.Registry
	ha.State.Confirm(ha.boot.Now())
}

// A request that waits for a slot of a brittle endpoint when a shutdown begins is
// refused only when its wait at the allocator ends.
func TestWaitForSlotEndsWithShutdown(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds)
	ha.occupy(g)
	time.AfterFunc(beginAfter, ha.shutsDown())
	begun := ha.Clock.Now()
	rp := ha.send("/post/")
	g.Expect(reasonOf(rp)).To(Equal(refusal.Stopping))
	g.Expect(ha.Clock.Since(begun)).To(BeNumerically("<", refusedWithin))
}

// A request whose answer is short waits for a slot beyond the end of the shutdown, so that
// the process exits before it has an answer.
func TestWaitForSlotEndsBeforeShutdownDoes(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds)
	begin := ha.shutsDown()
	for ha.lengths.Longest("", ha.Clock.Now()) == 0 {
		g.Expect(ha.send("/post/").Status).To(Equal(http.StatusOK))
	}
	ha.occupy(g)
	begin()
	begun := ha.Clock.Now()
	time.Sleep(shutdownTime * 7 / 10)
	rp := ha.send("/post/")
	g.Expect(reasonOf(rp)).To(Equal(refusal.Stopping))
	g.Expect(ha.Clock.Since(begun)).To(BeNumerically("<", shutdownTime+350*time.Millisecond))
}
