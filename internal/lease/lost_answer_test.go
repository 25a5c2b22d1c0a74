package lease_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/lease"
	"filbertstall.example/filbertstall/internal/platform"
)

// lateStore loses the answer of each update while it is late. The update takes
// effect when deliver is called.
type lateStore struct {
	platform.Store
	late      bool
	down      bool
	delivered []func()
}

func (ls *lateStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if !ls.late {
		return ls.Store.Update(ctx, key, previous, value)
	}
	ls.delivered = append(ls.delivered, func() {
		_, _ = ls.Store.Update(context.WithoutCancel(ctx), key, previous, value)
	})
	return 0, &platform.Error{Op: "update", Key: key, Kind: platform.Unknown, Err: errors.New("answer lost")}
}

func (ls *lateStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if ls.down {
		return platform.Object{}, &platform.Error{Op: "get", Key: key, Kind: platform.Unavailable}
	}
	return ls.Store.Get(ctx, key)
}

func (ls *lateStore) deliver() {
	for _, do := range ls.delivered {
		do()
	}
	ls.delivered = nil
}

// Guards against a holder that releases its lease, which no other instance may
// take for a term, because the store failed one renewal without effect.
func TestHolderKeepsLeaseAfterRenewalWithoutEffect(t *testing.T) {
	gm := NewWithT(t)
	co := newContest()
	ls := &lateStore{Store: co.store}
	co.leases[0].Store = ls
	gm.Expect(co.leases[0].Step(t.Context())).To(Succeed())
	co.advance(lease.RenewInterval + lease.Margin)
	ls.late = true
	err := co.leases[0].Step(t.Context())
	gm.Expect(lease.IsKind(err, lease.Taken)).To(BeFalse(), "%v", err)
	_, held := co.leases[0].Held()
	gm.Expect(held).To(BeTrue())
}

// Guards against two holders at once: a renewal whose answer was lost took
// effect, an equal one was sent later without a read in between, and the holder
// measured its term from the second.
func TestTermStartsAtTheWriteThatTookEffect(t *testing.T) {
	gm := NewWithT(t)
	co := newContest()
	ls := &lateStore{Store: co.store}
	co.leases[0].Store = ls
	gm.Expect(co.leases[0].Step(t.Context())).To(Succeed())
	co.advance(lease.RenewInterval + lease.Margin)
	ls.late, ls.down = true, true
	gm.Expect(co.leases[0].TakeOrRenew(t.Context())).NotTo(Succeed())
	ls.deliver()
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	co.advance(2 * time.Second)
	gm.Expect(co.leases[0].TakeOrRenew(t.Context())).NotTo(Succeed())
	ls.deliver()
	ob, err := co.store.Get(t.Context(), key)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(co.leases[0].Observe(ob)).To(Succeed())
	_, held := co.leases[0].Held()
	gm.Expect(held).To(BeTrue(), "the first renewal took effect")
	co.advance(lease.Term + lease.Margin - 2*time.Second)
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	_, taken := co.leases[1].Held()
	_, held = co.leases[0].Held()
	gm.Expect(taken).To(BeTrue())
	gm.Expect(held).To(BeFalse(), "two instances hold the lease")
}

// Guards against a take that arrives at the store after the release and leaves
// the zone without an allocator for a term.
func TestReleasePrecedesTakeThatArrivesLate(t *testing.T) {
	gm := NewWithT(t)
	co := newContest()
	ls := &lateStore{Store: co.store, late: true}
	co.leases[0].Store = ls
	gm.Expect(co.leases[0].Step(t.Context())).NotTo(Succeed())
	ls.late = false
	gm.Expect(co.leases[0].Release(t.Context())).To(Succeed())
	ls.deliver()
	gm.Expect(co.leases[1].Step(t.Context())).To(Succeed())
	_, held := co.leases[1].Held()
	gm.Expect(held).To(BeTrue())
}
