package concurrency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// brittleEndpoint turns away requests for which it has no room.
type brittleEndpoint struct {
	mu              sync.Mutex
	running, served int
	turnedAway      []time.Time
}

// run processes a request for some time, or until its instance stops.
func (be *brittleEndpoint) run(stopped context.Context, span time.Duration) (turnedAway bool) {
	be.mu.Lock()
	defer be.mu.Unlock()
	if be.running >= endpoint1.Slots {
		be.turnedAway = append(be.turnedAway, time.Now())
		return true
	}
	be.running++
	be.served++
	be.mu.Unlock()
	select {
	case <-time.After(span):
	case <-stopped.Done():
	}
	be.mu.Lock()
	be.running--
	return false
}

// mostTurnedAway returns the largest number of requests that were turned away in a second.
func (be *brittleEndpoint) mostTurnedAway() (most int) {
	for ix, at := range be.turnedAway {
		count := 0
		for _, later := range be.turnedAway[ix:] {
			if later.Sub(at) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against an endpoint that falls over when its allocator starts again: each of the
// other instances sent it a request to find out whether there was room.
func TestRestartedAllocatorSparesBrittleEndpoints(t *testing.T) {
	const (
		step     = 5 * time.Millisecond
		span     = 12 * time.Second
		meanWork = time.Second
	)
	for _, size := range []int{1, 6, 95} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fl, be, rng := newBrittleFleet(size), &brittleEndpoint{}, rand.New(rand.NewPCG(20261205, 0))
				stopped := make(map[*Limiter]context.Context)
				start := func(li *Limiter) (stop func()) {
					stopped[li], stop = context.WithCancel(t.Context())
					return stop
				}
				al := fl.allocatorOf(endpoint1)
				for _, li := range fl.limiters {
					defer start(li)()
				}
				stop := start(al)
				play := func() {
					for passed := step; passed <= span; passed += step {
						time.Sleep(step)
						fl.boot.Advance(step)
						if passed%(200*time.Millisecond) == 0 {
							fl.tick()
						}
						if passed%(500*time.Millisecond) == 0 {
							fl.exchange(func(int, int) bool { return true })
						}
						li, work := fl.limiters[rng.IntN(size)], time.Duration(rng.Int64N(int64(2*meanWork)))
						go func(stopped context.Context) {
							if us, _, taken := li.Take(stopped, endpoint1, 300*time.Millisecond, time.Minute); taken {
								us.End(be.run(stopped, work))
							}
						}(stopped[li])
					}
				}
				play()
				stop()
				defer start(fl.restart(al))()
				served := be.served
				play()
				time.Sleep(3 * meanWork) // all requests have ended
				synctest.Wait()
				share := float64(be.served-served) * float64(meanWork) / float64(span) / float64(endpoint1.Slots)
				t.Logf("turned away %d, in one second %d; share of slots used %.2f", len(be.turnedAway), be.mostTurnedAway(), share)
				g.Expect(be.mostTurnedAway()).To(BeNumerically("<=", 1))
				g.Expect(share).To(BeNumerically(">=", 0.6))
			})
		})
	}
}
