package dispatch

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/suspicion"
)

type script = func(net.Conn, *http.Request)

// Guards against running a request twice that is not idempotent, and against
// giving up one that may be sent again. The route's retry class and what the
// endpoint has proved determine which it is.
func TestRepeats(t *testing.T) {
	for _, ca := range []struct {
		name    string
		path    string
		scripts []script
		// status is the status of a delivered answer. reason is the reason of a
		// refusal.
		status   int
		reason   refusal.Reason
		received int
	}{
		{"an answer", "/read/", []script{succeeds, succeeds}, 200, "", 1},
		{"a failed read is sent once more", "/read/", []script{fails, succeeds}, 200, "", 2},
		{"a read that fails twice is delivered as failed", "/read/", []script{fails, fails, succeeds}, 500, "", 2},
		{"a lost read is sent once more", "/read/", []script{breaks, succeeds}, 200, "", 2},
		{"a read lost twice", "/read/", []script{breaks, breaks, succeeds}, 0, refusal.EndpointLost, 2},
		{"an unsigned answer to a read counts as lost", "/read/", []script{unsigned, succeeds}, 200, "", 2},
		{"a failed POST is delivered", "/post/", []script{fails, succeeds}, 500, "", 1},
		{"a lost POST is not sent again", "/post/", []script{breaks, succeeds}, 0, refusal.EndpointLost, 1},
		{"an unsigned answer to a POST", "/post/", []script{unsigned, succeeds}, 0, refusal.EndpointLost, 1},
		{"a POST that did not run is sent again", "/post/", []script{busy, succeeds}, 200, "", 2},
		{"a POST to an address that now belongs to another endpoint", "/post/", []script{misdirected, succeeds}, 200, "", 2},
		{"all endpoints reject a POST", "/post/", []script{busy, busy}, 0, refusal.NoCapacity, 2},
		{"a stream that did not run is sent again", "/stream/", []script{busy, events(1, 2, true)}, 200, "", 2},
		{"a stream lost before its header is not sent again", "/stream/", []script{breaks, events(1, 2, true)}, 0, refusal.EndpointLost, 1},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, ca.scripts...)
			ha.preferInOrder()
			rp := ha.send(ca.path)
			g.Expect(reasonOf(rp)).To(Equal(ca.reason))
			g.Expect(rp.Status).To(Equal(ca.status))
			g.Expect(ha.received()).To(Equal(ca.received))
			if rp.Events != nil {
				g.Expect(readEvents(rp)).To(Equal(numbered(1, 2)))
			}
		})
	}
}

// preferInOrder gives the endpoints increasing load, so that they are chosen in
// order.
func (ha *harness) preferInOrder() {
	for ix, rp := range ha.replicas {
		for range ix {
			ha.Tracker.Begin(roster.Endpoint{ID: rp.id}, placement.Demand{})
		}
	}
}

func TestUnsentRequestsGoElsewhereWithoutBudget(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds, succeeds)
	ha.preferInOrder()
	ha.Budget.Extra = func() float64 { return 0 }
	g.Expect(ha.replicas[0].Close()).To(Succeed())
	rp := ha.send("/post/")
	g.Expect(rp.Status).To(Equal(200))
	g.Expect(ha.replicas[1].requestCount()).To(Equal(1))
}

func TestBudgetBoundsRepeats(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, fails, fails)
	for range 5 {
		ha.send("/read/")
	}
	g.Expect(ha.received()).To(Equal(5+2), "the budget allows two retries")
}

// A refusal states that a request has not run only if this is proved. A wrong
// statement would make a caller resend a request that is running.
func TestPromisesAreTrue(t *testing.T) {
	for _, ca := range []struct {
		name    string
		scripts []script
		outcome refusal.Outcome
	}{
		{"no endpoint at all", nil, refusal.NotRun},
		{"refused by all", []script{busy, busy}, refusal.NotRun},
		{"lost, then refused", []script{breaks, busy}, refusal.Unknown},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, ca.scripts...)
			ha.preferInOrder()
			rp := ha.send("/read/")
			g.Expect(rp.Refusal).NotTo(BeNil())
			g.Expect(rp.Refusal.Rule().Outcome).To(Equal(ca.outcome))
		})
	}
}

func TestAdmission(t *testing.T) {
	for _, ca := range []struct {
		name   string
		path   string
		key    string
		age    time.Duration
		reason refusal.Reason
	}{
		{"a known key", "/read/", "key", 0, ""},
		{"an unknown key", "/read/", "other", 0, refusal.Unauthenticated},
		{"no key", "/read/", "", 0, refusal.Unauthenticated},
		{"no key where none is needed", "/public/", "", 0, ""},
		{"no route", "/none/", "key", 0, refusal.NotFound},
		{"a key whose confirmation is stale", "/read/", "key", 5 * time.Second, refusal.StaleConfiguration},
		{"a route that a newer configuration may have", "/none/", "key", 5 * time.Second, refusal.StaleConfiguration},
		{"a key that a newer configuration may have", "/read/", "other", 5 * time.Second, refusal.StaleConfiguration},
		{"no key needed, however stale the configuration", "/public/", "", time.Hour, ""},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, succeeds)
			ha.boot.Advance(ca.age)
			re := ha.request(ca.path)
			re.Key, re.HasKey = ca.key, ca.key != ""
			rp := ha.Serve(context.Background(), re)
			g.Expect(reasonOf(rp)).To(Equal(ca.reason))
		})
	}
	t.Run("in a new process whose configuration the store has not confirmed", func(t *testing.T) {
		g := NewWithT(t)
		ha := newHarness(t, succeeds)
		cf := ha.State.Load()
		ha.State = &routing.State{Clock: ha.boot}
		ha.State.Put(cf)
		g.Expect(reasonOf(ha.send("/read/"))).To(Equal(refusal.NoConfiguration))
		ha.State.Confirm(ha.boot.Now())
		g.Expect(reasonOf(ha.send("/read/"))).To(BeEmpty())
	})
	t.Run("before the first configuration", func(t *testing.T) {
		g := NewWithT(t)
		ha := newHarness(t, succeeds)
		ha.State = &routing.State{Clock: ha.boot}
		g.Expect(reasonOf(ha.send("/none/"))).To(Equal(refusal.NoConfiguration))
		g.Expect(reasonOf(ha.send("/read/"))).To(Equal(refusal.NoConfiguration))
	})
}

func TestBodyOverTheLimit(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds)
	re := ha.request("/read/")
	re.Body = make([]byte, 1000)
	g.Expect(reasonOf(ha.Serve(context.Background(), re))).To(BeEmpty())
	re = ha.request("/read/")
	re.Body = make([]byte, 1001)
	g.Expect(reasonOf(ha.Serve(context.Background(), re))).To(Equal(refusal.TooLarge))
	g.Expect(ha.received()).To(Equal(1))
}

// A key that a newer configuration no longer contains is refused at once.
func TestTakenKeyIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds)
	g.Expect(ha.send("/read/").Status).To(Equal(200))
	ha.configure(2, "another")
	g.Expect(reasonOf(ha.send("/read/"))).To(Equal(refusal.Unauthenticated))
}

// The route's timeout ends a request on time, and the endpoint never gets more
// time than remains until the deadline.
func TestTimeout(t *testing.T) {
	g := NewWithT(t)
	var arrived atomic.Int64 // milliseconds since 1970
	ha := newHarness(t, func(conn net.Conn, re *http.Request) {
		arrived.CompareAndSwap(0, time.Now().UnixMilli())
		hangs(conn, re)
	})
	begun := time.Now().UnixMilli()
	rp := ha.send("/brief/")
	g.Expect(reasonOf(rp)).To(Equal(refusal.TimedOut))
	left, err := strconv.Atoi(ha.replicas[0].lastHeader().Get("Left"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(BeNumerically("<=", 80))
	g.Expect(left).To(BeNumerically(">=", 79-(arrived.Load()-begun)), "no less than what remained when it arrived")
	re := ha.request("/read/")
	re.CallerTimeout = 30 * time.Millisecond
	g.Expect(reasonOf(ha.Serve(context.Background(), re))).To(Equal(refusal.TimedOut))
}

func TestCallerThatLeft(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, hangs, succeeds)
	ha.preferInOrder()
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(30*time.Millisecond, func() { cancel(errors.New("left")) })
	rp := ha.Serve(ctx, ha.request("/read/"))
	g.Expect(reasonOf(rp)).To(Equal(refusal.CallerGone))
	g.Expect(ha.received()).To(Equal(1), "nothing is sent again after the caller has disconnected")
}

// A stream ends without an error only after its last event, and no incomplete
// event is delivered.
func TestBrokenStreams(t *testing.T) {
	for _, ca := range []struct {
		name     string
		script   script
		want     string
		complete bool
	}{
		{"whole", events(1, 5, true), numbered(1, 5), true},
		{"interrupted inside an event", events(1, 3, false), numbered(1, 3), false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, ca.script)
			got, err := readEvents(ha.send("/stream/"))
			g.Expect(got).To(Equal(ca.want))
			g.Expect(err == nil).To(Equal(ca.complete))
		})
	}
}

// A caller that disconnects between two events is logged as the end of its
// stream. Without this line, the stream would appear in the logs to be still
// running.
func TestStreamThatIsClosedEarlyIsLogged(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, silent)
	var log bytes.Buffer
	ha.Log = zerolog.New(&log)
	rp := ha.send("/stream/")
	_, err := rp.Events.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rp.Events.Close()).To(Succeed())
	g.Expect(log.String()).To(ContainSubstring(`"event":"stream_given_up"`))
	g.Expect(ha.Tracker.Loads()).To(BeEmpty())
	before := log.Len()
	g.Expect(rp.Events.Close()).To(Succeed())
	g.Expect(log.Len()).To(Equal(before), "a stream ends only once")
}

// moverOnce moves each stream once, from the engine that interrupts it to a
// fixed target.
type moverOnce struct {
	harness *harness
	target  roster.Endpoint
	removed bool
}

func (mo *moverOnce) Add(ru *migration.Run) {
	ru.Complete(migration.Moved{From: ru.Endpoint(), Handle: "h1", Target: mo.target, Ticket: mo.harness.Tracker.Begin(mo.target, placement.Demand{})})
}

func (mo *moverOnce) Remove(*migration.Run) { mo.removed = true }

func (*moverOnce) MoveOne(context.Context, *migration.Run) bool { return false }

func (*moverOnce) Settle(context.Context, *migration.Run, string) migration.Fate {
	return migration.Gone
}

// A moved run continues after the last event that the caller received.
func TestMovedStreamIsWhole(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, events(1, 3, false))
	target := ha.addReplica("target", events(4, 6, true))
	mo := &moverOnce{harness: ha, target: roster.Endpoint{ID: "target", Address: target.Addr().String()}}
	ha.Runs = mo
	got, err := readEvents(ha.send("/stream/"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	g.Expect(target.lastHeader().Get("From")).To(Equal("h1"))
	g.Expect(target.lastHeader().Get("Last")).To(Equal("3"))
	g.Expect(mo.removed).To(BeTrue())
}

// Scenario: a request crashes each endpoint that runs it, and the caller
// submits it again.
func TestCrashingRequestIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, breaks)
	ha.Suspects = &suspicion.Registry{Clock: ha.Clock, Peers: func() []string { return nil }}
	ha.Reachable = func(context.Context, string) bool { return false }
	for try := 1; try <= 2; try++ {
		g.Expect(reasonOf(ha.send("/post/x"))).To(Equal(refusal.EndpointLost))
		en, _ := ha.Roster.View().Get("e0")
		en.Started = int64(try)
		ha.restart(en)
		want := suspicion.Suspect
		if try == 2 {
			want = suspicion.Refuse
		}
		ta := &task{Request: ha.request("/post/x"), team: "team"}
		g.Eventually(func() suspicion.Verdict { return ha.Suspects.Judge(suspicion.Whole(ta.computeFingerprint())).Verdict }, "5s").Should(Equal(want))
	}
	received := ha.received()
	g.Expect(reasonOf(ha.send("/post/x"))).To(Equal(refusal.NotSentSuspect))
	g.Expect(ha.received()).To(Equal(received))
	g.Expect(reasonOf(ha.send("/post/y"))).To(Equal(refusal.EndpointLost), "other requests are not refused")
}

func TestOutputsAreLearnt(t *testing.T) {
	g := NewWithT(t)
	var ou outputEstimator
	pr := Prompt{MaxOutput: 2000}
	g.Expect(ou.estimate("r", pr)).To(BeNumerically("~", 350, 1))
	for range 200 {
		ou.observe("r", 800)
	}
	g.Expect(ou.estimate("r", pr)).To(BeNumerically("~", 400, 1), "memory is averaged over the duration of a generation")
	g.Expect(ou.estimate("r", Prompt{MaxOutput: 100})).To(Equal(50), "the estimate never exceeds the output limit")
}
