package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a new process that sends the version on trial all requests: until the list
// of orders was confirmed after its first look at the endpoints, it knew no other version.
// It sends the base share to the target and nothing to others until then, and has the totals
// that the others report.
func TestNewProcessDuringRollOut(t *testing.T) {
	g := NewWithT(t)
	before := newBed("b")
	before.start("v0", "v1", "v2")
	before.Put([]Order{order("v2", Canary)})
	before.confirm()
	for range 10 {
		before.Sent(before.all["v2-0"])
	}
	reports, _ := before.Changed()

	restarted := newBed("a")
	restarted.clock.Advance(time.Second)
	restarted.start("v0", "v1", "v2")
	g.Expect(restarted.versions()).To(Equal(map[string]int{"none": 1000}), "no order was read yet")
	restarted.Put([]Order{order("v2", Canary)})
	restarted.Confirmed(restarted.clock.Now().Add(-time.Millisecond))
	counts := restarted.versions()
	g.Expect(counts["v2"]).To(BeNumerically("<", 80), "the list is older than the first look")
	g.Expect(counts["none"]).To(Equal(1000 - counts["v2"]))
	restarted.confirm()
	counts = restarted.versions()
	g.Expect(counts["v2"]).To(And(BeNumerically(">", 10), BeNumerically("<", 80)))
	g.Expect(counts["both"]).To(Equal(1000-counts["v2"]), "v0 and v1")
	restarted.Merge("b", reports)
	g.Expect(restarted.Counts(service1).SentNew).To(Equal(10))
}

// A process that starts after an order was removed half-way does not know of it: it uses
// the version, which no other one does.
func TestNewProcessDoesNotKnowRemovedOrders(t *testing.T) {
	g := NewWithT(t)
	before, restarted := newBed("b"), newBed("a")
	before.start("v1", "v2")
	before.Put([]Order{order("v2", Canary)})
	for _, be := range []*bed{before, restarted} {
		be.Put(nil)
		be.clock.Advance(time.Second)
		be.confirm()
	}
	restarted.start("v1", "v2")
	restarted.confirm()
	g.Expect(before.versions()).To(Equal(map[string]int{"v1": 1000}))
	g.Expect(restarted.versions()).To(Equal(map[string]int{"both": 1000}))
}

// A process that starts after an order was completed takes all other versions for those
// that it has replaced. One that ran before knows which appeared later.
func TestNewProcessAfterCompletedOrder(t *testing.T) {
	g := NewWithT(t)
	before, restarted := newBed("b"), newBed("a")
	before.start("v1", "v2")
	before.Put([]Order{order("v2", Completed)})
	before.confirm()
	before.clock.Advance(time.Minute)
	before.start("v3")
	before.confirm()
	g.Expect(before.versions()).To(Equal(map[string]int{"both": 1000}))
	restarted.start("v2", "v3")
	restarted.Put([]Order{order("v2", Completed)})
	restarted.confirm()
	g.Expect(restarted.versions()).To(Equal(map[string]int{"v2": 1000}))
}

// Guards against a new process that refuses all requests of a service although it is ready:
// with an order in the list, it did not use the version in use until the list was confirmed
// again, for seconds if it had read the list before the endpoints.
func TestNewProcessUsesTheVersionInUse(t *testing.T) {
	for _, endpointsFirst := range []bool{false, true} {
		for _, st := range []State{Pending, Canary, Promoting, Completed, RolledBack} {
			for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
				g := NewWithT(t)
				be := newBed("a")
				be.clock.Advance(time.Second)
				if endpointsFirst {
					be.start(versions...)
				}
				be.Put([]Order{order("v2", st)})
				be.Confirmed(be.clock.Now().Add(-time.Millisecond))
				if !endpointsFirst {
					be.start(versions...)
				}
				unread := be.versions()
				be.confirm()
				g.Expect(unread).NotTo(HaveKey("none"), "%v %v", st, versions)
				g.Expect(unread).To(Equal(be.versions()), "%v %v", st, versions)
				be.clock.Advance(time.Second)
				be.start("v3")
				g.Expect(be.versions()).NotTo(Or(HaveKey("v3"), HaveKey("both")), "not the first look")
			}
		}
	}
}
