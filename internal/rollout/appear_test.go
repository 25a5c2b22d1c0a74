package rollout

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

// Guards against requests that are refused on a day without a restart: while the target of
// an order was the only version that ran, an endpoint of another one started, and most
// requests went nowhere until the list of orders was confirmed.
func TestVersionThatAppearsBesideTheTarget(t *testing.T) {
	g := NewWithT(t)
	be := newBed("a")
	be.start("v1", "v2")
	long := order("v2", Canary)
	long.Budget = 5 * time.Minute
	be.Put([]Order{long})
	be.confirm()
	stopped := func(en roster.Endpoint) bool { return en.Version == "v1" }
	maps.DeleteFunc(be.all, func(_ string, en roster.Endpoint) bool { return stopped(en) })
	be.ready = slices.DeleteFunc(be.ready, stopped)
	be.clock.Advance(forgetPeriod + time.Second)
	be.confirm()
	be.Endpoints(be.all)
	g.Expect(be.versions()).To(Equal(map[string]int{"v2": 1000}))
	be.clock.Advance(time.Second)
	be.start("v3")
	g.Expect(be.versions()).To(Equal(map[string]int{"v2": 1000}), "as before")
}

// Guards against a new process that uses a version which an order may name that it has not
// read: it took the target of a completed order for one that was never in use.
func TestNewProcessWithACompletedOrderThatMayBeOld(t *testing.T) {
	g := NewWithT(t)
	be := newBed("a")
	be.Put([]Order{order("v2", Completed)})
	be.confirm()
	be.clock.Advance(retirePeriod + time.Second)
	be.start("v2", "v3")
	g.Expect(be.versions()).To(Equal(map[string]int{"v2": 1000}), "an order for v3 may exist")
	be.Put([]Order{order("v3", Canary)})
	be.confirm()
	counts := be.versions()
	g.Expect(counts["v3"]).To(BeNumerically("<", 80))
	g.Expect(counts["v2"]).To(Equal(1000 - counts["v3"]))
}
