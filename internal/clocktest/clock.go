// Package clocktest provides a clock for tests that run in a bubble of
// testing/synctest under the race detector.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		it := &lease.Lease{Clock: clocktest.New()}
//		...
//	})
package clocktest

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is the real clock with timers that run callbacks and are never due when
// they start. A goroutine of a synctest bubble runs a due timer on its own thread
// when it selects on the timer's channel, or starts the timer, and Go's race
// detector crashes if two threads of a bubble do so at once. All other timers run
// on one thread at a time.
type Clock struct{ clockwork.Clock }

// New returns a Clock.
func New() Clock { return Clock{clockwork.NewRealClock()} }

// After implements clockwork.Clock.
func (cl Clock) After(wait time.Duration) <-chan time.Time {
	return cl.NewTimer(wait).Chan()
}

// NewTimer implements clockwork.Clock.
func (Clock) NewTimer(wait time.Duration) clockwork.Timer {
	ti := &timer{fired: make(chan time.Time, 1)}
	ti.arm(wait)
	return ti
}

// NewTicker implements clockwork.Clock.
func (Clock) NewTicker(interval time.Duration) clockwork.Ticker {
	ti := &timer{fired: make(chan time.Time, 1), interval: interval}
	ti.arm(interval)
	return ticker{ti}
}

// timer is a timer, or a ticker if interval is not zero.
type timer struct {
	fired    chan time.Time
	interval time.Duration

	mu    sync.Mutex
	inner *time.Timer
}

// arm starts the timer. One that is due fires at once.
func (ti *timer) arm(wait time.Duration) {
	if wait <= 0 {
		ti.inner = nil
		ti.fire()
		return
	}
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.inner = time.AfterFunc(wait, ti.fire)
}

// fire delivers the time. Like the real clock, a ticker drops ticks that are not
// received in time.
func (ti *timer) fire() {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	select {
	case ti.fired <- time.Now():
	default:
	}
	if ti.interval > 0 {
		ti.inner.Reset(ti.interval)
	}
}

// Chan implements clockwork.Timer.
func (ti *timer) Chan() <-chan time.Time { return ti.fired }

// Reset implements clockwork.Timer.
func (ti *timer) Reset(wait time.Duration) bool {
	active := ti.Stop()
	ti.arm(wait)
	return active
}

// Stop implements clockwork.Timer. A time that was not received is discarded.
func (ti *timer) Stop() bool {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.interval = 0
	active := ti.inner != nil && ti.inner.Stop()
	select {
	case <-ti.fired:
	default:
	}
	return active
}

// ticker adapts a timer to clockwork.Ticker.
type ticker struct{ timer *timer }

// Chan implements clockwork.Ticker.
func (ti ticker) Chan() <-chan time.Time { return ti.timer.Chan() }

// Reset implements clockwork.Ticker.
func (ti ticker) Reset(interval time.Duration) {
	ti.timer.Stop()
	ti.timer.mu.Lock()
	ti.timer.interval = interval
	ti.timer.mu.Unlock()
	ti.timer.arm(interval)
}

// Stop implements clockwork.Ticker.
func (ti ticker) Stop() { ti.timer.Stop() }
