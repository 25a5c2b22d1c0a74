package ratelimit

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/roster"
)

// BenchmarkTake measures the decision of an allocator: which instance divides a limit
// and whether there is a request left, without the call between the instances.
func BenchmarkTake(b *testing.B) {
	for _, instances := range []int{6, 95, 340, 1000} {
		for _, endpoints := range []int{1, 1200} {
			b.Run(fmt.Sprintf("%d instances, %d endpoints", instances, endpoints), func(b *testing.B) {
				si := newSimulation(instances, 1)
				for range int(silence/heartbeatPeriod) + 1 {
					si.exchangeHeartbeats()
					si.boot.Advance(heartbeatPeriod)
				}
				li := si.instances[0].limiter
				limit := backpressure.Limit{Rate: simulatedRate, Named: true}
				b.ReportAllocs()
				for ix := 0; b.Loop(); ix++ {
					en := roster.Endpoint{ID: fmt.Sprintf("e%d", ix%endpoints), Zone: "z0"}
					_, _ = li.Take(context.Background(), en, limit, 0)
				}
			})
		}
	}
}

// Guards against a goroutine for each request of a caller that can leave, although this
// instance is the allocator and nothing is awaited.
func TestAllocatorAsksItselfWithoutGoroutine(t *testing.T) {
	g := NewWithT(t)
	si := newSimulation(1, 1)
	for range int(silence/heartbeatPeriod) + 1 {
		si.exchangeHeartbeats()
		si.boot.Advance(heartbeatPeriod)
	}
	en, limit := roster.Endpoint{ID: "e", Zone: "z0"}, backpressure.Limit{Rate: simulatedRate, Named: true}
	li := si.instances[0].limiter
	g.Expect(li.Peers.View(en.ID, en.Zone).Allocator).To(HaveField("Name", li.Peers.Self.Name))
	allocations := func(ctx context.Context) float64 {
		return testing.AllocsPerRun(100, func() { _, _ = li.Take(ctx, en, limit, 0) })
	}
	g.Expect(allocations(t.Context())).To(Equal(allocations(context.Background())))
}
