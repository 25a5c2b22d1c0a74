package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Schedule is the time of an instance's shutdown, once it has begun. Set the clock before
// use. A nil Schedule never begins. It is safe for concurrent use.
type Schedule struct {
	Clock clockwork.Clock

	mu    sync.Mutex
	begun time.Time // zero if the shutdown has not begun
	end   time.Time
	// waits has a function for each request that waits, which is called when the
	// shutdown begins.
	waits map[*wait]struct{}
}

// Request is what is known of a request when it is judged.
type Request struct {
	// Deadline is when the request ends at the latest, with or without an answer.
	Deadline time.Time
	// Length is the longest time that its answer is expected to take from when it is
	// sent to an endpoint. Zero means that it is not known.
	Length time.Duration
}

// Judgement tells whether a request is served, and why.
type Judgement struct {
	// Takes is set if the answer will be whole in time. It is always set before the
	// shutdown begins.
	Takes bool
	// Begun is set once the shutdown has begun. Left is the time until its end.
	Begun bool
	Left  time.Duration
}

// lengthReserve is the factor by which the time left must exceed the expected length of
// an answer.
const lengthReserve = 1.25

// Begin begins the shutdown. Requests are cut at end.
func (sd *Schedule) Begin(end time.Time) {
	sd.mu.Lock()
	sd.begun, sd.end = sd.Clock.Now(), end
	waits := sd.waits
	sd.waits = nil
	sd.mu.Unlock()
	for wt := range waits {
		wt.schedule(sd)
	}
}

// Since returns how long after the beginning of the shutdown a time was. It is negative
// for earlier times, and zero if the shutdown has not begun.
func (sd *Schedule) Since(at time.Time) time.Duration {
	begun, _ := sd.times()
	if begun.IsZero() {
		return 0
	}
	return at.Sub(begun)
}

// Judge judges a request that arrives or is about to be sent to an endpoint.
func (sd *Schedule) Judge(re Request) Judgement {
	begun, end := sd.times()
	if begun.IsZero() {
		return Judgement{Takes: true}
	}
	now := sd.Clock.Now()
	return Judgement{Takes: !re.latestStart(now, end).Before(now), Begun: true, Left: end.Sub(now)}
}

func (sd *Schedule) times() (begun, end time.Time) {
	if sd == nil {
		return time.Time{}, time.Time{}
	}
	sd.mu.Lock()
	defer sd.mu.Unlock()
	return sd.begun, sd.end
}

// latestStart returns the latest time at which the request can be sent to an endpoint so
// that it ends before the end of the shutdown. It is before now if there is none.
func (re Request) latestStart(now, end time.Time) time.Time {
	if !end.After(now) {
		return time.Time{}
	}
	if !re.Deadline.After(end) {
		return re.Deadline
	}
	if re.Length <= 0 {
		return time.Time{}
	}
	return end.Add(-time.Duration(lengthReserve * float64(re.Length)))
}

// WhileWaiting returns a context for the time that a request waits to be sent. It is
// canceled as soon as the request can't be served before the end any more. The function
// must be called when the wait ends.
func (sd *Schedule) WhileWaiting(ctx context.Context, re Request) (context.Context, context.CancelFunc) {
	if sd == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	wt := &wait{request: re, cancel: cancel}
	if !sd.add(wt) {
		wt.schedule(sd)
	}
	return ctx, func() {
		sd.remove(wt)
		wt.stop()
		cancel(nil)
	}
}

// add registers a wait. It returns false if the shutdown has begun.
func (sd *Schedule) add(wt *wait) bool {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	if !sd.begun.IsZero() {
		return false
	}
	if sd.waits == nil {
		sd.waits = make(map[*wait]struct{})
	}
	sd.waits[wt] = struct{}{}
	return true
}

func (sd *Schedule) remove(wt *wait) {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	delete(sd.waits, wt)
}

// wait is a request that waits to be sent.
type wait struct {
	request Request
	cancel  context.CancelCauseFunc

	mu      sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

// schedule cancels the wait when it is too late to send the request.
func (wt *wait) schedule(sd *Schedule) {
	_, end := sd.times()
	now := sd.Clock.Now()
	left := wt.request.latestStart(now, end).Sub(now)
	if left <= 0 {
		wt.cancel(errNoTime)
		return
	}
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if !wt.stopped {
		wt.timer = sd.Clock.AfterFunc(left, func() { wt.cancel(errNoTime) })
	}
}

func (wt *wait) stop() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.stopped = true
	if wt.timer != nil {
		wt.timer.Stop()
	}
}
