package dispatch

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/reservation"
	"filbertstall.example/filbertstall/internal/shutdown"
)

const (
	// shutdownTime is shorter than the timeouts of the routes, so that no new request
	// fits into it.
	shutdownTime = time.Second
	// acceptingTime is the time in which new connections may still come.
	acceptingTime = 400 * time.Millisecond
	// beginAfter is when the shutdown begins under a request that waits.
	beginAfter = 50 * time.Millisecond
	// refusedWithin is the longest time until a request that waits is refused. It is
	// shorter than the waits of the test.
	refusedWithin = 500 * time.Millisecond
)

// shutsDown gives a harness a schedule and returns a function that begins the shutdown.
func (ha *harness) shutsDown() func() {
	ha.Shutdown = &shutdown.Schedule{Clock: ha.Clock}
	return func() {
		now := ha.Clock.Now()
		ha.Shutdown.Start(shutdown.Period{Begin: now, Accepting: now.Add(acceptingTime), End: now.Add(shutdownTime)})
	}
}

// waitsForEngine is a Reserver with which requests wait until they leave.
type waitsForEngine struct{}

func (waitsForEngine) Reserve(ctx context.Context, _ reservation.Request) (*reservation.Grant, error) {
	<-ctx.Done()
	return nil, &reservation.Error{Op: "reserve", Kind: reservation.Left}
}

// A stopping instance sent requests to endpoints that could not answer before its end,
// whichever way they had reached it.
func TestRequestsDuringShutdown(t *testing.T) {
	// during begins the shutdown while an endpoint has the request.
	during := func(begin func(), then func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
		return func(conn net.Conn, re *http.Request) {
			begin()
			then(conn, re)
		}
	}
	for _, ca := range []struct {
		name, path string
		// prepare sets a harness with two endpoints up. begin begins the shutdown.
		prepare func(ha *harness, begin func(), re *Request)
		reason  refusal.Reason
		outcome refusal.Outcome
		// received is how many times the request reached an endpoint.
		received int
	}{
		{"arrives", "/post/", func(_ *harness, begin func(), _ *Request) { begin() }, refusal.Stopping, refusal.NotRun, 0},
		{"is forwarded by another instance", "/post/", func(_ *harness, begin func(), re *Request) {
			re.Forwarded = true
			begin()
		}, refusal.Stopping, refusal.NotRun, 0},
		{"would be forwarded to another instance", "/post/", func(ha *harness, begin func(), _ *Request) {
			ha.withInstances(true, succeeds)
			begin()
		}, refusal.Stopping, refusal.NotRun, 0},
		{"waits under a rate limit", "/post/", func(ha *harness, begin func(), _ *Request) {
			ha.limit(map[string]time.Duration{"e0": 900 * time.Millisecond, "e1": time.Hour})
			time.AfterFunc(beginAfter, begin)
		}, refusal.Stopping, refusal.NotRun, 0},
		{"waits for an engine", "/stream/", func(ha *harness, begin func(), _ *Request) {
			ha.Reserver = waitsForEngine{}
			time.AfterFunc(beginAfter, begin)
		}, refusal.Stopping, refusal.NotRun, 0},
		{"waits for its turn", "/stream/", func(ha *harness, begin func(), re *Request) {
			ha.crashesOf(ha.suspecting(), "", "perhaps", 1)
			ha.Turns = &oneByOne{waits: []time.Duration{900 * time.Millisecond}}
			re.Prompt = ha.withPart("perhaps").Prompt
			time.AfterFunc(beginAfter, begin)
		}, refusal.Stopping, refusal.NotRun, 0},
		{"was turned away by an endpoint", "/post/", func(ha *harness, begin func(), _ *Request) {
			for _, rp := range ha.replicas {
				rp.script = during(begin, busy)
			}
		}, refusal.Stopping, refusal.NotRun, 1},
		{"was lost by an endpoint", "/read/", func(ha *harness, begin func(), _ *Request) {
			for _, rp := range ha.replicas {
				rp.script = during(begin, breaks)
			}
		}, refusal.EndpointLost, refusal.Unknown, 1},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, succeeds, succeeds)
			re := ha.request(ca.path)
			ca.prepare(ha, ha.shutsDown(), re)
			begun := ha.Clock.Now()
			re.Arrived = begun
			rp := ha.Serve(t.Context(), re)
			g.Expect(reasonOf(rp)).To(Equal(ca.reason))
			g.Expect(rp.Refusal.Rule().Outcome).To(Equal(ca.outcome))
			if ca.reason == refusal.Stopping {
				g.Expect(rp.Refusal.RetryAfter).To(And(BeNumerically(">=", stoppingRetryAfter), BeNumerically("<", 2*stoppingRetryAfter)))
			}
			g.Expect(ha.Clock.Since(begun)).To(BeNumerically("<", refusedWithin))
			g.Expect(ha.received()).To(Equal(ca.received))
		})
	}
}

// Requests whose answers are known to be short are served during a shutdown.
func TestShortRequestsDuringShutdown(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds)
	begin := ha.shutsDown()
	for ha.lengths.Longest("", ha.Clock.Now()) == 0 {
		g.Expect(ha.send("/post/").Status).To(Equal(http.StatusOK))
	}
	begin()
	g.Expect(ha.send("/post/").Status).To(Equal(http.StatusOK))
	g.Expect(ha.send("/brief/").Status).To(Equal(http.StatusOK))
}

// A run that goes on at another engine during a shutdown is no new request.
func TestStreamIsResumedDuringShutdown(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, crashes, crashes)
	begin := ha.shutsDown()
	rp := ha.Serve(t.Context(), ha.longRequest())
	begin()
	got, err := readEvents(rp)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
}

// Callers whose requests were cut at the end of a shutdown were told that they had left.
func TestReasonOfRequestsCutByShutdown(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, hangs)
	begin := ha.shutsDown()
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(beginAfter, func() {
		begin()
		cancel(shutdown.ErrEnded)
	})
	rp := ha.Serve(ctx, ha.request("/post/"))
	g.Expect(reasonOf(rp)).To(Equal(refusal.Stopping))
	g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.Unknown))
}

// Callers of the only instance of a zone were sent back while it still got all their
// connections.
func TestRetryAfterOfTheOnlyInstance(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds)
	ha.Alone = func() bool { return true }
	ha.shutsDown()()
	rp := ha.send("/post/")
	g.Expect(reasonOf(rp)).To(Equal(refusal.Stopping))
	g.Expect(rp.Refusal.RetryAfter).To(And(BeNumerically(">", acceptingTime-refusedWithin/10), BeNumerically("<", acceptingTime+2*stoppingRetryAfter)))
	time.Sleep(acceptingTime)
	g.Expect(ha.send("/post/").Refusal.RetryAfter).To(BeNumerically("<", 2*stoppingRetryAfter))
}
