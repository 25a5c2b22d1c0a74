package rollout

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/roster"
)

// bed is one registry whose service has four endpoints of each of some versions.
type bed struct {
	*Registry
	clock *clockwork.FakeClock
	all   map[string]roster.Endpoint
	ready []roster.Endpoint
}

func newBed(name string) *bed {
	clock := clockwork.NewFakeClock()
	return &bed{
		Registry: &Registry{Bounds: Bounds{Share: 0.1, Slack: 50, RollBackTime: 5 * time.Second}, Instance: name, Clock: clock, Log: zerolog.Nop()},
		clock:    clock, all: make(map[string]roster.Endpoint),
	}
}

func (be *bed) start(versions ...string) {
	for _, version := range versions {
		for ix := range 4 {
			en := roster.Endpoint{ID: fmt.Sprintf("%s-%d", version, ix), Service: service1, Version: version}
			be.all[en.ID] = en
			be.ready = append(be.ready, en)
		}
	}
	be.Endpoints(be.all)
}

func (be *bed) confirm() { be.Confirmed(be.clock.Now()) }

// versions returns how many of 1,000 requests may go to endpoints of each version only,
// and under "none" how many to no endpoint.
func (be *bed) versions() map[string]int {
	counts := make(map[string]int)
	for ix := range 1000 {
		name := "none"
		for _, en := range be.Filter(service1, fmt.Sprint("request", ix), be.ready) {
			if name != "none" && name != en.Version {
				name = "both"
				break
			}
			name = en.Version
		}
		counts[name]++
	}
	return counts
}

func order(target string, st State) Order {
	return Order{Service: service1, Target: target, Budget: 12 * time.Second, Revision: 1, State: st}
}

func TestVersionsWithoutOrder(t *testing.T) {
	g := NewWithT(t)
	off := newBed("a")
	off.Bounds = Bounds{}
	off.start("v1", "v2")
	g.Expect(off.versions()).To(Equal(map[string]int{"both": 1000}), "a deployment without roll-outs")

	be := newBed("a")
	be.start("v1")
	g.Expect(be.versions()).To(Equal(map[string]int{"v1": 1000}), "the only version")
	be.confirm()
	be.clock.Advance(time.Second)
	be.start("v2")
	g.Expect(be.versions()).To(Equal(map[string]int{"v1": 1000}), "an order may exist that was not read yet")
	g.Expect(be.Allows(be.all["v2-0"])).To(BeFalse())
	be.Confirmed(be.clock.Now().Add(-time.Millisecond))
	g.Expect(be.versions()).To(Equal(map[string]int{"v1": 1000}), "the list is older than the entry")
	be.confirm()
	g.Expect(be.versions()).To(Equal(map[string]int{"both": 1000}), "no order names it")
}

func TestStates(t *testing.T) {
	for _, tc := range []struct {
		state State
		want  func(old, target int) bool
		text  string
	}{
		{Pending, func(old, _ int) bool { return old == 1000 }, "nothing"},
		{Canary, func(old, target int) bool { return target > 10 && target < 80 && old == 1000-target }, "the base share"},
		{Promoting, func(old, target int) bool { return target > 150 && old == 1000-target }, "a rising share"},
		{Completed, func(_, target int) bool { return target == 1000 }, "all"},
		{RolledBack, func(old, _ int) bool { return old == 1000 }, "nothing"},
	} {
		t.Run(tc.state.String(), func(t *testing.T) {
			g := NewWithT(t)
			be := newBed("a")
			be.start("v1")
			be.Put([]Order{order("v2", tc.state)})
			be.confirm()
			be.start("v2")
			counts := be.versions()
			g.Expect(tc.want(counts["v1"], counts["v2"])).To(BeTrue(), "%s goes to the target: %v", tc.text, counts)
			if !tc.state.Final() {
				for _, en := range be.Filter(service1, "", be.ready) {
					g.Expect(en.Version).To(Equal("v1"), "a repeated attempt")
				}
			}
			g.Expect(be.Leaves(be.all["v1-0"])).To(Equal(tc.state == Promoting || tc.state == Completed))
			g.Expect(be.Leaves(be.all["v2-0"])).To(Equal(tc.state == RolledBack))
			g.Expect(be.Allows(be.all["v2-0"])).To(Equal(tc.state == Promoting || tc.state == Completed))
			g.Expect(be.Allows(be.all["v1-0"])).To(Equal(tc.state != Promoting && tc.state != Completed))
		})
	}
}

func TestOrdersThatChange(t *testing.T) {
	g := NewWithT(t)
	be := newBed("a")
	be.start("v1")
	be.Put([]Order{order("v2", Canary)})
	be.confirm()
	be.start("v2")
	g.Expect(be.versions()).To(HaveKey("v2"))
	be.Put(nil)
	be.confirm()
	g.Expect(be.versions()).To(Equal(map[string]int{"v1": 1000}), "removed half-way: the version gets nothing")
	be.Put([]Order{order("v3", Pending)})
	be.confirm()
	be.start("v3")
	g.Expect(be.versions()).To(Equal(map[string]int{"v1": 1000}), "replaced half-way: neither version gets anything")
	be.Put([]Order{order("v3", RolledBack)})
	be.Put([]Order{order("v3", Canary)})
	g.Expect(be.versions()).To(Equal(map[string]int{"v1": 1000}), "the store came back from an older copy")
	tr, due := be.Next(everything, nothingLeft)
	g.Expect(due).To(BeTrue())
	g.Expect(tr.State).To(Equal(RolledBack), "what was reached is written again")
	be.Put(nil)
	be.clock.Advance(time.Second)
	be.Put([]Order{order("v3", Pending)})
	g.Expect(be.services[service1].rollout.state).To(Equal(RolledBack), "the copy lacked the order")
}

func TestOrderForTheVersionInUse(t *testing.T) {
	g := NewWithT(t)
	be := newBed("a")
	be.start("v1")
	be.confirm()
	be.Put([]Order{order("v1", Pending)})
	g.Expect(be.Filter(service1, "request", be.ready)).To(HaveLen(4))
	tr, due := be.Next(everything, nothingLeft)
	g.Expect(due).To(BeTrue())
	g.Expect(tr.State).To(Equal(Completed))
}

func TestOldEndpointsAreGone(t *testing.T) {
	g := NewWithT(t)
	be := newBed("a")
	be.Put([]Order{order("v2", Canary)})
	be.confirm()
	be.start("v2")
	g.Expect(be.Filter(service1, "request", be.ready)).To(HaveLen(4), "all endpoints of the version on trial")
	be.Put([]Order{order("v2", RolledBack)})
	g.Expect(be.Filter(service1, "request", be.ready)).To(BeEmpty(), "never the target")
}

func TestConcurrentUse(t *testing.T) {
	be := newBed("a")
	be.start("v1")
	be.Put([]Order{order("v2", Canary)})
	be.confirm()
	be.start("v2")
	var wg sync.WaitGroup
	for ix := range 4 {
		wg.Go(func() {
			for step := range 200 {
				for _, en := range be.Filter(service1, fmt.Sprint(ix, step), be.ready) {
					be.Sent(en)
					be.Record(en, Sample{Route: "r"})
				}
				list, _ := be.Changed()
				be.Merge(fmt.Sprint(ix), list)
				be.Next(everything, nothingLeft)
			}
		})
	}
	wg.Wait()
	NewWithT(t).Expect(be.services[service1].rollout.ledger.others).To(HaveLen(4))
}

func everything(string) bool         { return true }
func nothingLeft(string, string) int { return 0 }

func TestTwoServices(t *testing.T) {
	g := NewWithT(t)
	be := newBed("a")
	other := roster.Endpoint{ID: "x-0", Service: "desk", Version: "v2"}
	be.all[other.ID] = other
	be.start("v1")
	desk := order("v2", Pending)
	desk.Service = "desk"
	be.Put([]Order{order("v2", Pending), desk})
	be.confirm()
	be.start("v2")
	first, due := be.Next(everything, nothingLeft)
	g.Expect(due).To(BeTrue())
	second, due := be.Next(everything, nothingLeft)
	g.Expect(due).To(BeTrue())
	g.Expect([]string{first.Service, second.Service}).To(ConsistOf(service1, "desk"))
	_, due = be.Next(everything, nothingLeft)
	g.Expect(due).To(BeFalse(), "both were offered just now")
	be.clock.Advance(repeatAfter)
	be.confirm()
	_, due = be.Next(everything, nothingLeft)
	g.Expect(due).To(BeTrue(), "the write may have been lost")
	_, due = be.Next(func(string) bool { return false }, nothingLeft)
	g.Expect(due).To(BeFalse(), "another instance writes")
}

func TestCutOffInstance(t *testing.T) {
	g := NewWithT(t)
	be := newBed("a")
	be.start("v1")
	be.Put([]Order{order("v2", Canary)})
	be.confirm()
	be.start("v2")
	g.Expect(be.versions()).To(HaveKey("v2"))
	be.clock.Advance(confirmationPeriod + time.Millisecond)
	be.Next(everything, nothingLeft)
	g.Expect(be.versions()).To(Equal(map[string]int{"v1": 1000}), "not confirmed for long")
	be.confirm()
	g.Expect(be.versions()).To(HaveKey("v2"), "confirmed again")
	be.Put([]Order{order("v2", Promoting)})
	be.clock.Advance(time.Minute)
	be.Next(everything, nothingLeft)
	g.Expect(be.versions()).To(Equal(map[string]int{"v2": 1000}), "a stage that was confirmed is kept")
}

func TestVerdictSpreads(t *testing.T) {
	g := NewWithT(t)
	writer, follower := newBed("a"), newBed("b")
	for _, be := range []*bed{writer, follower} {
		be.start("v1")
		be.Put([]Order{order("v2", Canary)})
		be.confirm()
		be.start("v2")
	}
	for step := range 40 {
		for ix, en := range writer.ready {
			writer.Sent(en)
			writer.Record(en, Sample{Route: "r", Latency: time.Millisecond, Failed: en.Version == "v2" && (step+ix)%2 == 0})
		}
		writer.clock.Advance(stepPeriod)
		writer.confirm()
		writer.Next(func(string) bool { return step > 20 }, nothingLeft)
		if step == 20 {
			g.Expect(writer.versions()).To(Equal(map[string]int{"v1": 1000}), "its own evidence stops it")
			g.Expect(writer.services[service1].rollout.bad).To(BeFalse(), "but it is not the evaluator")
		}
	}
	list, unsent := writer.Changed()
	g.Expect(unsent).To(BeTrue())
	g.Expect(follower.versions()).To(HaveKey("v2"))
	follower.Merge("a", list)
	g.Expect(follower.versions()).To(Equal(map[string]int{"v1": 1000}), "stopped by a message")
	tr, due := follower.Next(everything, nothingLeft)
	g.Expect(due).To(BeTrue(), "the writer died between verdict and write")
	g.Expect(tr.State).To(Equal(RolledBack))
	follower.Put([]Order{order("v2", Completed)})
	g.Expect(follower.versions()).To(Equal(map[string]int{"v2": 1000}), "the store decides between two writers")
}

func TestMergedTotals(t *testing.T) {
	g := NewWithT(t)
	be := newBed("a")
	be.start("v1")
	be.Put([]Order{order("v2", Canary)})
	report := func(boot, sequence uint64, answers uint32) []Report {
		return []Report{{Service: service1, Target: "v2", Boot: boot, Sequence: sequence, SentOld: answers, Age: 4 * time.Second, Rows: []Row{{Route: "r", Totals: Totals{Answers: answers}}}}}
	}
	answers := func() uint32 { return be.services[service1].rollout.ledger.routes["r"].old.Answers }
	be.Merge("b", report(1, 2, 10))
	be.Merge("b", report(1, 1, 5))
	g.Expect(answers()).To(Equal(uint32(10)), "a late message")
	be.Merge("b", report(1, 3, 12))
	g.Expect(answers()).To(Equal(uint32(12)), "totals replace totals")
	be.Merge("b", report(2, 1, 3))
	g.Expect(answers()).To(Equal(uint32(15)), "a restarted instance")
	be.Merge("c", []Report{{Service: service1, Target: "v9", Boot: 1, Sequence: 1, SentOld: 7}})
	g.Expect(be.services[service1].rollout.ledger.sentOld).To(Equal(15), "of another order")
	g.Expect(be.services[service1].rollout.age(be.clock.Now())).To(Equal(4*time.Second), "the age that others tell")
	for ix := range 300 {
		be.Record(roster.Endpoint{ID: fmt.Sprint(ix), Service: service1, Version: "v2"}, Sample{Route: fmt.Sprint("r", ix%2)})
	}
	list, _ := be.Changed()
	g.Expect(len(list[0].Rows)).To(BeNumerically("<=", maxRows))
}

func TestSamples(t *testing.T) {
	g := NewWithT(t)
	be := newBed("a")
	be.start("v1")
	be.Put([]Order{order("v2", Canary)})
	be.start("v2")
	cold := be.all["v2-0"]
	cold.ColdUntil = be.clock.Now().Add(time.Second)
	be.Record(cold, Sample{Route: "r", Latency: time.Second})
	be.Record(cold, Sample{Route: "r", LinkLost: true})
	be.Record(cold, Sample{Route: "r", Crashed: true})
	be.Record(cold, Sample{Route: "r", Crashed: true})
	list, _ := be.Changed()
	g.Expect(list[0].Rows).To(Equal([]Row{{Route: "r", Endpoint: "v2-0", Totals: Totals{Answers: 1}}}))
	g.Expect(list[0].CrashedNew).To(HaveLen(1))
}
