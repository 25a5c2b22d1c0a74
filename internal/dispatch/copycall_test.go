package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
)

// Guards against streams that stand still until their deadline: the call that lets the run
// go on from a copy brings nothing, while the engine goes on with the run.
func TestSilentCallAtACopy(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	script := func(conn net.Conn, re *http.Request) {
		if re.Header.Get("From") != "" && calls.Add(1) == 1 {
			hangs(conn, re)
			return
		}
		crashes(conn, re)
	}
	ha := newHarness(t, script, script)
	ha.Runs = &oneMover{ha: ha}
	ha.Reachable = func(context.Context, string) bool { return true }
	var reports atomic.Int64
	ha.Progress = func(context.Context, roster.Endpoint, string) (int, error) { return int(reports.Add(1)), nil }
	re := ha.longRequest()
	re.Path, re.Target = "/long/", "/long/"
	got, err := readEvents(ha.Serve(t.Context(), re))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	g.Expect(calls.Load()).To(BeNumerically("==", 2))
	g.Expect(ha.Tracker.Loads()).To(BeEmpty(), "all tickets are ended")
}

// Guards against the abort of a stream that has begun, by an examination that began while its
// call at a copy had no answer yet.
func TestExaminationOfACallSparesItsAnswer(t *testing.T) {
	g := NewWithT(t)
	examined := make(chan struct{})
	answers := func(conn net.Conn, re *http.Request) {
		if re.Header.Get("From") == "" {
			crashes(conn, re)
			return
		}
		<-examined
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+re.Header.Get("Id")+"\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(probeTimeout)
		chunk(conn, numbered(4, 6))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	ha := newHarness(t, answers, answers)
	ha.preferInOrder()
	target, _ := ha.Roster.View().Get("e1")
	ha.Runs = &moverOnce{harness: ha, target: target}
	var probes atomic.Int64
	ha.Reachable = func(context.Context, string) bool {
		if probes.Add(1) == stallProbes {
			close(examined)
			time.Sleep(probeTimeout / 2)
		}
		return probes.Load() > stallProbes
	}
	re := ha.longRequest()
	re.Path, re.Target = "/long/", "/long/"
	got, err := readEvents(ha.Serve(t.Context(), re))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	g.Expect(ha.received()).To(Equal(2))
}

// newMovingHarness returns a harness with a number of engines that crash in the middle of an
// answer. A run goes on at the last of them by the handle "h1", which is answered as atCopy
// says.
func newMovingHarness(t *testing.T, atCopy script, engines int) *harness {
	t.Helper()
	answers := func(conn net.Conn, re *http.Request) {
		if re.Header.Get("From") == "h1" {
			atCopy(conn, re)
			return
		}
		crashes(conn, re)
	}
	ha := newHarness(t, slices.Repeat([]script{answers}, engines)...)
	ha.preferInOrder()
	target, _ := ha.Roster.View().Get(fmt.Sprint("e", engines-1))
	ha.Runs = &moverOnce{harness: ha, target: target}
	return ha
}

// Guards against a loss, counted against an engine's version, that is none: the engine had
// stopped the run by order, and the engine of the copy rejected it.
func TestEngineOfAMovedRunIsNotAccused(t *testing.T) {
	g := NewWithT(t)
	ha := newMovingHarness(t, busy, 2)
	ha.suspecting()
	ha.Reachable = func(context.Context, string) bool { return true }
	ro := &recordingRollouts{}
	ha.Rollouts = ro
	got, err := readEvents(ha.Serve(t.Context(), ha.longRequest()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	g.Expect(ro.failed.Load()).To(BeZero())
}

// recordingRollouts counts the failures that are recorded.
type recordingRollouts struct {
	stoppable
	failed atomic.Int64
}

func (rr *recordingRollouts) Record(_ roster.Endpoint, sa rollout.Sample) {
	if sa.Failed {
		rr.failed.Add(1)
	}
}

// Guards against a run that works at two engines: a copy was called again, since its engine
// had not begun the run yet, and rejected the second call because the first had used it.
func TestCopyThatWasUsedByALostCall(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	script := func(conn net.Conn, re *http.Request) {
		switch {
		case re.Header.Get("From") != "h1":
			crashes(conn, re)
		case calls.Add(1) == 1:
			_ = conn.Close()
		default:
			busy(conn, re)
		}
	}
	ha := newHarness(t, script, script)
	ha.preferInOrder()
	target, _ := ha.Roster.View().Get("e1")
	mo := &askedMover{moverOnce: moverOnce{harness: ha, target: target}}
	ha.Runs = mo
	ha.Budget.Extra = func() float64 { return 3 }
	_, err := readEvents(ha.Serve(t.Context(), ha.longRequest()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(calls.Load()).To(BeNumerically("==", 2))
	g.Expect(mo.asked).To(Equal(2), "asked after each of the calls")
	g.Expect(mo.known).To(HaveEach(migration.Doubtful))
}

// askedMover records that the engine of a broken stream was asked for its run.
type askedMover struct {
	moverOnce
	asked int
	known []migration.Knowledge
}

func (am *askedMover) Settle(_ context.Context, ru *migration.Run, _ string) migration.Fate {
	am.asked++
	am.known = append(am.known, ru.Known())
	return migration.Gone
}

// Guards against a second call at an engine that cannot be reached, while another one has a
// copy.
func TestUnreachableCopyIsNotCalledAgain(t *testing.T) {
	g := NewWithT(t)
	ha := newMovingHarness(t, hangs, 3)
	target, _ := ha.Roster.View().Get("e2")
	ha.Tracker.Begin(target, placement.Demand{Engine: ha.engine(), Prompt: 6000}) // no standby copy there
	ha.Reachable = func(context.Context, string) bool { return false }
	re := ha.longRequest()
	re.Path, re.Target = "/long/", "/long/"
	got, err := readEvents(ha.Serve(t.Context(), re))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	g.Expect(ha.replicas[1].requestCount()).To(Equal(1), "the standby copy")
	g.Expect(ha.replicas[2].requestCount()).To(Equal(1))
}

// Guards against more calls at copies, after one interruption, than the budget of repeats
// allows.
func TestFurtherCallsAtCopiesTakeFromTheBudget(t *testing.T) {
	for extra, received := range map[float64]int{1: 2, 2: 3} {
		g := NewWithT(t)
		ha := newMovingHarness(t, busy, 2)
		ha.Budget.Extra = func() float64 { return extra }
		ha.Budget.Ratio = 0
		_, err := readEvents(ha.Serve(t.Context(), ha.longRequest()))
		g.Expect(err == nil).To(Equal(received == 3))
		g.Expect(ha.received()).To(Equal(received))
	}
}

// Guards against a run that goes on at an engine whose version was stopped, since that engine
// had been called before, without an answer, and was taken for the one where the run was.
func TestVersionIsStoppedBeforeTheSecondCall(t *testing.T) {
	g := NewWithT(t)
	ha := newMovingHarness(t, func(conn net.Conn, _ *http.Request) { _ = conn.Close() }, 2)
	rp := ha.Serve(t.Context(), ha.longRequest())
	turns := 0
	ha.Gate.Limiter = changedLimiter{ha.limit(map[string]time.Duration{"e0": 0, "e1": 0}), func(en roster.Endpoint) {
		if turns++; turns == 2 {
			ha.Rollouts = &stoppedAt{endpoint: en.ID}
		}
	}}
	_, _ = readEvents(rp)
	g.Expect(ha.replicas[1].requestCount()).To(Equal(1))
}
