package lease_test

import (
	"context"
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/lease"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

const (
	key       = "lease/allocator/martin-c/filbert-pool"
	instances = 3
)

// delayedStore advances the clocks before and after each update takes effect.
type delayedStore struct {
	*platformfake.Store
	before, after func()
}

func (ss *delayedStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	ss.before()
	version, err := ss.Store.Update(ctx, key, previous, value)
	ss.after()
	return version, err
}

// contest is a group of instances that compete for one lease. Their clocks
// differ in offset and rate.
type contest struct {
	store    *platformfake.Store
	clocks   []*clockwork.FakeClock
	leases   []*lease.Lease
	delay    time.Duration
	maxEpoch int64
	holder   int
}

func newContest() *contest {
	co := &contest{store: platformfake.New(), holder: -1}
	delayed := &delayedStore{Store: co.store, before: func() { co.advance(co.delay) }, after: func() { co.advance(co.delay) }}
	for ix := range instances {
		clock := clockwork.NewFakeClockAt(time.Unix(int64(1_700_000_000+ix*3600), 0))
		co.clocks = append(co.clocks, clock)
		co.leases = append(co.leases, &lease.Lease{Store: delayed, Clock: clock, Key: key, Holder: fmt.Sprintf("entry-%d", ix)})
	}
	return co
}

// advance advances the clocks. Their rates differ by up to 2 % from the nominal
// one.
func (co *contest) advance(by time.Duration) {
	for ix, clock := range co.clocks {
		clock.Advance(by + by*time.Duration(ix-1)/50)
	}
}

// restart replaces an instance by a new process.
func (co *contest) restart(ix int) {
	old := co.leases[ix]
	co.leases[ix] = &lease.Lease{Store: old.Store, Clock: old.Clock, Key: key, Holder: old.Holder + "+"}
}

// check fails if two instances hold the lease, if an epoch has two holders, or
// if the epoch decreases.
func (co *contest) check(t *rapid.T) {
	holders := 0
	for ix, le := range co.leases {
		epoch, held := le.Held()
		if !held {
			continue
		}
		holders++
		if epoch < co.maxEpoch || (epoch == co.maxEpoch && ix != co.holder) {
			t.Fatalf("instance %d holds epoch %d after instance %d held %d", ix, epoch, co.holder, co.maxEpoch)
		}
		co.maxEpoch, co.holder = epoch, ix
	}
	if holders > 1 {
		t.Fatalf("%d instances hold the lease", holders)
	}
}

// Delays, faults of the store, restarts and clocks of different rates must not let
// two instances hold the lease at once or hold the same epoch.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		co := newContest()
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				_ = co.leases[rapid.IntRange(0, instances-1).Draw(t, "instance")].Step(t.Context())
			},
			"step without a read": func(t *rapid.T) {
				_ = co.leases[rapid.IntRange(0, instances-1).Draw(t, "instance")].TakeOrRenew(t.Context())
			},
			"pass": func(t *rapid.T) {
				co.advance(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"delay": func(t *rapid.T) {
				co.delay = time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			},
			"fault": func(t *rapid.T) {
				co.store.SetFault(platformfake.Fault(rapid.IntRange(0, 2).Draw(t, "fault")))
			},
			"release": func(t *rapid.T) {
				ix := rapid.IntRange(0, instances-1).Draw(t, "instance")
				_ = co.leases[ix].Release(t.Context())
				co.restart(ix)
			},
			"restart": func(t *rapid.T) {
				co.restart(rapid.IntRange(0, instances-1).Draw(t, "instance"))
			},
			"": co.check,
		})
		co.checkRecovery(t)
	})
}

// checkRecovery fails if no instance holds the lease 15 s after the last fault.
func (co *contest) checkRecovery(t *rapid.T) {
	co.store.SetFault(platformfake.None)
	co.delay = 0
	for range 30 {
		co.advance(500 * time.Millisecond)
		for _, le := range co.leases {
			_ = le.Step(t.Context())
			co.check(t)
		}
	}
	if _, held := co.leases[co.holder].Held(); !held {
		t.Fatal("no instance holds the lease 15 s after the last fault")
	}
}

func TestPausedHolderFindsOut(t *testing.T) {
	gm := NewWithT(t)
	co := newContest()
	gm.Expect(co.leases[0].Step(t.Context())).To(Succeed())
	first, held := co.leases[0].Held()
	gm.Expect(held).To(BeTrue())
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	co.advance(lease.Term + 2*lease.Margin)
	_, held = co.leases[0].Held()
	gm.Expect(held).To(BeFalse(), "the pause was longer than the term")
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	second, held := co.leases[1].Held()
	gm.Expect(held).To(BeTrue())
	gm.Expect(second).To(BeNumerically(">", first))
	gm.Expect(co.leases[0].Step(t.Context())).To(Succeed())
	_, held = co.leases[0].Held()
	gm.Expect(held).To(BeFalse())
}

func TestLostAnswerIsReadBack(t *testing.T) {
	gm := NewWithT(t)
	co := newContest()
	co.store.SetFault(platformfake.LoseResponses)
	gm.Expect(co.leases[0].Step(t.Context())).To(Succeed())
	_, held := co.leases[0].Held()
	gm.Expect(held).To(BeTrue())
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	_, held = co.leases[1].Held()
	gm.Expect(held).To(BeFalse())
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	gm := NewWithT(t)
	co := newContest()
	gm.Expect(co.leases[0].Step(t.Context())).To(Succeed())
	gm.Expect(co.leases[0].Release(t.Context())).To(Succeed())
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	epoch, held := co.leases[1].Held()
	gm.Expect(held).To(BeTrue())
	gm.Expect(epoch).To(Equal(int64(2)))
}

// heldStore holds back the first update until proceed is closed.
type heldStore struct {
	platform.Store
	proceed chan struct{}
	begun   atomic.Bool
}

func (hs *heldStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if !hs.begun.Swap(true) {
		<-hs.proceed
	}
	return hs.Store.Update(ctx, key, previous, value)
}

// Guards against a zone without an allocator for the term of its lease because
// the holder stopped while it wrote the lease: the release named the version
// before that write, or was left out because the lease was not held yet.
func TestReleaseDuringWriteHandsOverAtOnce(t *testing.T) {
	for name, renewed := range map[string]bool{"take": false, "renewal": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { releaseDuringWrite(t, renewed) })
		})
	}
}

func releaseDuringWrite(t *testing.T, renewed bool) {
	gm := NewWithT(t)
	co := newContest()
	if renewed {
		gm.Expect(co.leases[0].Step(t.Context())).To(Succeed())
		co.advance(lease.RenewInterval + lease.Margin)
	}
	proceed := make(chan struct{})
	co.leases[0].Store = &heldStore{Store: co.store, proceed: proceed}
	stepped, released := make(chan error, 1), make(chan error, 1)
	go func() { stepped <- co.leases[0].Step(t.Context()) }()
	synctest.Wait()
	go func() { released <- co.leases[0].Release(t.Context()) }()
	synctest.Wait()
	close(proceed)
	gm.Expect(<-stepped).To(Succeed())
	gm.Expect(<-released).To(Succeed())
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	_, held := co.leases[1].Held()
	gm.Expect(held).To(BeTrue())
}

// Guards against a release that is left out because the outcome of the write
// before it, or of the release itself, is not known.
func TestReleaseAfterLostAnswers(t *testing.T) {
	gm := NewWithT(t)
	co := newContest()
	co.store.SetFault(platformfake.LoseResponses)
	ctx, cancel := context.WithCancel(t.Context())
	co.leases[0].Store = &canceledStore{Store: co.store, cancel: cancel}
	gm.Expect(co.leases[0].Step(ctx)).NotTo(Succeed())
	gm.Expect(co.leases[0].Release(t.Context())).To(Succeed())
	co.store.SetFault(platformfake.None)
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	_, held := co.leases[1].Held()
	gm.Expect(held).To(BeTrue())
}

// canceledStore ends the caller's context with the first update.
type canceledStore struct {
	platform.Store
	cancel func()
}

func (cs *canceledStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	defer cs.cancel()
	return cs.Store.Update(ctx, key, previous, value)
}

// Get fails once the context has ended, as a call over the network does.
func (cs *canceledStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := ctx.Err(); err != nil {
		return platform.Object{}, &platform.Error{Op: "get", Key: key, Kind: platform.Unavailable, Err: err}
	}
	return cs.Store.Get(ctx, key)
}

func TestVanishedLeaseIsWaitedFor(t *testing.T) {
	gm := NewWithT(t)
	co := newContest()
	gm.Expect(co.leases[0].Step(t.Context())).To(Succeed())
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	ob, err := co.store.Get(t.Context(), key)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(co.store.Delete(t.Context(), key, ob.Version)).To(Succeed())
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	_, held := co.leases[1].Held()
	gm.Expect(held).To(BeFalse(), "a holder that has not observed the deletion may still act")
	gm.Expect(co.leases[0].Observe(platform.Object{Key: key})).To(Succeed())
	_, held = co.leases[0].Held()
	gm.Expect(held).To(BeFalse())
}
