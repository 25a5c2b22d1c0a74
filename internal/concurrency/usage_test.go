package concurrency

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/peer"
)

// slowCaller delays the calls of an instance.
type slowCaller struct {
	peer.Caller
	delay time.Duration
}

func (sc slowCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	time.Sleep(sc.delay)
	return sc.Caller.Call(ctx, address, method, args, reply)
}

// run lets the clock of a fleet follow that of the test until the context ends.
func (fl *fleet) run(ctx context.Context) {
	const step, period = 5 * time.Millisecond, 500 * time.Millisecond
	for passed := step; ctx.Err() == nil; passed += step {
		time.Sleep(step)
		fl.boot.Advance(step)
		for _, li := range fl.limiters {
			li.Allocator.Check()
		}
		if passed%period == 0 {
			fl.exchange(func(int, int) bool { return true })
		}
	}
}

// Under three times the load that a brittle endpoint bears, seven tenths of the time of its
// slots are used. Time is virtual: on a machine with too little processor time, messages
// between instances arrive late, and slots are free meanwhile.
func TestSlotsAreUsed(t *testing.T) {
	const (
		instances = 12
		work      = 60 * time.Millisecond
		maxWait   = 600 * time.Millisecond
		span      = 4 * time.Second
	)
	for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fl := newFleet(instances)
				for _, li := range fl.limiters {
					li.Caller = slowCaller{li.Caller, delay}
				}
				fl.open(endpoint1)
				ctx, cancel := context.WithCancel(t.Context())
				go fl.run(ctx)
				interval := work / time.Duration(3*endpoint1.Slots)
				var running, served, tooMany atomic.Int64
				for ix := range int(span / interval) {
					time.Sleep(interval)
					go func() {
						slot, _, taken := fl.limiters[ix%instances].Take(context.Background(), endpoint1, maxWait, time.Minute)
						if !taken {
							return
						}
						if running.Add(1) > int64(endpoint1.Slots) {
							tooMany.Add(1)
						}
						time.Sleep(work)
						running.Add(-1)
						served.Add(1)
						slot.End(false)
					}()
				}
				share := float64(served.Load()) * float64(work) / (float64(endpoint1.Slots) * float64(span))
				t.Logf("messages take %v: share of slots used %.2f", delay, share)
				g.Expect(share).To(BeNumerically(">=", 0.7))
				g.Expect(tooMany.Load()).To(BeZero())
				time.Sleep(2 * maxWait)
				cancel()
				time.Sleep(work) // all goroutines have ended
			})
		})
	}
}
