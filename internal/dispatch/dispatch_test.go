package dispatch

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
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

// What may be repeated follows from the route and from what the endpoint proved.
func TestRepeats(t *testing.T) {
	for _, ca := range []struct {
		name    string
		path    string
		scripts []script
		// status is that of a delivered answer, reason that of a refusal.
		status int
		reason refusal.Reason
		runs   int
	}{
		{"an answer", "/read/", []script{succeeds, succeeds}, 200, "", 1},
		{"a failed read is sent once more", "/read/", []script{fails, succeeds}, 200, "", 2},
		{"a read that fails twice is delivered as failed", "/read/", []script{fails, fails, succeeds}, 500, "", 2},
		{"a lost read is sent once more", "/read/", []script{breaks, succeeds}, 200, "", 2},
		{"a read lost twice", "/read/", []script{breaks, breaks, succeeds}, 0, refusal.EndpointLost, 2},
		{"an unproved answer to a read counts as lost", "/read/", []script{unproved, succeeds}, 200, "", 2},
		{"a failed posting is delivered", "/post/", []script{fails, succeeds}, 500, "", 1},
		{"a lost posting is not sent again", "/post/", []script{breaks, succeeds}, 0, refusal.EndpointLost, 1},
		{"an unproved answer to a posting", "/post/", []script{unproved, succeeds}, 0, refusal.EndpointLost, 1},
		{"a posting that did not run is sent again", "/post/", []script{busy, succeeds}, 200, "", 2},
		{"a posting to an address that another has", "/post/", []script{moved, succeeds}, 200, "", 2},
		{"nobody takes a posting", "/post/", []script{busy, busy}, 0, refusal.NoCapacity, 2},
		{"a stream that did not run is sent again", "/stream/", []script{busy, events(1, 2, true)}, 200, "", 2},
		{"a stream lost before its head is not", "/stream/", []script{breaks, events(1, 2, true)}, 0, refusal.EndpointLost, 1},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			wo := newWorld(t, ca.scripts...)
			wo.rankFirst()
			rp := wo.send(ca.path)
			g.Expect(reasonOf(rp)).To(Equal(ca.reason))
			g.Expect(rp.Status).To(Equal(ca.status))
			g.Expect(wo.runs()).To(Equal(ca.runs))
			if rp.Events != nil {
				g.Expect(readEvents(rp)).To(Equal(numbered(1, 2)))
			}
		})
	}
}

// rankFirst makes the endpoints be chosen in their order.
func (wo *world) rankFirst() {
	for ix, rp := range wo.replicas {
		for range ix {
			wo.Board.Begin(roster.Endpoint{ID: rp.id}, placement.Work{})
		}
	}
}

func TestUnsentRequestsGoElsewhereWithoutBudget(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, succeeds, succeeds)
	wo.rankFirst()
	wo.Budget.Extra = func() float64 { return 0 }
	g.Expect(wo.replicas[0].Close()).To(Succeed())
	rp := wo.send("/post/")
	g.Expect(rp.Status).To(Equal(200))
	g.Expect(wo.replicas[1].got()).To(Equal(1))
}

func TestBudgetBoundsRepeats(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, fails, fails)
	for range 5 {
		wo.send("/read/")
	}
	g.Expect(wo.runs()).To(Equal(5+2), "the window allows two repeats")
}

// A refusal says that a request has not run only where that is proved.
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
			wo := newWorld(t, ca.scripts...)
			wo.rankFirst()
			rp := wo.send("/read/")
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
		{"a key whose proof is old", "/read/", "key", 5 * time.Second, refusal.StaleConfiguration},
		{"a route that a newer configuration may have", "/none/", "key", 5 * time.Second, refusal.StaleConfiguration},
		{"a key that a newer configuration may have", "/read/", "other", 5 * time.Second, refusal.StaleConfiguration},
		{"no key needed, however old the proof", "/public/", "", time.Hour, ""},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			wo := newWorld(t, succeeds)
			wo.boot.Advance(ca.age)
			re := wo.request(ca.path)
			re.Key, re.HasKey = ca.key, ca.key != ""
			rp := wo.Serve(context.Background(), re)
			g.Expect(reasonOf(rp)).To(Equal(ca.reason))
		})
	}
	t.Run("before the first configuration", func(t *testing.T) {
		g := NewWithT(t)
		wo := newWorld(t, succeeds)
		wo.State = &routing.State{Clock: wo.boot}
		g.Expect(reasonOf(wo.send("/none/"))).To(Equal(refusal.NoConfiguration))
		g.Expect(reasonOf(wo.send("/read/"))).To(Equal(refusal.NoConfiguration))
	})
}

func TestBodyOverTheLimit(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, succeeds)
	re := wo.request("/read/")
	re.Body = make([]byte, 1000)
	g.Expect(reasonOf(wo.Serve(context.Background(), re))).To(BeEmpty())
	re = wo.request("/read/")
	re.Body = make([]byte, 1001)
	g.Expect(reasonOf(wo.Serve(context.Background(), re))).To(Equal(refusal.TooLarge))
	g.Expect(wo.runs()).To(Equal(1))
}

func TestTakenKeyIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, succeeds)
	g.Expect(wo.send("/read/").Status).To(Equal(200))
	wo.configure(2, "another")
	g.Expect(reasonOf(wo.send("/read/"))).To(Equal(refusal.Unauthenticated))
}

// The route's timeout ends a request at once, and the endpoint is never given
// more time than is left.
func TestTimeout(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, hangs)
	rp := wo.send("/brief/")
	g.Expect(reasonOf(rp)).To(Equal(refusal.TimedOut))
	g.Expect(wo.replicas[0].lastHead().Get("Left")).To(BeElementOf("79", "80", "78", "77"))
	re := wo.request("/read/")
	re.Budget = 30 * time.Millisecond
	g.Expect(reasonOf(wo.Serve(context.Background(), re))).To(Equal(refusal.TimedOut))
}

func TestCallerThatLeft(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, hangs, succeeds)
	wo.rankFirst()
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(30*time.Millisecond, func() { cancel(errors.New("left")) })
	rp := wo.Serve(ctx, wo.request("/read/"))
	g.Expect(reasonOf(rp)).To(Equal(refusal.CallerGone))
	g.Expect(wo.runs()).To(Equal(1), "nothing is sent for a caller that left")
}

// A stream ends as complete only behind its last event, and no part of an
// event is delivered.
func TestBrokenStreams(t *testing.T) {
	for _, ca := range []struct {
		name   string
		script script
		want   string
		whole  bool
	}{
		{"whole", events(1, 5, true), numbered(1, 5), true},
		{"cut inside an event", events(1, 3, false), numbered(1, 3), false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			wo := newWorld(t, ca.script)
			got, err := readEvents(wo.send("/stream/"))
			g.Expect(got).To(Equal(ca.want))
			g.Expect(err == nil).To(Equal(ca.whole))
		})
	}
}

// A caller that is gone when its next event is written has a line of its own: a
// stream without an end in the logs would look as if it still ran.
func TestStreamThatIsClosedEarlyIsLogged(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, silent)
	var log bytes.Buffer
	wo.Log = zerolog.New(&log)
	rp := wo.send("/stream/")
	_, err := rp.Events.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rp.Events.Close()).To(Succeed())
	g.Expect(log.String()).To(ContainSubstring(`"event":"stream_given_up"`))
	g.Expect(wo.Board.Loads()).To(BeEmpty())
	before := log.Len()
	g.Expect(rp.Events.Close()).To(Succeed())
	g.Expect(log.Len()).To(Equal(before), "it ends once")
}

// moverOnce lets a stream go on at a target after its engine stopped it.
type moverOnce struct {
	world  *world
	target roster.Endpoint
	moved  bool
}

func (mo *moverOnce) Add(ru *migration.Run) {
	ru.Complete(migration.Moved{From: ru.Endpoint(), Handle: "h1", Target: mo.target, Ticket: mo.world.Board.Begin(mo.target, placement.Work{})})
}

func (mo *moverOnce) Remove(*migration.Run) { mo.moved = true }

// A run that was moved goes on behind the last event that the caller got.
func TestMovedStreamIsWhole(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, events(1, 3, false))
	target := wo.addReplica("target", events(4, 6, true))
	mo := &moverOnce{world: wo, target: roster.Endpoint{ID: "target", Address: target.Addr().String()}}
	wo.Runs = mo
	got, err := readEvents(wo.send("/stream/"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	g.Expect(target.lastHead().Get("From")).To(Equal("h1"))
	g.Expect(target.lastHead().Get("Last")).To(Equal("3"))
	g.Expect(mo.moved).To(BeTrue())
}

// Pattern: a request crashes each endpoint that runs it and comes again.
func TestCrashingRequestIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, breaks)
	wo.Suspects = &suspicion.Registry{Clock: wo.Clock, Peers: func() []string { return nil }}
	wo.Reachable = func(context.Context, string) bool { return false }
	for try := 1; try <= 2; try++ {
		g.Expect(reasonOf(wo.send("/post/x"))).To(Equal(refusal.EndpointLost))
		en, _ := wo.Roster.View().Get("e0")
		en.Started = int64(try)
		wo.restart(en)
		want := suspicion.Suspect
		if try == 2 {
			want = suspicion.Refuse
		}
		ta := &task{Request: wo.request("/post/x"), team: "team"}
		g.Eventually(func() suspicion.Verdict { return wo.Suspects.Verdict(ta.print()) }, "5s").Should(Equal(want))
	}
	runs := wo.runs()
	g.Expect(reasonOf(wo.send("/post/x"))).To(Equal(refusal.NotSentSuspect))
	g.Expect(wo.runs()).To(Equal(runs))
	g.Expect(reasonOf(wo.send("/post/y"))).To(Equal(refusal.EndpointLost), "other requests are not concerned")
}

func TestOutputsAreLearnt(t *testing.T) {
	g := NewWithT(t)
	var ou outputs
	pr := Prompt{MaxOutput: 2000}
	g.Expect(ou.expect("r", pr)).To(BeNumerically("~", 350, 1))
	for range 200 {
		ou.learn("r", 800)
	}
	g.Expect(ou.expect("r", pr)).To(BeNumerically("~", 400, 1), "the mean over the time of a generation")
	g.Expect(ou.expect("r", Prompt{MaxOutput: 100})).To(Equal(50), "never beyond the bound")
}
