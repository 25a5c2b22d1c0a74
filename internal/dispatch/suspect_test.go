package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// suspecting lets a harness record crashes. Its endpoints are unreachable once they
// have got a request.
func (ha *harness) suspecting() *suspicion.Registry {
	re := &suspicion.Registry{Clock: ha.Clock, Peers: func() []string { return nil }}
	ha.Suspects = re
	ha.Reachable = func(_ context.Context, address string) bool {
		for _, rp := range ha.replicas {
			if rp.Addr().String() == address {
				return rp.requestCount() == 0
			}
		}
		return false
	}
	return re
}

// withPart returns a long request with a part in its prompt that others have, too.
func (ha *harness) withPart(id string) *Request {
	re := ha.longRequest()
	re.Body = []byte(re.ID)
	re.Prompt.Parts = []Part{{ID: id, Tokens: 10}, {ID: "own-" + re.ID, Tokens: 90}}
	return re
}

// crashesOf records crashes under requests with a part, seconds apart.
func (ha *harness) crashesOf(re *suspicion.Registry, version, id string, count int) {
	var list []suspicion.AgedLoss
	for ix := range count {
		list = append(list, suspicion.AgedLoss{Endpoint: "gone-" + strconv.Itoa(ix), Age: time.Duration(ix) * time.Second})
	}
	re.Merge([]suspicion.Case{{Fingerprint: suspicion.SharedPart("s", version, id).Hash, Kind: suspicion.KindPart, Losses: list}})
}

// Guards against the repetition of a crash by its own run: a run that crashed its engine
// as it began was resumed from its standby copy and crashed that engine, too, up to 16
// times.
func TestRunThatCrashesItsEngineIsResumedOnce(t *testing.T) {
	g := NewWithT(t)
	begins := events(1, 0, false)
	ha := newHarness(t, begins, begins, begins, begins)
	ha.suspecting()
	_, err := readEvents(ha.Serve(t.Context(), ha.withPart("bad")))
	g.Expect(err).To(HaveOccurred())
	g.Expect(ha.received()).To(Equal(2), "it goes on once, since it may be sound")

	ha = newHarness(t, begins, begins, begins, begins)
	re := ha.suspecting()
	ha.crashesOf(re, "", "bad", 1)
	_, err = readEvents(ha.Serve(t.Context(), ha.withPart("bad")))
	g.Expect(err).To(HaveOccurred())
	g.Expect(ha.received()).To(Equal(1), "another request with the part had crashed an engine before")
}

// Guards against a run that crashes one engine after the other, since it counted as proven with
// its first event at the second: the time at the first one counted.
func TestRunIsProvenAtOneEngine(t *testing.T) {
	g := NewWithT(t)
	script := func(conn net.Conn, re *http.Request) {
		if re.Header.Get("From") != "" {
			events(1, 1, false)(conn, re)
			return
		}
		events(1, 0, false)(lateClose{conn}, re)
	}
	ha := newHarness(t, script, script, script, script)
	ha.suspecting()
	_, err := readEvents(ha.Serve(t.Context(), ha.withPart("bad")))
	g.Expect(err).To(HaveOccurred())
	g.Expect(ha.received()).To(Equal(2), "it goes on once, since it may be sound")
}

// lateClose is a connection of an engine that crashes after a while.
type lateClose struct{ net.Conn }

func (lc lateClose) Close() error {
	time.Sleep(provenAfter)
	return lc.Conn.Close()
}

// A run that had made events for a while does not count as the cause of a crash of its
// engine by a part of its prompt.
func TestProvenRunsClearTheirParts(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t)
	re := ha.suspecting()
	ha.crashesOf(re, "", "shared", 2)
	rq := ha.withPart("shared")
	ta := &task{Request: rq}
	ta.service.Name = "s"
	se := &session{di: ha.Dispatcher, ta: ta, beganAt: ha.Clock.Now()}
	se.checkProven()
	g.Expect(re.Judge(suspicion.SharedPart("s", "", "shared")).Crashes).To(Equal(2))
	g.Expect(se.crashFeatures()).To(HaveLen(2))
	se.beganAt = se.beganAt.Add(-provenAfter)
	se.checkProven()
	g.Expect(re.Judge(suspicion.SharedPart("s", "", "shared")).Crashes).To(BeZero())
	g.Expect(se.crashFeatures()).To(HaveLen(1), "only the request as a whole")
}

// Requests with a guilty part are refused at once, as not run, unless there are
// endpoints with a version of the software for which it isn't.
func TestRequestsWithGuiltyParts(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, events(1, 6, true), events(1, 6, true))
	re := ha.suspecting()
	ha.crashesOf(re, "", "bad", 3)
	rp := ha.Serve(t.Context(), ha.withPart("bad"))
	g.Expect(reasonOf(rp)).To(Equal(refusal.NotSentSuspect))
	g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.NotRun))
	g.Expect(ha.received()).To(BeZero())
	_, err := readEvents(ha.Serve(t.Context(), ha.withPart("harmless")))
	g.Expect(err).NotTo(HaveOccurred())

	en, _ := ha.Roster.View().Get("e1")
	en.Version = "v2"
	ha.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: "e1", Value: &en}}})
	before := ha.replicas[1].requestCount()
	for range 5 {
		_, err = readEvents(ha.Serve(t.Context(), ha.withPart("bad")))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(ha.replicas[1].requestCount()).To(Equal(before + 5))
}

// oneByOne gives out turns with given waits, and none beyond them.
type oneByOne struct{ waits []time.Duration }

func (ob *oneByOne) Take(_ context.Context, _ suspicion.Feature, maxWait time.Duration) (time.Duration, bool) {
	if len(ob.waits) == 0 || ob.waits[0] > maxWait {
		return time.Second, false
	}
	wait := ob.waits[0]
	ob.waits = ob.waits[1:]
	return wait, true
}

// Requests with a suspected part go one by one. Those that can't have a turn in time
// are refused at once, with the time after which there may be one.
func TestSuspectsTakeTurns(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, events(1, 6, true))
	re := ha.suspecting()
	tu := &oneByOne{waits: []time.Duration{0}}
	ha.Turns = tu
	ha.crashesOf(re, "", "perhaps", 1)
	_, err := readEvents(ha.Serve(t.Context(), ha.withPart("perhaps")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tu.waits).To(BeEmpty())
	g.Expect(re.Judge(suspicion.SharedPart("s", "", "perhaps")).Verdict).To(Equal(suspicion.Clear), "it completed")

	ha.crashesOf(re, "", "other", 1)
	begun := ha.Clock.Now()
	rp := ha.Serve(t.Context(), ha.withPart("other"))
	g.Expect(reasonOf(rp)).To(Equal(refusal.NotSentSuspect))
	g.Expect(rp.Refusal.Rule().RetryAfter).To(BeNumerically(">=", time.Second))
	g.Expect(ha.Clock.Since(begun)).To(BeNumerically("<", time.Second))
	g.Expect(ha.received()).To(Equal(1))
}

// Guards against requests that are sent without a turn: a part of the prompt became suspected
// while the request waited for something else, or is so only at the version that was chosen.
// A turn that was not used is kept.
func TestRequestsThatWaitedTakeTurns(t *testing.T) {
	const part = "perhaps"
	for _, ca := range []struct {
		name    string
		prepare func(ha *harness, crashes func(version string))
	}{
		{"wait for an engine", func(ha *harness, crashes func(string)) {
			ha.Reserver = waiting{during: func() { crashes("") }, granted: "e0"}
		}},
		{"wait at a limit", func(ha *harness, crashes func(string)) {
			wait := 5 * time.Millisecond
			ha.Gate.Limiter = changedLimiter{ha.limit(map[string]time.Duration{"e0": wait, "e1": wait}), func(roster.Endpoint) { crashes("") }}
		}},
		{"another version", func(ha *harness, crashes func(string)) {
			en, _ := ha.Roster.View().Get("e1")
			en.Version = "v2"
			ha.restart(en)
			crashes("v2")
			ha.Reserver = waiting{during: func() {}, granted: "e1"}
		}},
		{"permit that expires", func(ha *harness, crashes func(string)) {
			crashes("")
			asked := 0
			ha.Gate.Limiter = changedLimiter{ha.limit(map[string]time.Duration{"e0": 0, "e1": 0}), func(roster.Endpoint) {
				if asked++; asked == 1 {
					ha.boot.Advance(time.Minute)
				}
			}}
		}},
	} {
		for turns := range 2 {
			t.Run(fmt.Sprint(ca.name, ", turns ", turns), func(t *testing.T) {
				g := NewWithT(t)
				ha := newHarness(t, events(1, 6, true), events(1, 6, true))
				re, cs := ha.suspecting(), &countedSlots{}
				tu := &oneByOne{waits: make([]time.Duration, turns)}
				ha.Turns, ha.Gate.Slots = tu, cs
				ca.prepare(ha, func(version string) { ha.crashesOf(re, version, part, 1) })
				rp := ha.Serve(t.Context(), ha.withPart(part))
				if turns == 0 {
					g.Expect(reasonOf(rp)).To(Equal(refusal.NotSentSuspect))
					g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.NotRun))
				} else {
					g.Expect(reasonOf(rp)).To(BeEmpty())
					_, err := readEvents(rp)
					g.Expect(err).NotTo(HaveOccurred())
				}
				g.Expect(ha.received()).To(Equal(turns))
				g.Expect(tu.waits).To(BeEmpty())
				g.Expect(ha.Tracker.Loads()).To(BeEmpty(), "neither the request nor its standby copy holds memory")
				g.Expect(cs.ended.Load()).To(Equal(cs.entered.Load()))
			})
		}
	}
}

// A lost link looks like a crash of the endpoint. An instance that reaches no other
// endpoint of the service either had recorded crashes of sound ones, against any feature that
// it had sent there.
func TestLostLinksAreNoCrashes(t *testing.T) {
	for _, ca := range []struct {
		name      string
		reachable func(address string, lost string) bool
		crashed   bool
	}{
		{"only this endpoint", func(address, lost string) bool { return address != lost }, true},
		{"no endpoint", func(string, string) bool { return false }, false},
		{"none at all, but the connection broke", func(string, string) bool { return true }, false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, succeeds, succeeds, succeeds)
			re := ha.suspecting()
			lost, _ := ha.Roster.View().Get("e1")
			ha.Reachable = func(_ context.Context, address string) bool { return ca.reachable(address, lost.Address) }
			ta := &task{Request: ha.withPart("p")}
			ta.service.Name = "s"
			g.Expect(ha.detectCrash(ta, lost, ta.parts(""))).To(Equal(ca.crashed))
			g.Expect(re.HasSuspects()).To(Equal(ca.crashed))
		})
	}
}
