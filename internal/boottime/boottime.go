// Package boottime reads the clock CLOCK_BOOTTIME, which keeps running while the
// machine is suspended and cannot be set. The monotonic clock of the Go runtime
// stops during suspension, so ages measured with it can be too small.
//
// # Usage
//
//	var cl boottime.Clock = boottime.System{}
//	start := cl.Now()
//	age := cl.Now() - start
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed but unspecified moment, including the time
// for which the machine was suspended.
type Clock interface {
	Now() time.Duration
}

// System is the boot-time clock of the machine.
type System struct{}

// Now implements Clock.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it ages cannot be
		// measured.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Manual is a clock for tests that only Advance moves. The zero Manual is at 0.
type Manual struct{ now atomic.Int64 }

// Now implements Clock.
func (ma *Manual) Now() time.Duration { return time.Duration(ma.now.Load()) }

// Advance moves the clock forward.
func (ma *Manual) Advance(by time.Duration) { ma.now.Add(int64(by)) }
