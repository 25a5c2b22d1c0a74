package outlier

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// An engine that fails at once looks idle and draws the next requests of its zone. It loses
// those of the first message's way and failuresInRow ones, not all.
func TestEngineThatFailsFast(t *testing.T) {
	forEachSize(t, func(g Gomega, instances int) {
		fl := newFleet(instances, 12, 0)
		loses := func(en roster.Endpoint) bool { return en.ID == engineID(0) }
		g.Expect(fl.run(450*time.Millisecond, loses)).To(BeNumerically("<=", failuresInRow+1))
		if instances < 95 {
			return // each of them soon avoids the engine by its own failures
		}
		fl = newFleet(instances, 12, 0)
		for _, no := range fl.nodes {
			no.lt.Outliers = nil
		}
		g.Expect(fl.run(450*time.Millisecond, loses)).To(BeNumerically(">=", 3*(failuresInRow+1)), "the pattern would draw requests")
	})
}

// An engine that goes down and up by turns loses few requests each time, and gets requests
// again while it is up.
func TestFlappingEngine(t *testing.T) {
	forEachSize(t, func(g Gomega, instances int) {
		fl := newFleet(instances, 12, 0)
		loses := func(en roster.Endpoint) bool { return en.ID == engineID(0) }
		for range 2 {
			g.Expect(fl.run(1300*time.Millisecond, loses)).To(BeNumerically("<=", failuresInRow+3), "the first ones and those of probes")
			fl.run(3*time.Second, never)
			g.Expect(fl.setAside(0)).To(BeZero())
		}
	})
}

// An engine that stays down gets few probes in the whole fleet, and fewer and fewer.
func TestProbes(t *testing.T) {
	forEachSize(t, func(g Gomega, instances int) {
		fl := newFleet(instances, 12, 0)
		loses := func(en roster.Endpoint) bool { return en.ID == engineID(0) }
		fl.run(time.Second/2, loses)
		g.Expect(fl.run(15*time.Second, loses)).To(BeNumerically("<=", 2*7), "windows after 0.25, 0.5, 1, 2, 4 and 8 s; a second probe may be on its way")
	})
}

// The first success ends the ejection at all instances, and a restarted process has none.
func TestReturn(t *testing.T) {
	forEachSize(t, func(g Gomega, instances int) {
		fl := newFleet(instances, 12, 0)
		fl.eject(0)
		g.Expect(fl.setAside(0)).To(Equal(instances))
		fl.nodes[0].de.Record(fl.engine(0), placement.Done, fl.clock.Now().Add(-time.Second))
		g.Expect(fl.setAside(0)).To(Equal(instances), "the request was under way before")
		fl.nodes[0].de.Record(fl.engine(0), placement.Done, fl.clock.Now())
		fl.wait()
		g.Expect(fl.setAside(0)).To(BeZero())
		fl.eject(0)
		g.Expect(fl.setAside(0)).To(Equal(instances))
		fl.register(0, 2)
		g.Expect(fl.setAside(0)).To(BeZero())
	})
}

// If all endpoints of a service, or of a zone, fail alike, the cause is elsewhere: no more
// than the bounds are set aside, and in the end none.
func TestAllFailingAlike(t *testing.T) {
	forEachSize(t, func(g Gomega, instances int) {
		for name, loses := range map[string]func(roster.Endpoint) bool{
			"service": func(roster.Endpoint) bool { return true },
			"zone":    func(en roster.Endpoint) bool { return en.Zone == "b" },
		} {
			fl := newFleet(instances, 12)
			fl.run(time.Second, loses)
			for _, no := range fl.nodes {
				g.Expect(fl.setAsideBy(no)).To(BeNumerically("<=", 12*maxShare), name)
			}
			for ix := range 12 {
				if loses(fl.engine(ix)) {
					fl.eject(ix)
				}
			}
			for _, no := range fl.nodes {
				g.Expect(fl.setAsideBy(no)).To(BeZero(), name)
			}
		}
	})
}

// A replica that fails half of its requests gets less than half of its share.
func TestGreyReplicaBesideHealthyOnes(t *testing.T) {
	forEachSize(t, func(g Gomega, instances int) {
		fl := newFleet(instances, 6)
		turn := 0
		fails := func(en roster.Endpoint) bool {
			if en.ID != engineID(0) {
				return false
			}
			turn++
			return turn%2 == 0
		}
		const seconds = 10
		fl.run(seconds*time.Second, fails)
		g.Expect(turn).To(BeNumerically("<", seconds*int(time.Second/tick)/6/2))
		for ix := 1; ix < 6; ix++ {
			g.Expect(fl.setAside(ix)).To(BeZero())
		}
	})
}

// What one instance that lost its links sees does not decide for the others, nor do several
// in one zone for the rest.
func TestLostLinks(t *testing.T) {
	forEachSize(t, func(g Gomega, instances int) {
		for name, isCut := range map[string]func(*node) bool{
			"one instance": func(no *node) bool { return no.de.Instance == "i0" },
			"a zone":       func(no *node) bool { return no.de.Zone == "a" },
		} {
			fl := newFleet(instances, 12)
			for _, no := range fl.nodes {
				if isCut(no) {
					no.isCut = func(en roster.Endpoint) bool { return en.Zone != "a" }
				}
			}
			for range 60 {
				fl.sent += 7
				for _, no := range []*node{fl.nodes[0], fl.nodes[fl.sent%instances]} {
					fl.sendToAll(no)
				}
				fl.step()
			}
			for _, no := range fl.nodes {
				for ix := range 12 {
					if !isCut(no) {
						g.Expect(no.de.Standing(fl.engine(ix))).NotTo(Equal(placement.SetAside), name)
					}
				}
			}
		}
	})
}
