package dispatch

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
)

// outcomes records what a tracker tells of endpoints.
type outcomes struct{ list []string }

func (*outcomes) Begin(roster.Endpoint) {}

func (oc *outcomes) Record(en roster.Endpoint, ou placement.Outcome, _ time.Time) {
	if ou == placement.Abandoned {
		return // no sign
	}
	oc.list = append(oc.list, en.ID+" "+strconv.Itoa(int(ou)))
}

func (*outcomes) Standing(roster.Endpoint) placement.Standing { return placement.Sound }

// A stream is a success when it begins, once. Its end says nothing, unless it is broken.
func TestOutcomesOfStreams(t *testing.T) {
	g := NewWithT(t)
	for complete, want := range map[bool][]string{
		true:  {"e0 " + strconv.Itoa(int(placement.Done))},
		false: {"e0 " + strconv.Itoa(int(placement.Done)), "e0 " + strconv.Itoa(int(placement.Lost))},
	} {
		ha := newHarness(t, events(1, 3, complete))
		var oc outcomes
		ha.Tracker.Outliers = &oc
		_, err := readEvents(ha.send("/stream/x"))
		g.Expect(err == nil).To(Equal(complete))
		g.Expect(oc.list).To(Equal(want))
	}
}

// A run that goes on from its standby copy is a failure of the engine that lost it.
func TestOutcomesOfTakeover(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, crashes, crashes)
	var oc outcomes
	ha.Tracker.Outliers = &oc
	rp := ha.Serve(t.Context(), ha.longRequest())
	_, err := readEvents(rp)
	g.Expect(err).NotTo(HaveOccurred())
	first, second := "e0", "e1"
	if oc.list[0][:len(first)] != first {
		first, second = second, first
	}
	done, lost := " "+strconv.Itoa(int(placement.Done)), " "+strconv.Itoa(int(placement.Lost))
	g.Expect(oc.list).To(Equal([]string{first + done, first + lost, second + done}))
}

// All engines of the instance's own zone restart: a request tries two of them and is then
// served in another zone, within its four attempts.
func TestZoneThatRestarts(t *testing.T) {
	g := NewWithT(t)
	const dead = 6
	ha := newHarness(t, slices.Repeat([]func(net.Conn, *http.Request){succeeds}, dead)...)
	for _, rp := range ha.replicas {
		_ = rp.Close()
	}
	other := ha.addReplica("other", succeeds)
	en := roster.Endpoint{ID: other.id, Service: "s", Zone: "b", Address: other.Addr().String(), Slots: 4}
	ha.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: en.ID, Value: &en}}})
	var oc outcomes
	ha.Tracker.Outliers = &oc
	rp := ha.send("/post/x")
	g.Expect(rp.Status).To(Equal(http.StatusOK))
	g.Expect(oc.list).To(HaveLen(3), "two in the own zone, one in the other")
}

// Guards against failures, or signs that an endpoint works, for calls that were not sent: an
// engine that had asked for a pause counted as one that lost the run which was to go on there,
// and a refused permit ended the back-off of an endpoint that could not be reached.
func TestUnsentCallsAreNoSigns(t *testing.T) {
	g := NewWithT(t)
	ha, _, rp := resumingUnderLimit(t, paused(time.Hour, false))
	var oc outcomes
	ha.Tracker.Outliers = &oc
	_, err := readEvents(rp)
	g.Expect(err).To(HaveOccurred())
	g.Expect(oc.list).To(HaveLen(1), "only the engine that crashed")

	ha = newHarness(t, succeeds)
	clock := clockwork.NewFakeClock()
	ha.Tracker.Clock = clock
	ql := ha.limit(map[string]time.Duration{"e0": 0})
	ha.Gate.Limiter = advancingLimiter{ql, func() { ha.boot.Advance(time.Minute) }}
	ha.Tracker.RecordOutcome("e0", placement.Unreachable)
	clock.Advance(500 * time.Millisecond)
	g.Expect(reasonOf(ha.send("/post/x"))).To(Equal(refusal.RateLimited))
	ha.Gate.Limiter = ql
	ha.State.Confirm(ha.boot.Now())
	ha.Tracker.RecordOutcome("e0", placement.Unreachable)
	clock.Advance(500 * time.Millisecond)
	g.Expect(reasonOf(ha.send("/post/x"))).To(Equal(refusal.NoCapacity), "the second back-off is longer")
}

// Guards against a loss of an engine that stopped a run by order, to move it, and goes on with
// it since the move failed.
func TestRunThatStaysIsNotLost(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, crashes)
	en, _ := ha.Roster.View().Get("e0")
	ha.Runs = &moverOnce{harness: ha, target: en}
	var oc outcomes
	ha.Tracker.Outliers = &oc
	_, err := readEvents(ha.send("/stream/x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(oc.list).To(HaveEach("e0 " + strconv.Itoa(int(placement.Done))))
}

// Guards against a loss of an engine that rejected a run which was to go on there.
func TestEngineThatTurnsARunAwayHasNotLostIt(t *testing.T) {
	g := NewWithT(t)
	script := func(conn net.Conn, re *http.Request) {
		if re.Header.Get("From") != "" {
			busy(conn, re)
			return
		}
		crashes(conn, re)
	}
	ha := newHarness(t, script, script)
	ha.preferInOrder()
	var oc outcomes
	ha.Tracker.Outliers = &oc
	_, err := readEvents(ha.Serve(t.Context(), ha.longRequest()))
	g.Expect(err).To(HaveOccurred())
	g.Expect(oc.list).To(ContainElement("e1 " + strconv.Itoa(int(placement.Refused))))
	g.Expect(oc.list).NotTo(ContainElement("e1 " + strconv.Itoa(int(placement.Lost))))
}
