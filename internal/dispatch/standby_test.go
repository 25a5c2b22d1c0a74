package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// crashes streams three events and closes the connection in the middle of the
// next. If the run is resumed from a copy, it streams the rest.
func crashes(conn net.Conn, re *http.Request) {
	if re.Header.Get("From") != "" {
		events(4, 6, true)(conn, re)
		return
	}
	events(1, 3, false)(conn, re)
}

// longRequest returns a request whose expected output is long enough for a
// standby copy.
func (ha *harness) longRequest() *Request {
	re := ha.request("/stream/")
	re.Prompt.MaxOutput = 2000
	return re
}

// Scenario: an engine crashes without notice while it streams a long answer.
func TestStandbyTakesOver(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, crashes, crashes)
	re := ha.longRequest()
	got, err := readEvents(ha.Serve(t.Context(), re))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	first, second := ha.replicas[0], ha.replicas[1]
	if first.lastHeader().Get("From") != "" {
		first, second = second, first
	}
	g.Expect(first.lastHeader().Get("Standby")).To(Equal(second.Addr().String()))
	g.Expect(second.lastHeader().Get("From")).To(Equal(re.ID), "the handle of a standby copy is the request ID")
	g.Expect(second.lastHeader().Get("Last")).To(Equal("3"))
	g.Expect(ha.Tracker.Loads()).To(BeEmpty(), "all tickets are ended")
}

// Scenario: an engine crashes, and there is no usable standby copy of the run.
// The stream ends with an error after its last complete event, and the request
// is not sent again.
func TestStreamsWithoutStandby(t *testing.T) {
	for _, ca := range []struct {
		name    string
		prepare func(ha *harness, re *Request)
	}{
		{"a short answer", func(_ *harness, re *Request) { re.Prompt.MaxOutput = 40 }},
		{"not enough free memory", func(ha *harness, _ *Request) {
			for _, id := range []string{"e0", "e1"} {
				en, _ := ha.Roster.View().Get(id)
				ha.Tracker.Begin(en, placement.Demand{Engine: ha.engine(), Prompt: 6000})
			}
		}},
		{"the zone of the copy has been evacuated", func(ha *harness, _ *Request) {
			for _, rp := range ha.replicas {
				rp.script = func(conn net.Conn, re *http.Request) {
					ha.Roster.SetEvacuatedZones([]string{"a"})
					events(1, 3, false)(conn, re)
				}
			}
		}},
		{"no other engine", func(ha *harness, _ *Request) { ha.Roster.Leave("e1") }},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, crashes, crashes)
			re := ha.longRequest()
			ca.prepare(ha, re)
			got, err := readEvents(ha.Serve(t.Context(), re))
			g.Expect(err).To(HaveOccurred())
			g.Expect(got).To(Equal(numbered(1, 3)))
			g.Expect(ha.received()).To(Equal(1))
		})
	}
}

// Scenario: an engine that keeps a standby copy restarts under the same ID and
// has lost the copy. The run must not be resumed there.
func TestRestartedStandbyHasNoCopy(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t)
	ha.addReplica("e0", nil)
	en := roster.Endpoint{ID: "e0", Service: "s", Started: 1}
	ha.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: "e0", Value: &en}}})
	se := &session{di: ha.Dispatcher, ta: &task{Request: ha.longRequest()}}
	se.demand = placement.Demand{Engine: ha.engine(), Prompt: 100, Output: 100}
	reserve := func() { se.standby = &standby{endpoint: en, ticket: ha.Tracker.Reserve(en, se.demand)} }
	reserve()
	restarted := en
	restarted.Started = 2
	ha.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: "e0", Value: &restarted}}})
	_, found := se.takeOver()
	g.Expect(found).To(BeFalse())
	en = restarted
	reserve()
	mv, found := se.takeOver()
	g.Expect(found).To(BeTrue())
	g.Expect(mv.Handle).To(Equal(se.ta.ID))
	_, found = se.takeOver()
	g.Expect(found).To(BeFalse(), "a copy is used only once")
}

// Guards against a run that works at two engines: a report that failed, as while its engine
// wants a pause, was taken for one without the run.
func TestReportThatFailsProvesNothing(t *testing.T) {
	for _, ca := range []struct {
		name      string
		err       error
		reachable bool
		want      string
	}{
		{"the engine has no such run", migration.ErrNoRun, true, numbered(1, 6)},
		{"the engine wants a pause", errors.New("paused"), true, numbered(1, 3)},
		{"the engine cannot be reached", errors.New("refused"), false, numbered(1, 6)},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, crashes, crashes)
			ha.Progress = func(context.Context, roster.Endpoint, string) (int, error) { return 0, ca.err }
			ha.Reachable = func(context.Context, string) bool { return ca.reachable }
			got, _ := readEvents(ha.Serve(t.Context(), ha.longRequest()))
			g.Expect(got).To(Equal(ca.want))
		})
	}
}

// threeEvents streams three events and leaves the stream open.
func threeEvents(conn net.Conn, re *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n", re.Header.Get("Id"))
	for ix := 1; ix <= 3; ix++ {
		chunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", ix))
	}
}

// silent streams three events and then nothing until the connection is closed.
// If the run is resumed from a copy, it streams the rest.
func silent(conn net.Conn, re *http.Request) {
	if re.Header.Get("From") != "" {
		events(4, 6, true)(conn, re)
		return
	}
	threeEvents(conn, re)
	_, _ = conn.Read(make([]byte, 1))
}

// dribbles streams three events and then one byte of another event now and then. If
// the run is resumed from a copy, it streams the rest.
func dribbles(conn net.Conn, re *http.Request) {
	if re.Header.Get("From") != "" {
		events(4, 6, true)(conn, re)
		return
	}
	threeEvents(conn, re)
	for range 40 {
		time.Sleep(stallTimeout / 4)
		if _, err := io.WriteString(conn, "1\r\ni\r\n"); err != nil {
			return
		}
	}
}

// Scenario: a zone is partitioned, and streams into or out of it stall. A
// stream is aborted only if its engine is also unreachable, because a preempted
// run pauses for as long.
func TestSilentStreams(t *testing.T) {
	for _, ca := range []struct {
		name, path string
		reachable  []bool
		want       string
	}{
		// Two examinations take 1.6 s, and a busy machine needs some time more.
		{"the engine is unreachable", "/long/", []bool{false, false}, numbered(1, 6)},
		{"one packet was lost", "/stream/", []bool{false, true}, numbered(1, 3)},
		{"the engine pauses", "/stream/", []bool{true}, numbered(1, 3)},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, silent, silent)
			var probes atomic.Int64
			ha.Reachable = func(context.Context, string) bool { return ca.reachable[min(int(probes.Add(1)), len(ca.reachable))-1] }
			re := ha.longRequest()
			re.Path, re.Target = ca.path, ca.path
			got, err := readEvents(ha.Serve(t.Context(), re))
			g.Expect(got).To(Equal(ca.want))
			g.Expect(err == nil).To(Equal(got == numbered(1, 6)))
			g.Expect(probes.Load()).To(BeNumerically(">=", len(ca.reachable)))
		})
	}
}

// oneMover is a Runs that moves a run at once from e0 to e1 or back, if it may.
type oneMover struct {
	ha          *harness
	fails       bool
	forcedMoves atomic.Int64
}

func (*oneMover) Add(*migration.Run) {}

func (*oneMover) Remove(*migration.Run) {}

func (*oneMover) Settle(context.Context, *migration.Run, string) migration.Fate {
	return migration.Gone
}

func (rc *oneMover) MoveOne(_ context.Context, ru *migration.Run) bool {
	rc.forcedMoves.Add(1)
	if rc.fails {
		return false
	}
	from, target := ru.Endpoint(), roster.Endpoint{}
	for _, id := range []string{"e0", "e1"} {
		if en, _ := rc.ha.Roster.View().Get(id); id != from.ID {
			target = en
		}
	}
	ru.Complete(migration.Moved{From: from, Handle: "h", Target: target, Ticket: rc.ha.Tracker.Begin(target, placement.Demand{})})
	return true
}

// Scenario: a student's stream stops while the engine says that it is sending.
// The engine is reachable over new connections; only its report tells whether it
// pauses or the connection went silent. The stream goes on within three seconds.
func TestSilentConnections(t *testing.T) {
	for _, ca := range []struct {
		name        string
		made        func(report int) (int, error)
		fails       bool
		want        string
		forcedMoves int
		script      func(net.Conn, *http.Request)
	}{
		{"the engine makes events", func(report int) (int, error) { return 10 * report, nil }, false, numbered(1, 6), 1, silent},
		{"the connection brings a byte now and then", func(report int) (int, error) { return 10 * report, nil }, false, numbered(1, 6), 1, dribbles},
		{"a slow engine sends a byte now and then", func(int) (int, error) { return 3, nil }, false, numbered(1, 3), 0, dribbles},
		{"the engine pauses", func(int) (int, error) { return 3, nil }, false, numbered(1, 3), 0, silent},
		{"the engine pauses first", func(report int) (int, error) { return max(3, report), nil }, false, numbered(1, 6), 1, silent},
		{"the engine has no such run", func(int) (int, error) { return 0, errors.New("no such run") }, false, numbered(1, 3), 0, silent},
		{"the run can't be moved", func(report int) (int, error) { return report, nil }, true, numbered(1, 3), maxForcedMoves, silent},
	} {
		t.Run(ca.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ha := newHarness(t, ca.script, ca.script)
			rc := &oneMover{ha: ha, fails: ca.fails}
			ha.Runs = rc
			ha.Reachable = func(context.Context, string) bool { return true }
			var reports atomic.Int64
			ha.Progress = func(context.Context, roster.Endpoint, string) (int, error) { return ca.made(int(reports.Add(1))) }
			re := ha.longRequest()
			re.Path, re.Target = "/long/", "/long/"
			begun := time.Now()
			got, err := readEvents(ha.Serve(t.Context(), re))
			g.Expect(got).To(Equal(ca.want))
			g.Expect(rc.forcedMoves.Load()).To(BeNumerically("==", ca.forcedMoves))
			g.Expect(err == nil).To(Equal(got == numbered(1, 6)))
			if err == nil && ca.name == "the engine makes events" {
				g.Expect(time.Since(begun)).To(BeNumerically("<", 3*time.Second))
			}
		})
	}
}

// Scenario: a sound engine falls silent for a while, with its whole machine, and goes on.
// Its run must not go on elsewhere at the same time.
func TestSilentEngineGoesOn(t *testing.T) {
	g := NewWithT(t)
	const silence = 1500 * time.Millisecond
	var silentUntil atomic.Int64
	goesOn := func(conn net.Conn, re *http.Request) {
		if re.Header.Get("From") != "" {
			events(4, 6, true)(conn, re)
			return
		}
		silentUntil.Store(time.Now().Add(silence).UnixNano())
		threeEvents(conn, re)
		time.Sleep(silence)
		for ix := 4; ix <= 6; ix++ {
			chunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", ix))
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	ha := newHarness(t, goesOn, goesOn)
	ha.Reachable = func(context.Context, string) bool {
		time.Sleep(100 * time.Millisecond)
		return time.Now().UnixNano() > silentUntil.Load()
	}
	re := ha.longRequest()
	re.Path, re.Target = "/long/", "/long/"
	got, err := readEvents(ha.Serve(t.Context(), re))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	g.Expect(ha.received()).To(Equal(1), "the run goes on where it was")
}

// A run whose engine had been unreachable for a time was not asked for when its stream
// broke later, though events had come again meanwhile.
func TestEngineThatAnswersAgainIsReachable(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t)
	ha.Reachable = func(context.Context, string) bool { return false }
	sw := &stallWatch{di: ha.Dispatcher, ctx: t.Context(), waiting: true}
	for range stallProbes {
		sw.isStalled()
	}
	g.Expect(sw.foundUnreachable()).To(BeTrue())
	sw.eventArrived()
	g.Expect(sw.foundUnreachable()).To(BeFalse())
}
