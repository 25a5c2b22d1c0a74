package dispatch

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
)

// queueLimiter is a limiter whose next requests may be sent after the given waits, by
// endpoint. It counts the requests that it gave out.
type queueLimiter struct {
	mu    sync.Mutex
	waits map[string]time.Duration
	given map[string]int
}

func (ql *queueLimiter) Take(_ context.Context, en roster.Endpoint, _ backpressure.Limit, maxWait time.Duration) (time.Duration, bool) {
	ql.mu.Lock()
	defer ql.mu.Unlock()
	wait := ql.waits[en.ID]
	if wait > maxWait {
		return wait, false
	}
	ql.given[en.ID]++
	return wait, true
}

// limit names a rate limit for endpoints of the harness and returns the limiter.
func (ha *harness) limit(waits map[string]time.Duration) *queueLimiter {
	ql := &queueLimiter{waits: waits, given: make(map[string]int)}
	ha.Gate.Limiter = ql
	for id := range waits {
		ha.Gate.Registry.Observe(roster.Endpoint{ID: id}, backpressure.Signal{Limit: backpressure.Limit{Rate: 2, Named: true}})
	}
	ha.Tracker.Backpressure = ha.Gate.Registry
	return ql
}

// limited is the script of a replica that names a limit in its answers.
var limited = reply(200, "Proof: p\r\nLimit: 2\r\n", "answer")

// A request goes to an endpoint that has room, waits for one where it is still in
// time, and is refused at once otherwise. Requests of /read/ and /post/ have 2 s.
func TestRequestsUnderRateLimits(t *testing.T) {
	const none = time.Hour
	for _, ca := range []struct {
		name  string
		waits map[string]time.Duration
		path  string
		// want is the reason of the refusal, or empty for an answer.
		want refusal.Reason
		// given are the requests that the limits of e0 and e1 gave out.
		given map[string]int
		// waited is the least time until the reply.
		waited time.Duration
	}{
		{name: "the other copy has room", waits: map[string]time.Duration{"e0": none}, path: "/post/x", given: map[string]int{}},
		{name: "the limit has room", waits: map[string]time.Duration{"e0": 0, "e1": none}, path: "/post/x", given: map[string]int{"e0": 1}},
		{name: "all copies limited, one soon has room", waits: map[string]time.Duration{"e0": none, "e1": 80 * time.Millisecond}, path: "/post/x", given: map[string]int{"e1": 1}, waited: 80 * time.Millisecond},
		{name: "all copies limited for too long", waits: map[string]time.Duration{"e0": none, "e1": 1900 * time.Millisecond}, path: "/post/x", want: refusal.RateLimited, given: map[string]int{}},
		{name: "too short for the wait", waits: map[string]time.Duration{"e0": 60 * time.Millisecond, "e1": none}, path: "/brief/x", want: refusal.RateLimited, given: map[string]int{}},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, limited, limited)
			ql := ha.limit(ca.waits)
			begun := time.Now()
			rp := ha.send(ca.path)
			g.Expect(reasonOf(rp)).To(Equal(ca.want))
			g.Expect(ql.given).To(Equal(ca.given))
			g.Expect(time.Since(begun)).To(BeNumerically(">=", ca.waited))
			if ca.want != "" {
				g.Expect(ha.received()).To(BeZero())
				g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.NotRun))
				g.Expect(rp.Refusal.Rule().RetryAfter).To(BeNumerically(">=", 60*time.Millisecond))
				g.Expect(rp.Refusal.Detail).To(MatchRegexp("e[01]$"), "the endpoint that limits its requests can be found")
			}
		})
	}
}

// Less urgent requests don't fill the queue of a limited endpoint.
func TestUrgentRequestsWaitLongest(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, limited)
	ha.limit(map[string]time.Duration{"e0": 400 * time.Millisecond})
	now := ha.Clock.Now()
	urgent := &task{Request: ha.request("/post/x"), deadline: now.Add(2 * time.Second)}
	late := &task{Request: ha.request("/post/x"), deadline: now.Add(2 * time.Second), priority: 3}
	g.Expect(urgent.maxWait(now)).To(Equal(time.Second))
	g.Expect(late.maxWait(now)).To(Equal(250 * time.Millisecond))
	late.route.Objective = 100 * time.Millisecond
	g.Expect(late.maxWait(now)).To(Equal(50 * time.Millisecond))
}

// A second attempt at an endpoint with a limit needs a permit, too.
func TestRetriesUnderRateLimits(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, fails, fails)
	ql := ha.limit(map[string]time.Duration{"e0": time.Hour, "e1": time.Hour})
	rp := ha.send("/read/x")
	g.Expect(reasonOf(rp)).To(Equal(refusal.RateLimited))
	ql.waits["e0"] = 0
	ha.boot.Advance(time.Hour + time.Second)
	ha.State.Confirm(ha.boot.Now())
	rp = ha.send("/read/x")
	g.Expect(ha.received()).To(Equal(1), "the first attempt failed, and the other endpoint has no room")
	g.Expect(rp.Refusal.Rule().Outcome).NotTo(Equal(refusal.NotRun))
}

// An endpoint that asked for a pause is left alone, and the request goes to the other
// one or waits.
func TestRequestsDuringPauses(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds, succeeds)
	ha.Tracker.Backpressure = ha.Gate.Registry
	paused := backpressure.Signal{RetryAfter: 3 * time.Second}
	ha.Gate.Registry.Observe(roster.Endpoint{ID: "e0"}, paused)
	for range 4 {
		g.Expect(ha.send("/post/x").Status).To(Equal(200))
	}
	g.Expect(ha.replicas[0].requestCount()).To(BeZero())
	ha.Gate.Registry.Observe(roster.Endpoint{ID: "e1"}, paused)
	rp := ha.send("/post/x")
	g.Expect(reasonOf(rp)).To(Equal(refusal.RateLimited))
	g.Expect(rp.Refusal.Rule().RetryAfter).To(BeNumerically(">=", 3*time.Second))
	g.Expect(ha.received()).To(Equal(4))
}

// A permit that expired while the process was paused is not used: the request is
// judged again.
func TestExpiredPermits(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, limited)
	ql := &queueLimiter{given: make(map[string]int)}
	ha.Gate.Limiter = advancingLimiter{ql, func() { ha.boot.Advance(3 * time.Second) }}
	ha.Gate.Registry.Observe(roster.Endpoint{ID: "e0"}, backpressure.Signal{Limit: backpressure.Limit{Rate: 2, Named: true}})
	rp := ha.send("/post/x")
	g.Expect(reasonOf(rp)).To(Equal(refusal.RateLimited))
	g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.NotRun))
	g.Expect(ql.given["e0"]).To(Equal(maxPermitAttempts))
	g.Expect(ha.received()).To(BeZero())
}

// Guards against a log that calls each call that its permit did not allow one whose permit
// expired: endpoints that had become limited or full, or left, could not be told from pauses
// of the process.
func TestRefusedPermitsAreLoggedByKind(t *testing.T) {
	e0 := roster.Endpoint{ID: "e0"}
	turns := backpressure.Signal{Limit: backpressure.Limit{Rate: 2, Named: true}}
	for kind, add := range map[backpressure.ErrorKind]func(*harness, *backpressure.Signal){
		backpressure.Expired: func(ha *harness, _ *backpressure.Signal) { ha.boot.Advance(time.Hour) },
		backpressure.Paused:  func(_ *harness, sg *backpressure.Signal) { sg.RetryAfter = time.Hour },
		backpressure.Limited: func(_ *harness, sg *backpressure.Signal) { sg.Limit.Rate = 0 },
		backpressure.Full:    func(_ *harness, sg *backpressure.Signal) { sg.Brittle = true },
		backpressure.Left:    func(_ *harness, sg *backpressure.Signal) { sg.Leaving = true },
	} {
		t.Run(string(kind), func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, limited)
			var log bytes.Buffer
			ha.Log = zerolog.New(&log)
			cw := &changingWait{place: "turn", change: func() {
				sg := turns
				add(ha, &sg)
				ha.Gate.Registry.Observe(e0, sg)
			}}
			ha.Gate.Limiter, ha.Gate.Slots = changingLimiter{cw}, changingSlots{cw}
			ha.Gate.Registry.Observe(e0, turns)
			ha.send("/post/x")
			g.Expect(log.String()).To(ContainSubstring(`"how":"permit_` + string(kind) + `"`))
			g.Expect(ha.received()).To(BeZero())
		})
	}
}

// advancingLimiter lets time pass while it is asked, like a pause of the process.
type advancingLimiter struct {
	*queueLimiter
	advance func()
}

func (al advancingLimiter) Take(ctx context.Context, en roster.Endpoint, limit backpressure.Limit, maxWait time.Duration) (time.Duration, bool) {
	al.advance()
	return al.queueLimiter.Take(ctx, en, limit, maxWait)
}

// A stream continues from its standby copy at an engine that has named a rate limit
// since: it waits for the limit.
func TestResumedStreamUnderRateLimit(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, crashes, crashes)
	rp := ha.Serve(t.Context(), ha.longRequest())
	g.Expect(rp.Refusal).To(BeNil())
	ql := ha.limit(map[string]time.Duration{"e0": 100 * time.Millisecond, "e1": 100 * time.Millisecond})
	begun := time.Now()
	body, err := readEvents(rp)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(numbered(1, 6)))
	g.Expect(ql.given["e0"] + ql.given["e1"]).To(Equal(1))
	g.Expect(time.Since(begun)).To(BeNumerically(">=", 100*time.Millisecond))
}

// The process was paused for longer than the caller waits: the request is not sent,
// and the refusal says so. Sent over a kept connection, it ran without a caller.
func TestRequestAfterItsTime(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds)
	g.Expect(ha.send("/read/x").Status).To(Equal(200), "leaves a connection to reuse")
	for _, path := range []string{"/read/x", "/post/x", "/stream/x"} {
		re := ha.request(path)
		re.Arrived = ha.Clock.Now().Add(-3 * time.Second)
		rp := ha.Serve(t.Context(), re)
		g.Expect(reasonOf(rp)).To(Equal(refusal.DeadlinePassed), path)
		g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.NotRun), path)
	}
	g.Expect(ha.received()).To(Equal(1))
}
