package suspicion

import (
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// Guards against a part in use everywhere that a new process holds for a suspect: it does
// not know that requests with it have completed, until it is told or asks.
func TestNewProcessLearnsWhichPartsHaveCompleted(t *testing.T) {
	part := Feature{Kind: KindPart, Hash: 7}
	crash := Loss{Endpoint: "engine-1", Boot: "a"}
	start := func() (others *Registry, restarted *Registry) {
		clock := clockwork.NewFakeClock()
		me := newMesh(2, clock)
		for _, re := range me.list {
			re.Changes = make(chan struct{}, 1)
			re.Finished(t.Context(), part)
		}
		others = me.list[1]
		me.list[0] = &Registry{Caller: me, Peers: me.list[0].Peers, Clock: clock, Changes: make(chan struct{}, 1)}
		return others, me.list[0]
	}
	t.Run("crash after the start", func(t *testing.T) {
		g := NewWithT(t)
		others, restarted := start()
		restarted.Lost(t.Context(), crash, part)
		g.Expect(restarted.Judge(part).Verdict).To(Equal(Suspect))
		others.Merge(restarted.Changed(false))
		g.Expect(others.Judge(part).Verdict).To(Equal(Clear))
		restarted.Merge(others.Changed(false))
		g.Expect(restarted.Judge(part).Verdict).To(Equal(Clear))
	})
	t.Run("crash before the start", func(t *testing.T) {
		g := NewWithT(t)
		others, restarted := start()
		others.Lost(t.Context(), crash, part)
		g.Expect(restarted.Pull(t.Context(), "1")).To(Succeed())
		g.Expect(restarted.Judge(part).Losses).To(Equal(1))
		g.Expect(restarted.Judge(part).Verdict).To(Equal(Clear))
	})
}
