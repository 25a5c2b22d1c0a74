package concurrency

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an endpoint without requests after its allocator was paused for a second, as
// a machine with little processor time is: while a long request was in progress, the
// allocator gave out no other slot for 3 s, and nothing while pauses followed one another.
func TestPausedAllocatorGivesOutSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fl := newFleet(6)
		fl.open(endpoint1)
		al := fl.allocatorOf(endpoint1)
		_, _, taken := al.Take(t.Context(), endpoint1, 0, time.Minute)
		g.Expect(taken).To(BeTrue(), "the long request")
		served := 0
		for range 3 {
			fl.boot.Advance(1200 * time.Millisecond)
			for range 50 {
				fl.boot.Advance(50 * time.Millisecond)
				fl.exchange(func(int, int) bool { return true })
				for _, li := range fl.limiters {
					li.Allocator.Check()
					if us, _, taken := li.Take(t.Context(), endpoint1, 0, time.Minute); taken {
						served++
						us.End(false)
						synctest.Wait()
					}
				}
			}
		}
		g.Expect(served).To(BeNumerically(">=", 3*50*6*9/10), "there is room for five")
	})
}
