package shutdown

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Schedule is the time of an instance's shutdown, once it has begun. Set the clock before
// use. A nil Schedule never begins. It is safe for concurrent use.
type Schedule struct {
	Clock clockwork.Clock

	// period is nil if the shutdown has not begun.
	period atomic.Pointer[Period]
	mu     sync.Mutex
	// waits has the requests that wait to be sent, until the shutdown begins.
	waits map[*wait]struct{}
}

// Period is the time of a shutdown.
type Period struct {
	// Begin is when it begins. Until Accepting, the platform may still open connections
	// to the instance. At End, the requests in progress are cut.
	Begin, Accepting, End time.Time
}

// Request is what is known of a request when it is judged.
type Request struct {
	// Deadline is when the request ends at the latest, with or without an answer.
	Deadline time.Time
	// Length is the longest time that its answer is expected to take from when it is
	// sent to an endpoint. Zero means that it is not known.
	Length time.Duration
}

// lengthReserve is the factor by which the time left must exceed the expected length of
// an answer.
const lengthReserve = 1.25

// Start begins the shutdown.
func (sd *Schedule) Start(pe Period) {
	sd.mu.Lock()
	sd.period.Store(&pe)
	waits := sd.waits
	sd.waits = nil
	sd.mu.Unlock()
	for wt := range waits {
		wt.schedule(sd.Clock, pe)
	}
}

// Period returns the time of the shutdown, or false if it has not begun.
func (sd *Schedule) Period() (Period, bool) {
	if sd == nil {
		return Period{}, false
	}
	pe := sd.period.Load()
	if pe == nil {
		return Period{}, false
	}
	return *pe, true
}

// Takes reports whether a request that is sent to an endpoint now ends before the
// shutdown does.
func (pe Period) Takes(re Request, now time.Time) bool { return !pe.latestStart(re, now).Before(now) }

// latestStart returns the latest time at which a request can be sent to an endpoint so
// that it ends before the end of the shutdown. It is before now if there is none.
func (pe Period) latestStart(re Request, now time.Time) time.Time {
	switch {
	case !pe.End.After(now):
		return time.Time{}
	case !re.Deadline.After(pe.End):
		return re.Deadline
	case re.Length <= 0:
		return time.Time{}
	default:
		return pe.End.Add(-time.Duration(lengthReserve * float64(re.Length)))
	}
}

// WhileWaiting returns a context for the time that a request waits to be sent. It is
// canceled as soon as the request can't be served before the end any more. describe is
// called if the shutdown has begun, or when it begins. The function that WhileWaiting
// returns must be called when the wait ends.
func (sd *Schedule) WhileWaiting(ctx context.Context, describe func() Request) (context.Context, context.CancelFunc) {
	if sd == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	wt := &wait{describe: describe, cancel: cancel}
	if pe := sd.add(wt); pe != nil {
		wt.schedule(sd.Clock, *pe)
	}
	return ctx, func() {
		sd.remove(wt)
		wt.stop()
		cancel(nil)
	}
}

// add registers a wait. It returns the time of the shutdown instead if it has begun.
func (sd *Schedule) add(wt *wait) *Period {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	if pe := sd.period.Load(); pe != nil {
		return pe
	}
	if sd.waits == nil {
		sd.waits = make(map[*wait]struct{})
	}
	sd.waits[wt] = struct{}{}
	return nil
}

func (sd *Schedule) remove(wt *wait) {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	delete(sd.waits, wt)
}

// wait is a request that waits to be sent.
type wait struct {
	describe func() Request
	cancel   context.CancelCauseFunc

	mu      sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

// schedule cancels the wait when it is too late to send the request. A request whose
// deadline is before the end may wait until then.
func (wt *wait) schedule(clock clockwork.Clock, pe Period) {
	now, re := clock.Now(), wt.describe()
	if !pe.Takes(re, now) {
		wt.cancel(errNoTime)
		return
	}
	if !re.Deadline.After(pe.End) {
		return
	}
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if !wt.stopped {
		wt.timer = clock.AfterFunc(pe.latestStart(re, now).Sub(now), func() { wt.cancel(errNoTime) })
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
