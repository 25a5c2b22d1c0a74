package spillover

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/placement"
)

// forFleets runs a test with fleets of different sizes and the same engines.
func forFleets(t *testing.T, test func(g *WithT, newFleet func() *fleet, each float64)) {
	t.Helper()
	for _, ca := range []struct {
		instances int
		engines   []int
	}{{6, []int{2, 2, 2}}, {95, []int{19, 19, 18}}, {340, []int{19, 19, 18}}} {
		t.Run(fmt.Sprint(ca.instances, " instances"), func(t *testing.T) {
			t.Parallel()
			test(NewWithT(t), func() *fleet { return newFleet(ca.instances, ca.engines...) }, float64(ca.engines[0]))
		})
	}
}

// withoutZones lets each instance choose by fixed costs.
func (fl *fleet) withoutZones() *fleet {
	for _, in := range fl.instances {
		in.tracker.Zones = nil
	}
	return fl
}

// A rush in one zone while the others are idle: a share leaves, not all, and not at once;
// the callers of the zones that lend are served as without it.
func TestRushInOneZone(t *testing.T) {
	forFleets(t, func(g *WithT, newFleet func() *fleet, each float64) {
		play := func(fl *fleet) *fleet {
			fl.play(3*time.Second, each, each/2, each/2)
			fl.reset()
			fl.play(10*time.Second, 3*each, each/2, each/2)
			return fl
		}
		fl, before := play(newFleet()), play(newFleet().withoutZones())
		g.Expect(fl.left("a")).To(And(BeNumerically(">", 0.1), BeNumerically("<", 0.9)))
		for _, share := range fl.shares["a"][:10] {
			g.Expect(share).To(BeNumerically("<=", risePerSecond), "after at most a second")
		}
		g.Expect(fl.turns("a", 0.5)).To(BeNumerically("<=", 2))
		for _, zone := range []string{"b", "c"} {
			g.Expect(fl.left(zone)).To(BeNumerically("<", 0.02), zone)
			g.Expect(fl.served(zone)).To(BeNumerically(">=", before.served(zone)), zone)
		}
		g.Expect(fl.served("a")).To(BeNumerically(">=", 0.99))
	})
}

// All zones are full: no request leaves.
func TestAllZonesFull(t *testing.T) {
	forFleets(t, func(g *WithT, newFleet func() *fleet, each float64) {
		fl := newFleet()
		fl.play(10*time.Second, 4*each, 4*each, 4*each)
		for _, zone := range fl.zones {
			g.Expect(fl.left(zone)).To(BeNumerically("<", 0.02), zone)
		}
	})
}

// Two zones have a rush at once: both use the third, neither the other.
func TestTwoZonesRush(t *testing.T) {
	forFleets(t, func(g *WithT, newFleet func() *fleet, each float64) {
		fl := newFleet()
		fl.play(3*time.Second, each, each, each/2)
		fl.reset()
		fl.play(10*time.Second, 2.5*each, 2.5*each, each/3)
		g.Expect(fl.sent[[2]string{"a", "c"}] + fl.sent[[2]string{"b", "c"}]).To(BeNumerically(">", 0))
		g.Expect(fl.sent[[2]string{"a", "b"}] + fl.sent[[2]string{"b", "a"}]).To(BeNumerically("<=", (fl.total["a"]+fl.total["b"])/50))
		g.Expect(fl.left("c")).To(BeNumerically("<", 0.02))
		g.Expect(fl.served("c")).To(BeNumerically(">=", 0.99))
	})
}

// A zone has no endpoints: its requests leave at once and are served.
func TestZoneWithoutEndpoints(t *testing.T) {
	forFleets(t, func(g *WithT, newFleet func() *fleet, each float64) {
		fl := newFleet()
		fl.play(2*time.Second, each, each, each)
		fl.reset()
		fl.down["a"] = true
		fl.play(5*time.Second, each, each, each)
		g.Expect(fl.left("a")).To(Equal(1.0))
		g.Expect(fl.served("a")).To(BeNumerically(">=", 0.99))
		g.Expect(fl.left("b") + fl.left("c")).To(BeNumerically("<", 0.02))
	})
}

// A zone is cut off while it has a rush: each instance finds out by one attempt for each
// time in which a failed path is remembered, and everything is served in the zone.
func TestZoneCutOff(t *testing.T) {
	forFleets(t, func(g *WithT, newFleet func() *fleet, each float64) {
		fl := newFleet()
		fl.cut["a"] = true
		fl.play(10*time.Second, 3*each, each/2, each/2)
		g.Expect(fl.left("a")).To(BeZero())
		g.Expect(fl.left("b") + fl.left("c")).To(BeNumerically("<", 0.02))
		g.Expect(fl.unreachable).To(BeNumerically("<=", len(fl.instances)/3*6))
	})
}

// The endpoints of a zone come back: its requests return over seconds, not at once.
func TestColdReturn(t *testing.T) {
	forFleets(t, func(g *WithT, newFleet func() *fleet, each float64) {
		fl := newFleet()
		fl.play(time.Second, each, each, each)
		fl.down["a"] = true
		fl.play(3*time.Second, each, each, each)
		delete(fl.down, "a")
		fl.reset()
		fl.play(time.Second, each, each, each)
		g.Expect(fl.left("a")).To(BeNumerically(">", 0.4))
		fl.play(7*time.Second, each, each, each)
		fl.reset()
		fl.play(5*time.Second, each, each, each)
		g.Expect(fl.left("a")).To(BeNumerically("<", 0.05))
		g.Expect(fl.served("a")).To(BeNumerically(">=", 0.99))
	})
}

// The engines of one zone are 1.3 times slower: its share doesn't swing, and the
// callers of all zones are served.
func TestUnevenZones(t *testing.T) {
	forFleets(t, func(g *WithT, newFleet func() *fleet, each float64) {
		fl := newFleet()
		fl.slow["c"] = 1.3
		fl.play(12*time.Second, 1.3*each, 1.3*each, 1.3*each)
		g.Expect(fl.turns("c", 0.5)).To(BeNumerically("<=", 2))
		g.Expect(fl.left("a") + fl.left("b")).To(BeNumerically("<", 0.04))
		for _, zone := range fl.zones {
			g.Expect(fl.served(zone)).To(BeNumerically(">=", 0.98), zone)
		}
	})
}

// A rush at the one endpoint of a plain service in a zone: more callers are served in
// time than if they all stayed, and those of the other zones are served.
func TestRushAtPlainService(t *testing.T) {
	for _, instances := range []int{6, 95, 340} {
		for _, work := range []time.Duration{15 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(fmt.Sprint(instances, " instances, ", work), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				fl := newFleet(instances, 1, 1, 1).withPlain(work)
				bears := 6 / work.Seconds()
				fl.play(2*time.Second, 0.2*bears, 0.2*bears, 0.2*bears)
				g.Expect(fl.left("a")).To(BeNumerically("<", 0.02))
				fl.reset()
				fl.play(8*time.Second, 1.5*bears, 0.2*bears, 0.2*bears)
				g.Expect(fl.served("a")).To(BeNumerically(">", 0.5))
				g.Expect(fl.served("b") + fl.served("c")).To(BeNumerically(">=", 1.98))
			})
		}
	}
}

// Two instances that know the same decide alike on the same request.
func TestInstancesAgree(t *testing.T) {
	g := NewWithT(t)
	fl := newFleet(1, 1, 1, 1)
	loads := func(string, placement.Demand) []placement.ZoneLoad {
		return []placement.ZoneLoad{{Zone: "a", Sound: 1, Wait: 700 * time.Millisecond, Running: 24, Slots: 24}, {Zone: "b", Sound: 1, Slots: 24, Reachable: true}}
	}
	newController := func() *Controller {
		co := &Controller{Zone: "a", Services: func() []Service { return []Service{{Name: "s", Objective: simObjective}} }, Loads: loads, Clock: fl.clock, Log: zerolog.Nop()}
		for range 20 {
			fl.clock.Advance(evaluationInterval)
			co.evaluate()
		}
		return co
	}
	first, second := newController(), newController()
	left := 0
	for ix := range 1000 {
		dm := placement.Demand{Service: "s", Request: fmt.Sprint(ix)}
		ad := first.Admit(dm, "a")
		g.Expect(second.Admit(dm, "a")).To(Equal(ad))
		if ad.Leaves {
			left++
		}
	}
	g.Expect(left).To(BeNumerically("~", 430, 50), "three quarters of as many slots")
}

func TestShortAnswersLeaveFirst(t *testing.T) {
	g := NewWithT(t)
	sv := &service{typical: placement.Demand{Output: 100}}
	for _, ca := range []struct{ share, short, long float64 }{{0.2, 0.4, 0}, {0.5, 1, 0}, {0.75, 1, 0.5}, {1, 1, 1}} {
		g.Expect(sv.shareFor(ca.share, placement.Demand{Engine: simEngine, Output: 10})).To(BeNumerically(">=", ca.short))
		g.Expect(max(sv.shareFor(ca.share, placement.Demand{Engine: simEngine, Output: 400}), 0)).To(Equal(ca.long))
		g.Expect(sv.shareFor(ca.share, placement.Demand{})).To(Equal(ca.share))
	}
}

// In a zone with few instances, each weighs single endpoints by itself.
func TestZoneWithFewInstances(t *testing.T) {
	g := NewWithT(t)
	count := minInstances - 1
	co := &Controller{
		Zone: "a", Services: func() []Service { return nil }, Instances: func() int { return count }, Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(),
	}
	co.evaluate()
	g.Expect(co.Active()).To(BeFalse())
	count++
	co.evaluate()
	g.Expect(co.Active()).To(BeTrue())
}
