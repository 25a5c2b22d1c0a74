package concurrency

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
)

// fleet connects the limiters of many instances in memory.
type fleet struct {
	boot     *boottime.Manual
	limiters []*Limiter
	// isCut reports whether calls between two instances fail.
	isCut func(from, to int) bool
	// losesReleases is set while the messages that give slots back get lost.
	losesReleases atomic.Bool
	calls         atomic.Int64
	// canceled counts calls with a context that had ended.
	canceled atomic.Int64
}

// peerCaller makes the calls of one instance.
type peerCaller struct {
	fl   *fleet
	from int
}

func (pc peerCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	pc.fl.calls.Add(1)
	if ctx.Err() != nil {
		pc.fl.canceled.Add(1)
	}
	to := int(netip.MustParseAddrPort(address).Port())
	if pc.fl.isCut != nil && pc.fl.isCut(pc.from, to) {
		return errors.New("partitioned")
	}
	al := pc.fl.limiters[to].Allocator
	if strings.HasSuffix(method, ".Take") {
		*reply.(*TakeReply) = al.Take(args.(TakeArgs))
		return nil
	}
	switch ar := args.(type) {
	case ReportArgs:
		*reply.(*ReportReply) = al.Report(ar)
	case ReleaseArgs:
		if !pc.fl.losesReleases.Load() {
			al.Release(ar)
		}
	}
	return nil
}

// newFleet returns limiters that have known each other for long enough.
func newFleet(size int) *fleet {
	fl := &fleet{boot: &boottime.Manual{}}
	fl.boot.Advance(time.Hour)
	var list []loadshare.Member
	for ix := range size {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(ix))
		list = append(list, loadshare.Member{Name: fmt.Sprint("i", ix), Zone: "a", Address: address})
	}
	for ix := range size {
		members := &loadshare.Members{}
		members.Set(list)
		pe := &ratelimit.Peers{Self: list[ix], Members: members, Boot: fl.boot}
		al := &Allocator{Peers: pe, Boot: fl.boot}
		fl.limiters = append(fl.limiters, &Limiter{Peers: pe, Allocator: al, Caller: peerCaller{fl: fl, from: ix}, Boot: fl.boot})
	}
	for range 8 {
		fl.hear(func(int, int) bool { return true })
	}
	return fl
}

// hear lets half a second pass and makes the instances exchange messages.
func (fl *fleet) hear(heard func(from, to int) bool) {
	fl.boot.Advance(500 * time.Millisecond)
	fl.exchange(heard)
}

// exchange delivers the messages between instances for which heard returns true.
func (fl *fleet) exchange(heard func(from, to int) bool) { fl.exchangeWithout(nil, heard) }

// exchangeWithout is exchange without an instance that does not run.
func (fl *fleet) exchangeWithout(halted *Limiter, heard func(from, to int) bool) {
	for to, li := range fl.limiters {
		if li == halted {
			continue
		}
		li.Peers.Check()
		for from, other := range fl.limiters {
			if from != to && other != halted && heard(from, to) {
				li.Peers.Heard(other.Peers.Self.Name)
			}
		}
	}
}

// open begins the accounts of an endpoint at all instances and lets the time pass in which
// they collect reports.
func (fl *fleet) open(en roster.Endpoint) {
	for _, li := range fl.limiters {
		li.Allocator.Report(ReportArgs{Instance: "none", Holds: []Hold{{Endpoint: en.ID, Started: en.Started}}})
	}
	fl.boot.Advance(collectTime)
}

var endpoint1 = roster.Endpoint{ID: "e1", Zone: "a", Slots: 6}

// However many instances there are, no more requests are in progress at an endpoint than
// it has slots, and all slots are used.
func TestSlotsHoldForAllInstancesTogether(t *testing.T) {
	for _, size := range []int{1, 6, 95, 340} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			fl := newFleet(size)
			fl.open(endpoint1)
			var running, served, denied atomic.Int64
			var most int64
			var mu sync.Mutex
			var wg sync.WaitGroup
			for ix := range max(size, 40) {
				li := fl.limiters[ix%size]
				wg.Go(func() {
					for range 5 {
						slot, _, taken := li.Take(t.Context(), endpoint1, 100*time.Millisecond, time.Minute)
						if !taken {
							denied.Add(1)
							continue
						}
						now := running.Add(1)
						mu.Lock()
						most = max(most, now)
						mu.Unlock()
						time.Sleep(2 * time.Millisecond)
						running.Add(-1)
						slot.End(false)
						served.Add(1)
					}
				})
			}
			wg.Wait()
			g.Expect(most).To(Equal(int64(endpoint1.Slots)))
			g.Expect(served.Load()).To(BeNumerically(">", 0))
			t.Logf("%d instances: %d served, %d denied, %d calls", size, served.Load(), denied.Load(), fl.calls.Load())
		})
	}
}

// A slot whose return got lost, or whose instance has stopped, is free when its lease
// ends.
func TestLostReturnsEndWithTheLease(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(6)
	fl.open(endpoint1)
	fl.losesReleases.Store(true)
	lease := time.Second
	take := func() bool {
		_, _, taken := fl.limiters[0].Take(t.Context(), endpoint1, 0, lease)
		return taken
	}
	for range endpoint1.Slots {
		g.Expect(take()).To(BeTrue())
	}
	g.Expect(take()).To(BeFalse())
	fl.boot.Advance(lease)
	g.Expect(take()).To(BeFalse())
	fl.boot.Advance(2 * leaseMargin)
	g.Expect(take()).To(BeTrue())
}

// Instances of a partitioned network have fewer slots on each side: the sum stays within
// those of the endpoint. Instances that can ask no other take turns.
func TestSlotsUnderPartitions(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(12)
	side := func(ix int) bool { return ix < 4 }
	fl.isCut = func(from, to int) bool { return side(from) != side(to) }
	for range 10 {
		fl.hear(func(from, to int) bool { return side(from) == side(to) })
	}
	fl.open(endpoint1)
	taken := 0
	for range 3 {
		for _, li := range fl.limiters {
			if _, _, got := li.Take(t.Context(), endpoint1, 0, time.Minute); got {
				taken++
			}
		}
	}
	g.Expect(taken).To(BeNumerically("<=", endpoint1.Slots))
	g.Expect(taken).To(BeNumerically(">=", endpoint1.Slots-1))

	fl = newFleet(95)
	fl.isCut = func(int, int) bool { return true }
	for range 20 {
		taken = 0
		for _, li := range fl.limiters {
			slot, _, got := li.Take(t.Context(), roster.Endpoint{ID: "e2", Zone: "b", Slots: 6}, 0, time.Minute)
			if got {
				taken++
				slot.End(false)
			}
		}
		g.Expect(taken).To(BeNumerically("<=", 3*endpoint1.Slots))
		fl.boot.Advance(turnPeriod)
	}
}

// Requests wait for a slot in the order in which they came. One that stops waiting leaves its
// place to the next.
func TestRequestsWaitInOrder(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(1)
	li := fl.limiters[0]
	one := roster.Endpoint{ID: "e3", Zone: "a", Slots: 1}
	fl.open(one)
	slot, _, taken := li.Take(t.Context(), one, 0, time.Minute)
	g.Expect(taken).To(BeTrue())
	order := make(chan int, 3)
	var wg sync.WaitGroup
	waiting := func() int {
		li.Allocator.mu.Lock()
		defer li.Allocator.mu.Unlock()
		return len(li.Allocator.endpoints[key{endpoint: "e3"}].waiting)
	}
	for ix, maxWait := range []time.Duration{time.Second, 5 * time.Second, 5 * time.Second} {
		wg.Go(func() {
			slot, _, taken := li.Take(t.Context(), one, maxWait, time.Minute)
			if taken {
				order <- ix
				slot.End(false)
			}
		})
		g.Eventually(waiting, "2s", "1ms").Should(Equal(max(ix, 1)))
		if ix == 0 {
			g.Eventually(waiting, "5s", "1ms").Should(BeZero(), "the first stops waiting")
		}
	}
	slot.End(false)
	wg.Wait()
	g.Expect(<-order).To(Equal(1))
	g.Expect(<-order).To(Equal(2))
	g.Expect(order).To(BeEmpty())
}

// A caller who leaves while its request waits does not cancel the call to the allocator:
// that would close the connection, on which requests of other callers wait. The slot that
// it was given is given back.
func TestCallersWhoLeaveDoNotCancelCalls(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(6)
	fl.open(endpoint1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, li := range fl.limiters {
		if slot, _, taken := li.Take(ctx, endpoint1, time.Second, time.Minute); taken {
			slot.End(false)
		}
	}
	// Five limiters ask another instance, and give their slots back there.
	g.Eventually(fl.calls.Load, "5s").Should(BeNumerically(">=", 10))
	g.Expect(fl.canceled.Load()).To(BeZero())
	taken := func() int {
		count := 0
		for _, li := range fl.limiters {
			li.Allocator.mu.Lock()
			for _, en := range li.Allocator.endpoints {
				count += len(en.taken)
			}
			li.Allocator.mu.Unlock()
		}
		return count
	}
	g.Eventually(taken, "5s").Should(BeZero())
}
