package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// localShare sends within a part of the limit that an instance computes by itself.
// Two such ways are compared with an allocator: equal parts, and parts that follow
// the demand that instances tell each other once a second.
type localShare struct {
	bucket bucket
	// demand counts the requests since the last message, told is that of the second
	// before.
	demand, told float64
}

// simulateShares returns the largest number of requests in ruleSpan, and the used
// part of the limit.
func simulateShares(instances int, followsDemand bool) (busiest int, used float64) {
	rng := rand.New(rand.NewPCG(20261204, 0))
	list := make([]localShare, instances)
	var sends []time.Duration
	total := float64(instances)
	for now := time.Duration(0); now < simulationTime; now += simulationStep {
		if now%heartbeatPeriod == 0 {
			total = 0
			for ix := range list {
				list[ix].told, list[ix].demand = list[ix].demand, 0
				total += list[ix].told
			}
		}
		if rng.Float64() >= demandPerLimit*simulatedRate*simulationStep.Seconds() {
			continue
		}
		ls := &list[rng.IntN(instances)]
		ls.demand++
		rate := simulatedRate / float64(instances)
		if followsDemand {
			rate = simulatedRate * ls.told / max(total, 1)
		}
		if rate == 0 || ls.bucket.next > now {
			continue
		}
		ls.bucket.next = now + time.Duration(float64(time.Second)/rate)
		sends = append(sends, now)
	}
	si := &simulation{sends: sends}
	return si.measure()
}

// An allocator keeps a limit that is smaller than the number of instances and uses
// nine tenths of it. Neither kind of local share does both.
func TestWaysToDivideALimit(t *testing.T) {
	for _, count := range []int{6, 95, 340} {
		t.Run(fmt.Sprintf("%d instances", count), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			equalBusiest, equalUsed := simulateShares(count, false)
			demandBusiest, demandUsed := simulateShares(count, true)
			busiest, used := newSimulation(count, 20261204).run(func(time.Duration) {})
			t.Logf("most in %v of %.1f, and part used: equal shares %d, %.2f; by demand %d, %.2f; allocator %d, %.2f", ruleSpan,
				simulatedRate*ruleSpan.Seconds(), equalBusiest, equalUsed, demandBusiest, demandUsed, busiest, used)
			g.Expect(float64(busiest)).To(BeNumerically("<=", simulatedRate*ruleSpan.Seconds()+maxBurst+1))
			g.Expect(used).To(BeNumerically(">=", 0.9))
		})
	}
}
