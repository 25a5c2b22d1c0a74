// Package boottime reads a clock that goes on while the machine is suspended
// and that nobody can set. The monotonic clock of the runtime stands still in
// a suspension, so an age that is measured by it looks smaller than it is.
//
// # Usage
//
//	var cl boottime.Clock = boottime.System{}
//	begun := cl.Now()
//	age := cl.Now() - begun
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since some fixed moment, suspensions included.
type Clock interface {
	Now() time.Duration
}

// System is the clock of the machine.
type System struct{}

// Now implements Clock.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no age is known.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Manual is a clock that tests set.
type Manual struct{ now atomic.Int64 }

// Now implements Clock.
func (ma *Manual) Now() time.Duration { return time.Duration(ma.now.Load()) }

// Advance moves the clock.
func (ma *Manual) Advance(by time.Duration) { ma.now.Add(int64(by)) }
