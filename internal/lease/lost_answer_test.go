package lease_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/lease"
	"filbertstall.example/filbertstall/internal/platform"
)

// lateStore loses each update while it is late.
type lateStore struct {
	platform.Store
	late bool
}

func (ls *lateStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if !ls.late {
		return ls.Store.Update(ctx, key, previous, value)
	}
	return 0, &platform.Error{Op: "update", Key: key, Kind: platform.Unknown, Err: errors.New("answer lost")}
}

// Guards against a holder that gives up its lease, which no other instance may
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
