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

// Reports pass a datagram unchanged, and no bytes are taken for one with a share that is
// none.
func TestReportsInDatagrams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		number := func() uint32 { return rapid.Uint32().Draw(rt, "number") }
		text := func() string { return rapid.String().Draw(rt, "text") }
		re := rollout.Report{
			Service: text(), Target: text(), Boot: rapid.Uint64().Draw(rt, "boot"), Sequence: rapid.Uint64().Draw(rt, "sequence"), Age: time.Duration(number()) * time.Microsecond,
			Verdict: rollout.RolledBack, Evaluator: rapid.Bool().Draw(rt, "evaluator"), Share: rapid.Float64Range(0, 1).Draw(rt, "share"),
			SentOld: number(), SentNew: number(), CrashedOld: []string{text()}, CrashedNew: []string{text(), text()},
		}
		ro := rollout.Row{Route: text(), Endpoint: text(), Totals: rollout.Totals{Answers: number(), Failures: number()}}
		ro.Totals.Latency[rapid.IntRange(0, rollout.LatencyBuckets-1).Draw(rt, "bucket")] = number()
		re.Rows = []rollout.Row{ro, ro}
		data := encodeReport("i1", re)
		g.Expect(isReport(data)).To(BeTrue())
		instance, got, err := decodeReport(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(instance).To(Equal("i1"))
		g.Expect(got).To(Equal(re))
		_, _, err = decodeReport(data[:rapid.IntRange(0, len(data)-1).Draw(rt, "cut")])
		g.Expect(err).To(MatchError(ErrMalformed))
		_, _, err = decodeReport(encodeReport("i1", rollout.Report{Service: "s", Share: rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1, 1.5}).Draw(rt, "bad")}))
		g.Expect(err).To(MatchError(ErrMalformed))
	})
}

// reporter is a Rollouts with fixed reports, and a Conn that counts datagrams.
type reporter struct {
	Conn
	list    []rollout.Report
	changed bool
	sent    map[netip.AddrPort]int
}

func (re *reporter) Changed() (list []rollout.Report, unsent bool) { return re.list, re.changed }
func (re *reporter) Merge(string, []rollout.Report)                {}
func (re *reporter) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	re.sent[to]++
	return len(data), nil
}

// Reports go to the evaluators at a rate that falls with the number of instances; what
// an evaluator reports, and what was found bad, goes to all, the latter at once.
func TestRateOfReports(t *testing.T) {
	const seconds = 10
	for _, ca := range []struct{ instances, most int }{{6, 100}, {95, 40}, {340, 15}} {
		g := NewWithT(t)
		var list []Member
		for ix := range ca.instances {
			list = append(list, Member{Name: string(rune('A' + ix)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(ix >> 8), byte(ix)}), 1)})
		}
		members := &Members{}
		members.Set(list)
		clock, re := clockwork.NewFakeClock(), &reporter{list: []rollout.Report{{Service: "s", Target: "v2"}}, sent: make(map[netip.AddrPort]int)}
		ex := &Exchange{Conn: re, Instance: list[0].Name, Members: members, Rollouts: re, Clock: clock}
		send := func(changed bool) int {
			re.changed = changed
			before := re.sent[list[1].Address]
			for range seconds * 50 {
				ex.SendReports(func(string) []Member { return list[:2] })
				clock.Advance(20 * time.Millisecond)
			}
			return re.sent[list[1].Address] - before
		}
		g.Expect(send(true)).To(And(BeNumerically(">=", seconds-1), BeNumerically("<=", ca.most)))
		g.Expect(send(false)).To(BeNumerically("~", seconds, 1), "repeated without changes")
		g.Expect(re.sent).To(HaveLen(1), "only to the other evaluator")
		re.list[0].Verdict = rollout.RolledBack
		ex.SendReports(nil)
		g.Expect(re.sent).To(HaveLen(ca.instances-1), "at once to all")
	}
}
