package concurrency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// brittleEndpoint rejects requests for which it has no room.
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

// mostTurnedAway returns the largest number of requests that were rejected in a second.
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

// load sends requests to a brittle endpoint through the instances of a fleet.
type load struct {
	fl      *fleet
	be      *brittleEndpoint
	rng     *rand.Rand
	stopped map[*Limiter]context.Context
	// halted is the instance that does not run any more.
	halted atomic.Pointer[Limiter]
	// told has what each instance has last reported of its requests in progress. It is nil if
	// they tell nothing.
	mu   sync.Mutex
	told map[*Limiter]int
}

const (
	meanWork = time.Second
	loadSpan = 12 * time.Second
)

func newLoad(t *testing.T, size int, seed uint64) *load {
	lo := &load{
		fl: newBrittleFleet(size), be: &brittleEndpoint{}, rng: rand.New(rand.NewPCG(20261205, seed)),
		stopped: make(map[*Limiter]context.Context),
	}
	lo.fl.isCut = func(from, to int) bool {
		halted := lo.halted.Load()
		return lo.fl.limiters[from] == halted || lo.fl.limiters[to] == halted
	}
	for _, li := range lo.fl.limiters {
		lo.stopped[li] = t.Context()
	}
	return lo
}

// play sends 200 requests a second for some time.
func (lo *load) play(span time.Duration) {
	const step = 5 * time.Millisecond
	for passed := step; passed <= span; passed += step {
		time.Sleep(step)
		lo.fl.boot.Advance(step)
		if passed%(200*time.Millisecond) == 0 {
			lo.tick()
		}
		if passed%time.Second == 0 {
			lo.tell()
		}
		if passed%(500*time.Millisecond) == 0 {
			lo.fl.exchangeWithout(lo.halted.Load(), func(int, int) bool { return true })
		}
		li, work := lo.fl.limiters[lo.rng.IntN(len(lo.fl.limiters))], time.Duration(lo.rng.Int64N(int64(2*meanWork)))
		if li == lo.halted.Load() {
			continue
		}
		go func(stopped context.Context) {
			if us, _, taken := li.Take(stopped, endpoint1, 300*time.Millisecond, time.Minute); taken {
				us.End(lo.be.run(stopped, work))
			}
		}(lo.stopped[li])
	}
}

// tick does the periodic work of all instances that run at one time.
func (lo *load) tick() {
	for _, li := range lo.fl.limiters {
		if li != lo.halted.Load() {
			li.Peers.Check()
			li.Allocator.Check()
			li.Report()
		}
	}
	synctest.Wait()
}

// end waits for the end of all requests. It returns the part of the slots that was used
// since served requests had been served.
func (lo *load) end(t *testing.T, served int, span time.Duration) (share float64) {
	time.Sleep(3 * meanWork)
	synctest.Wait()
	share = float64(lo.be.served-served) * float64(meanWork) / float64(span) / float64(endpoint1.Slots)
	t.Logf("turned away %d, in one second %d; share of slots used %.2f", len(lo.be.turnedAway), lo.be.mostTurnedAway(), share)
	return share
}

// Guards against an endpoint that falls over when its allocator starts again: each of the
// other instances sent it a request to find out whether there was room.
func TestRestartedAllocatorSparesBrittleEndpoints(t *testing.T) {
	for _, size := range []int{1, 6, 95} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				lo := newLoad(t, size, 0)
				al := lo.fl.allocatorOf(endpoint1)
				ctx, stop := context.WithCancel(t.Context())
				lo.stopped[al] = ctx
				lo.play(loadSpan)
				stop()
				lo.stopped[lo.fl.restart(al)] = t.Context()
				served := lo.be.served
				lo.play(loadSpan)
				share := lo.end(t, served, loadSpan)
				g.Expect(lo.be.mostTurnedAway()).To(BeNumerically("<=", 1))
				g.Expect(share).To(BeNumerically(">=", 0.6))
			})
		})
	}
}
