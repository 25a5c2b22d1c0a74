package ratelimit

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
)

// Guards against requests with a suspected part that exceed their rate because all
// instances, or their allocator, have just started. One may come early with the first turn of
// the allocator.
func TestTurnsHoldWhenTheAllocatorRestarts(t *testing.T) {
	const (
		rate      = 1.4
		span      = 24 * time.Second
		restartAt = span / 2
	)
	for _, count := range []int{1, 6, 95} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := NewWithT(t)
			si := newSimulation(count, 20261205)
			var sends []time.Duration
			for now := time.Duration(0); now < span; now += simulationStep {
				if now == restartAt {
					al := si.allocator()
					si.start(al, al.limiter.Peers.Self)
				}
				if now%heartbeatPeriod == 0 {
					si.exchangeHeartbeats()
				}
				for _, in := range si.instances {
					in.limiter.Peers.Check()
				}
				in := si.instances[si.rng.IntN(count)]
				if _, taken := in.limiter.Take(context.Background(), limitedEndpoint, backpressure.Limit{Rate: rate, Named: true, Paced: true}, 0); taken {
					sends = append(sends, now)
				}
				si.boot.Advance(simulationStep)
			}
			most := 0
			for ix := range sends {
				within := 0
				for _, later := range sends[ix:] {
					if later-sends[ix] < ruleSpan {
						within++
					}
				}
				most = max(most, within)
			}
			t.Logf("%d sent, %d within %v", len(sends), most, ruleSpan)
			g.Expect(most).To(BeNumerically("<=", int(rate*ruleSpan.Seconds())+2))
			g.Expect(len(sends)).To(BeNumerically(">=", int(0.7*rate*span.Seconds())))
		})
	}
}
