package healthcheck

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/roster"
)

// fakeEngines answers probes from reports, which says for each engine whether it
// is about to shut down. Engines that are not in reports do not answer.
type fakeEngines struct {
	mu      sync.Mutex
	reports map[string]bool
	probed  []string
}

func (fe *fakeEngines) Leaving(_ context.Context, en roster.Endpoint) (bool, error) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.probed = append(fe.probed, en.ID)
	leaving, known := fe.reports[en.ID]
	if !known {
		return false, errors.New("no answer")
	}
	return leaving, nil
}

// Scenario: engines are reclaimed while the store is down. An engine that reports
// its shutdown is marked as leaving. One that does not answer is not.
func TestEnginesAreAskedWhileTheStoreCantTell(t *testing.T) {
	for _, ca := range []struct {
		name    string
		stale   bool
		reports map[string]bool
		probed  []string
		marked  []string
	}{
		{"no probes while the view of the store is fresh", false, map[string]bool{"e1": true}, nil, nil},
		{"one engine reports its shutdown", true, map[string]bool{"e1": false, "e2": true}, []string{"e1", "e2"}, []string{"e2"}},
		{"engines that do not answer are not marked", true, nil, []string{"e1", "e2"}, nil},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			fe := &fakeEngines{reports: ca.reports}
			var mu sync.Mutex
			var marked []string
			ch := &Checker{
				Engines: fe, StoreStale: func() bool { return ca.stale }, Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(),
				Runs: func() []roster.Endpoint {
					return []roster.Endpoint{{ID: "e1"}, {ID: "e2"}, {ID: "known", Leaving: true}}
				},
				Leave: func(id string) {
					mu.Lock()
					defer mu.Unlock()
					marked = append(marked, id)
				},
			}
			ch.probeAll(t.Context())
			g.Expect(fe.probed).To(ConsistOf(ca.probed))
			g.Expect(marked).To(Equal(ca.marked))
		})
	}
}

func TestRoundsFollowTheClock(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	var rounds atomic.Int64
	ch := &Checker{
		Engines: &fakeEngines{}, Clock: clock, Log: zerolog.Nop(), Runs: func() []roster.Endpoint { return nil },
		StoreStale: func() bool { rounds.Add(1); return false },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- ch.Run(ctx) }()
	for want := int64(1); want <= 3; want++ {
		g.Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(probeInterval)
		g.Eventually(rounds.Load, "5s").Should(Equal(want))
	}
	cancel()
	g.Eventually(done, "5s").Should(Receive(BeNil()))
}
