package ratelimit

import (
	"context"
	"fmt"
	"testing"

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
