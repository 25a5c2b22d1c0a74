package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/spillover"
)

// Requests are held in their zone only where the settings have several.
func TestSpilloverNeedsZones(t *testing.T) {
	g := NewWithT(t)
	for count, active := range []bool{false, false, true} {
		gw := &Gateway{Settings: Settings{Zone: "a", ZoneCount: count}, Clock: clockwork.NewFakeClock(), metrics: metric.NewRoot()}
		g.Expect(gw.buildSpillover()).To(HaveLen(map[bool]int{true: 1}[active]))
		g.Expect(gw.tracker.Zones != nil).To(Equal(active))
		g.Expect(gw.metrics.Close()).To(Succeed())
	}
}

// The objective of a service is the shortest of its routes.
func TestServicesOfConfiguration(t *testing.T) {
	g := NewWithT(t)
	sl := &serviceList{state: &routing.State{}}
	g.Expect(sl.services()).To(BeEmpty())
	route := func(name, service string, objective time.Duration) routing.Route {
		return routing.Route{Name: name, Host: name, PathPrefix: "/", Objective: objective, Shares: []routing.Share{{Service: service, Weight: 1}}}
	}
	engine := &routing.Engine{Slots: 2}
	spec := routing.Spec{
		Version: 1, Services: []routing.Service{{Name: "s", Engine: engine}, {Name: "p"}},
		Routes: []routing.Route{route("r1", "s", 2*time.Second), route("r2", "s", time.Second), route("r3", "s", 0)},
	}
	sl.state.Put(routing.New(spec))
	g.Expect(sl.services()).To(ConsistOf(spillover.Service{Name: "s", Engine: engine, Objective: time.Second}, spillover.Service{Name: "p"}))
	spec.Version, spec.Services = 2, spec.Services[:1]
	sl.state.Put(routing.New(spec))
	g.Expect(sl.services()).To(HaveLen(1))
}
