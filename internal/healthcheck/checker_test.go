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

// fakeEngines says of each engine whether it leaves; one without a word does
// not answer.
type fakeEngines struct {
	mu    sync.Mutex
	says  map[string]bool
	asked []string
}

func (fe *fakeEngines) Leaving(_ context.Context, en roster.Endpoint) (bool, error) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.asked = append(fe.asked, en.ID)
	leaving, known := fe.says[en.ID]
	if !known {
		return false, errors.New("no answer")
	}
	return leaving, nil
}

// Pattern: engines are reclaimed while the store is down. What they say of
// themselves counts; silence does not.
func TestEnginesAreAskedWhileTheStoreCantTell(t *testing.T) {
	for _, ca := range []struct {
		name  string
		stale bool
		says  map[string]bool
		asked []string
		left  []string
	}{
		{"in calm times nobody is asked", false, map[string]bool{"e1": true}, nil, nil},
		{"one leaves", true, map[string]bool{"e1": false, "e2": true}, []string{"e1", "e2"}, []string{"e2"}},
		{"silence proves nothing", true, nil, []string{"e1", "e2"}, nil},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			fe := &fakeEngines{says: ca.says}
			var mu sync.Mutex
			var left []string
			ch := &Checker{
				Engines: fe, Stale: func() bool { return ca.stale }, Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(),
				Runs: func() []roster.Endpoint {
					return []roster.Endpoint{{ID: "e1"}, {ID: "e2"}, {ID: "known", Leaving: true}}
				},
				Leave: func(id string) {
					mu.Lock()
					defer mu.Unlock()
					left = append(left, id)
				},
			}
			ch.round(t.Context())
			g.Expect(fe.asked).To(ConsistOf(ca.asked))
			g.Expect(left).To(Equal(ca.left))
		})
	}
}

func TestRoundsFollowTheClock(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	var rounds atomic.Int64
	ch := &Checker{
		Engines: &fakeEngines{}, Clock: clock, Log: zerolog.Nop(), Runs: func() []roster.Endpoint { return nil },
		Stale: func() bool { rounds.Add(1); return false },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- ch.Run(ctx) }()
	for want := int64(1); want <= 3; want++ {
		g.Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(interval)
		g.Eventually(rounds.Load, "5s").Should(Equal(want))
	}
	cancel()
	g.Eventually(done, "5s").Should(Receive(BeNil()))
}
