package spillover

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/placement"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Whatever the loads do: a zone with sound endpoints borrows only from zones that do not
// borrow, that have room and where the wait is shorter, and its share changes by steps.
func TestBorrowersDoNotLend(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		sv := &service{zones: make(map[string]*zone), objective: time.Second}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 40).Draw(rt, "evaluations") {
			now = now.Add(evaluationInterval)
			before := make(map[string]zone)
			for name, zo := range sv.zones {
				before[name] = *zo
			}
			sv.update(drawLoads(rt), "a", now)
			for name, zo := range sv.zones {
				if zo.absent {
					g.Expect(zo.share).To(Equal(1.0))
					continue
				}
				g.Expect(zo.share).To(BeNumerically("<=", before[name].share+risePerSecond))
				for _, other := range zo.lenders {
					le := sv.zones[other]
					g.Expect(other).NotTo(Equal(name))
					g.Expect(before[other].share).To(BeZero())
					g.Expect(le.freeShare()).To(BeNumerically(">", lenderAllowance))
					g.Expect(zo.returning || before[name].returning || le.load.Wait < zo.load.Wait).To(BeTrue())
				}
			}
		}
	})
}

// drawLoads draws the loads of up to three zones.
func drawLoads(rt *rapid.T) []placement.ZoneLoad {
	var loads []placement.ZoneLoad
	for _, name := range []string{"a", "b", "c"} {
		if rapid.IntRange(0, 9).Draw(rt, "missing") == 0 {
			continue
		}
		loads = append(loads, placement.ZoneLoad{
			Zone: name, Sound: rapid.IntRange(0, 2).Draw(rt, "sound"), Wait: time.Duration(rapid.IntRange(0, 2000).Draw(rt, "wait")) * time.Millisecond,
			Running: rapid.IntRange(0, 30).Draw(rt, "running"), Slots: 24, Reachable: rapid.Bool().Draw(rt, "reachable"),
		})
	}
	return loads
}
