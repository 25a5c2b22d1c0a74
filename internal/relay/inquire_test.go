package relay

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/routing"
)

// earlierBuild answers like an instance that does not send its version.
type earlierBuild struct{ peer.Caller }

func (eb earlierBuild) Call(ctx context.Context, address, method string, args, reply any) error {
	err := eb.Caller.Call(ctx, address, method, args, reply)
	if st, isStatus := reply.(*Status); isStatus {
		st.Version, st.Informed = 0, false
	}
	return err
}

// A new process takes over a newer configuration of any instance, and no other.
func TestInquire(t *testing.T) {
	for _, ca := range []struct {
		name             string
		own, others      int64
		isEarlier, isNew bool
		decoded          int
		informed         bool
	}{
		{"newer", 4, 5, false, false, 1, true},
		{"newer, at an instance that has just started", 4, 5, false, true, 1, false},
		{"the same", 5, 5, false, false, 0, true},
		{"older", 5, 4, false, false, 0, true},
		{"none there", 0, 0, false, true, 0, false},
		{"newer, at an earlier build", 4, 5, true, false, 1, true},
		{"none at an earlier build", 4, 0, true, false, 0, false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			other, no := newNode(), newNode()
			other.log.Informed = func() bool { return !ca.isNew }
			for nd, version := range map[*node]int64{no: ca.own, other: ca.others} {
				if version > 0 {
					nd.state.Put(routing.New(routing.Spec{Version: version}))
					nd.state.Confirm(nd.boot.Now())
				}
			}
			decoded := 0
			sw := &Switch{Log: &no.log, Caller: &caller{log: &other.log}, State: &no.state, Boot: no.boot, Logger: zerolog.Nop()}
			if ca.isEarlier {
				sw.Caller = earlierBuild{sw.Caller}
			}
			sw.Decode = func([]byte) (*routing.Configuration, error) {
				decoded++
				g.Expect(sw.Outdated()).To(Equal(!ca.isEarlier))
				return routing.New(routing.Spec{Version: ca.others}), nil
			}
			informed, err := sw.Inquire(t.Context(), loadshare.Member{})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(informed).To(Equal(ca.informed))
			g.Expect(decoded).To(Equal(ca.decoded))
			g.Expect(no.log.versionInForce()).To(Equal(max(ca.own, ca.others)))
			g.Expect(sw.Outdated()).To(BeFalse())
		})
	}
}
