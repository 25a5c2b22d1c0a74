package loadshare

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/rollout"
)

// Reports pass a datagram unchanged, and no bytes are taken for one with a share or a
// state that is none.
func TestReportsInDatagrams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		re := rollout.Report{
			Service: rapid.String().Draw(rt, "service"), Target: rapid.String().Draw(rt, "target"), Boot: rapid.Uint64().Draw(rt, "boot"), Sequence: rapid.Uint64().Draw(rt, "sequence"),
			Age: time.Duration(rapid.Int64Range(0, maxCount).Draw(rt, "age")) * time.Microsecond, Verdict: rollout.State(rapid.IntRange(0, int(rollout.RolledBack)).Draw(rt, "verdict")),
			Evaluator: rapid.Bool().Draw(rt, "evaluator"), Share: rapid.Float64Range(0, 1).Draw(rt, "share"), SentOld: rapid.Uint32().Draw(rt, "old"), SentNew: rapid.Uint32().Draw(rt, "new"),
		}
		if rapid.Bool().Draw(rt, "crashes") {
			re.CrashedOld, re.CrashedNew = []string{"e1/1"}, []string{rapid.String().Draw(rt, "crashed"), "e2/1"}
		}
		for range rapid.IntRange(0, 3).Draw(rt, "rows") {
			ro := rollout.Row{Route: rapid.String().Draw(rt, "route"), Endpoint: rapid.String().Draw(rt, "endpoint")}
			ro.Totals.Answers, ro.Totals.Failures = rapid.Uint32().Draw(rt, "answers"), rapid.Uint32().Draw(rt, "failures")
			ro.Totals.Latency[rapid.IntRange(0, rollout.LatencyBuckets-1).Draw(rt, "bucket")] = rapid.Uint32().Draw(rt, "count")
			re.Rows = append(re.Rows, ro)
		}
		data := encodeReport("i1", re)
		g.Expect(isReport(data)).To(BeTrue())
		instance, got, err := decodeReport(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(instance).To(Equal("i1"))
		g.Expect(got).To(Equal(re))
		_, _, err = decodeReport(data[:rapid.IntRange(0, len(data)-1).Draw(rt, "cut")])
		g.Expect(err).To(MatchError(ErrMalformed))
	})
	g := NewWithT(t)
	for _, share := range []float64{math.NaN(), math.Inf(1), -1, 1.5} {
		_, _, err := decodeReport(encodeReport("i1", rollout.Report{Service: "s", Share: share}))
		g.Expect(err).To(MatchError(ErrMalformed))
	}
}

// reporter is a Rollouts with fixed reports.
type reporter struct {
	list    []rollout.Report
	changed bool
}

func (re *reporter) Changed() (list []rollout.Report, unsent bool) { return re.list, re.changed }
func (re *reporter) Merge(string, []rollout.Report)                {}

// recordingConn counts the datagrams to each address.
type recordingConn struct {
	Conn
	sent map[netip.AddrPort]int
}

func (rc *recordingConn) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	rc.sent[to]++
	return len(data), nil
}

// Reports go to the evaluators at a rate that falls with the number of instances; what
// an evaluator says, and what was found bad, goes to all, the latter at once.
func TestRateOfReports(t *testing.T) {
	const span = 10 * time.Second
	for _, ca := range []struct {
		instances, most int
	}{{6, 100}, {95, 40}, {340, 15}} {
		g := NewWithT(t)
		var list []Member
		for ix := range ca.instances {
			list = append(list, Member{Name: string(rune('A' + ix)), Zone: "a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(ix >> 8), byte(ix)}), 1)})
		}
		members := &Members{}
		members.Set(list)
		clock, conn, re := clockwork.NewFakeClock(), &recordingConn{sent: make(map[netip.AddrPort]int)}, &reporter{list: []rollout.Report{{Service: "s", Target: "v2"}}, changed: true}
		ex := &Exchange{Conn: conn, Instance: list[0].Name, Zone: "a", Members: members, Rollouts: re, Clock: clock}
		evaluators := func(string) []Member { return list[:2] }
		run := func(span time.Duration) {
			for passed := time.Duration(0); passed < span; passed += 20 * time.Millisecond {
				ex.SendReports(evaluators)
				clock.Advance(20 * time.Millisecond)
			}
		}
		run(span)
		g.Expect(conn.sent).To(HaveLen(1), "only to the other evaluator")
		g.Expect(conn.sent[list[1].Address]).To(BeNumerically("<=", ca.most))
		g.Expect(conn.sent[list[1].Address]).To(BeNumerically(">=", int(span/heartbeat)-1))
		re.changed = false
		before := conn.sent[list[1].Address]
		run(span)
		g.Expect(conn.sent[list[1].Address]-before).To(BeNumerically("~", int(span/heartbeat), 1), "repeated without changes")
		ex.SendReports(evaluators)
		conn.sent = make(map[netip.AddrPort]int)
		re.list[0].Verdict = rollout.RolledBack
		ex.SendReports(evaluators)
		g.Expect(conn.sent).To(HaveLen(ca.instances-1), "at once to all")
	}
}
