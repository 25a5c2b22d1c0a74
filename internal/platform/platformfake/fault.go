package platformfake

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/platform"
)

// Fault is a kind of failure that a connection to the store simulates.
type Fault int

// The faults of a connection.
const (
	// None simulates no failure.
	None Fault = iota
	// Down fails every call as platform.Unavailable and without effect.
	Down
	// LoseResponses applies writes and drops their responses.
	LoseResponses
	// LoseRandomly lets half of the writes succeed. Each of the others loses its
	// response, arrives late or never arrives. The choice is made with the
	// random source given to SetRandom.
	LoseRandomly
	// Slow delays each call by the duration given to SetDelay.
	Slow
	// StaleLists makes Instances return the list before the current one.
	StaleLists
)

// writeOutcome is the outcome of one write under a fault.
type writeOutcome int

const (
	delivered writeOutcome = iota
	responseLost
	deliveredLate
	dropped
	outcomeCount
)

// faultInjector holds the simulated failures of one connection.
type faultInjector struct {
	lock     sync.Mutex
	fault    Fault
	random   *rand.Rand
	delay    time.Duration
	change   chan struct{}
	injected int
	// pending are the writes that LoseRandomly has delayed and DeliverDelayed
	// applies.
	pending []func()
}

// SetFault sets the fault of the connection until the next call of SetFault and
// applies the writes that LoseRandomly has delayed so far.
func (fa *faultInjector) SetFault(fault Fault) {
	fa.lock.Lock()
	fa.fault = fault
	if fa.change != nil {
		close(fa.change)
		fa.change = nil
	}
	fa.lock.Unlock()
	fa.DeliverDelayed()
}

// DeliverDelayed applies the writes that LoseRandomly has delayed.
func (fa *faultInjector) DeliverDelayed() {
	fa.lock.Lock()
	pending := fa.pending
	fa.pending = nil
	fa.lock.Unlock()
	for _, do := range pending {
		do()
	}
}

// SetRandom sets the random source of LoseRandomly. It must be set before
// LoseRandomly is used.
func (fa *faultInjector) SetRandom(random *rand.Rand) {
	fa.lock.Lock()
	defer fa.lock.Unlock()
	fa.random = random
}

// SetDelay sets the duration by which Slow delays a call.
func (fa *faultInjector) SetDelay(delay time.Duration) {
	fa.lock.Lock()
	defer fa.lock.Unlock()
	fa.delay = delay
}

// Injected returns the number of calls that a fault has affected. Stale lists of
// instances do not count.
func (fa *faultInjector) Injected() int {
	fa.lock.Lock()
	defer fa.lock.Unlock()
	return fa.injected
}

func (fa *faultInjector) current() Fault {
	fa.lock.Lock()
	defer fa.lock.Unlock()
	return fa.fault
}

// faultChanged returns a channel that is closed at the next call of SetFault.
func (fa *faultInjector) faultChanged() <-chan struct{} {
	fa.lock.Lock()
	defer fa.lock.Unlock()
	if fa.change == nil {
		fa.change = make(chan struct{})
	}
	return fa.change
}

// inject counts a call and fails or delays it as the current fault requires.
func (fa *faultInjector) inject(ctx context.Context, ss *sharedState, op, key string) error {
	ss.count(op)
	fa.lock.Lock()
	fault, delay := fa.fault, fa.delay
	if fault == Down || fault == Slow {
		fa.injected++
	}
	fa.lock.Unlock()
	if fault == Down {
		return &platform.Error{Op: op, Key: key, Kind: platform.Unavailable, Err: errors.New("platformfake: store is down")}
	}
	if fault != Slow {
		return nil
	}
	delayed, cancel := context.WithTimeout(ctx, delay)
	defer cancel()
	<-delayed.Done()
	if err := ctx.Err(); err != nil {
		return &platform.Error{Op: op, Key: key, Kind: platform.Unavailable, Err: err}
	}
	return nil
}

func (ss *sharedState) count(op string) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if op == "update" || op == "delete" {
		ss.writes++
		return
	}
	ss.reads++
}

// drawOutcome returns the outcome of a write under the current fault.
func (fa *faultInjector) drawOutcome() writeOutcome {
	fa.lock.Lock()
	defer fa.lock.Unlock()
	ou := delivered
	switch {
	case fa.fault == LoseResponses:
		ou = responseLost
	case fa.fault == LoseRandomly && fa.random.IntN(2) == 0:
		ou = responseLost + writeOutcome(fa.random.IntN(int(outcomeCount-responseLost)))
	}
	if ou != delivered {
		fa.injected++
	}
	return ou
}

func (fa *faultInjector) deferWrite(do func()) {
	fa.lock.Lock()
	defer fa.lock.Unlock()
	fa.pending = append(fa.pending, do)
}
