package concurrency

import (
	"fmt"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// own returns what an instance has in progress.
func own(li *Limiter) (count int) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if pr := li.inProgress[keyOf(endpoint1)]; pr != nil {
		count = pr.without(grantor{instance: "none"})
	}
	return count
}

// knowRunning lets the instances know of each other's requests from now on, as
// placement.LoadTracker does: what the others had in progress when they last reported it.
func (lo *load) knowRunning() {
	lo.told = make(map[*Limiter]int)
	for _, li := range lo.fl.limiters {
		li.Running = func(string) int {
			lo.mu.Lock()
			defer lo.mu.Unlock()
			count := own(li)
			for other, told := range lo.told {
				if other != li {
					count += told
				}
			}
			return count
		}
	}
}

// tell makes all instances that run report what they have in progress.
func (lo *load) tell() {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	for _, li := range lo.fl.limiters {
		if lo.told != nil && li != lo.halted.Load() {
			lo.told[li] = own(li)
		}
	}
}

// Guards against an endpoint that falls over when its allocator is killed: until another one
// took over, all instances whose turn it was sent a request for the same free slot.
func TestKilledAllocatorSparesBrittleEndpoints(t *testing.T) {
	for _, tc := range []struct {
		size int
		seed uint64
	}{{6, 0}, {95, 3}, {95, 4}} {
		t.Run(fmt.Sprint(tc.size, " ", tc.seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				lo := newLoad(t, tc.size, tc.seed)
				lo.knowRunning()
				lo.play(loadSpan)
				served := lo.be.served
				lo.halted.Store(lo.fl.allocatorOf(endpoint1))
				lo.play(loadSpan)
				share := lo.end(t, served, loadSpan)
				g.Expect(lo.be.mostTurnedAway()).To(BeNumerically("<=", 2))
				g.Expect(share).To(BeNumerically(">=", 0.45))
			})
		})
	}
}
