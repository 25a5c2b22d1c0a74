package admission_test

import (
	"flag"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var start = time.Unix(1_000_000, 0)

func candidate(name string, memory, sequences, cold int) admission.Candidate {
	ca := kind.Capacity{MemoryTokens: memory, Sequences: sequences, ColdSequences: cold}
	return admission.Candidate{
		Endpoint: kind.Endpoint{Name: name, Service: "filbert-pool", State: kind.EndpointServing, Capacity: ca}, Eligible: true,
	}
}

// allocator returns an allocator with one warm endpoint for each name.
func allocator(memory, sequences int, names ...string) *admission.Allocator {
	al := &admission.Allocator{}
	var list []admission.Candidate
	for _, name := range names {
		list = append(list, candidate(name, memory, sequences, sequences))
	}
	al.SetEndpoints(start, list)
	return al
}

// submitAndDecide submits count copies of re with IDs that start with prefix,
// and returns the grants of the decision that follows.
func submitAndDecide(al *admission.Allocator, now time.Time, re admission.Request, prefix string, count int) []admission.Decision {
	for ix := range count {
		re.ID = prefix + strconv.Itoa(ix)
		_ = al.Submit(now, re)
	}
	var list []admission.Decision
	for _, de := range al.Decide(now) {
		if de.Refusal == nil {
			list = append(list, de)
		}
	}
	return list
}

var _ = Describe("Allocator", func() {
	long := admission.Request{Class: "chapter", PromptTokens: 400}
	short := admission.Request{Class: "lookup", PromptTokens: 50, MaxTokens: 32}

	It("never exceeds the concurrency limit of an endpoint", func() {
		al := allocator(0, 1, "a", "b")
		withDeadline := admission.Request{Deadline: start.Add(time.Second)}
		Expect(submitAndDecide(al, start, withDeadline, "r", 5)).To(HaveLen(2))
		al.Finish(start, "r0", admission.Outcome{Result: admission.Completed})
		Expect(al.Decide(start)).To(ConsistOf(HaveField("Refusal", BeNil())))
		Expect(al.Decide(start.Add(time.Second))).To(ConsistOf(
			HaveField("Refusal.Reason", refusal.DeadlinePassed), HaveField("Refusal.Reason", refusal.DeadlinePassed)))
	})

	It("counts adopted requests even above the limit", func() {
		al := allocator(0, 1, "a")
		al.Adopt(start, admission.Request{ID: "x"}, "a", 7)
		al.Adopt(start, admission.Request{ID: "y"}, "a", 7)
		Expect(submitAndDecide(al, start, long, "z", 1)).To(BeEmpty())
		al.Finish(start, "x", admission.Outcome{})
		Expect(al.Decide(start)).To(BeEmpty())
		al.Finish(start, "y", admission.Outcome{})
		Expect(al.Decide(start)).To(HaveLen(1))
	})

	It("refuses at once a request that no endpoint may run or that would wait too long", func() {
		al := allocator(0, 1, "a")
		Expect(al.Submit(start, admission.Request{ID: "x", Exclude: []string{"a"}})).To(HaveField("Reason", refusal.NoCapacity))
		now := start
		for ix := range 10 { // one grant per second
			submitAndDecide(al, now, long, "s"+strconv.Itoa(ix), 1)
			al.Finish(now, "s"+strconv.Itoa(ix)+"0", admission.Outcome{Result: admission.Completed, Tokens: 500})
			now = now.Add(time.Second)
		}
		Expect(submitAndDecide(al, now, long, "busy", 2)).To(HaveLen(1))
		Expect(al.Submit(now, admission.Request{ID: "y", Class: "chapter"})).To(HaveField("Reason", refusal.QueueTime))
	})

	It("does not queue short requests behind long ones", func() {
		al := allocator(20_000, 64, "a")
		Expect(len(submitAndDecide(al, start, long, "l", 60))).To(BeNumerically("<", 60))
		list := submitAndDecide(al, start, short, "s", 2)
		Expect(list).To(HaveLen(2))
		Expect(list[0].Priority).To(BeNumerically(">", 1))
	})

	It("serves a resumed answer before new ones", func() {
		al := allocator(3_000, 64, "a")
		submitAndDecide(al, start, long, "l", 20)
		resumed := long
		resumed.DoneTokens, resumed.Deadline = 1_500, start.Add(time.Minute)
		Expect(submitAndDecide(al, start, resumed, "resumed", 1)).To(BeEmpty())
		now := start.Add(time.Second)
		for ix := range 20 {
			al.Finish(now, "l"+strconv.Itoa(ix), admission.Outcome{Result: admission.Canceled})
		}
		Expect(al.Decide(now)[0].ID).To(Equal("resumed0"))
	})

	It("adds untracked memory from reports but never subtracts requests in flight", func() {
		busy, other := allocator(20_000, 64, "a"), allocator(20_000, 64, "a")
		all := len(submitAndDecide(busy, start, long, "l", 60))
		other.Report(start, "a", endpoint.Load{BootID: "1", MemoryUsed: 10_000, MemoryTotal: 20_000})
		Expect(len(submitAndDecide(other, start, long, "l", 60))).To(BeNumerically("<", all))
		busy.Report(start, "a", endpoint.Load{BootID: "1", MemoryUsed: 0, MemoryTotal: 20_000})
		Expect(submitAndDecide(busy, start, long, "more", 1)).To(BeEmpty())
	})

	It("gives a restarted endpoint its cold amount, whoever notices", func() {
		for _, detectRestart := range []func(al *admission.Allocator){
			func(al *admission.Allocator) {
				al.Report(start, "a", endpoint.Load{BootID: "2", MemoryTotal: 60_000})
			},
			func(al *admission.Allocator) {
				al.Finish(start, "w0", admission.Outcome{Result: admission.NotBegun})
			},
			func(al *admission.Allocator) {
				al.Finish(start, "w0", admission.Outcome{Result: admission.Lost})
				al.Finish(start, "w1", admission.Outcome{Result: admission.Lost})
			},
		} {
			al := &admission.Allocator{}
			al.SetEndpoints(start, []admission.Candidate{candidate("a", 60_000, 64, 2)})
			al.Restore(start, []admission.WarmUpState{{Endpoint: "a", BootID: "1", Allowed: 64}})
			al.Report(start, "a", endpoint.Load{BootID: "1", MemoryTotal: 60_000})
			Expect(submitAndDecide(al, start, short, "w", 3)).To(HaveLen(3))
			detectRestart(al)
			for ix := range 3 {
				al.Finish(start, "w"+strconv.Itoa(ix), admission.Outcome{Result: admission.Canceled})
			}
			Expect(submitAndDecide(al, start.Add(time.Minute), short, "n", 3)).To(HaveLen(2))
		}
	})

	It("gives an endpoint that turns slow its cold amount", func() {
		al := &admission.Allocator{}
		al.SetEndpoints(start, []admission.Candidate{candidate("a", 60_000, 64, 2)})
		al.Restore(start, []admission.WarmUpState{{Endpoint: "a", BootID: "1", Allowed: 64}})
		al.Report(start, "a", endpoint.Load{BootID: "1", MemoryTotal: 60_000})
		submitAndDecide(al, start, short, "w", 8)
		now, tokens := start, int64(0)
		advance := func(count int64, gap time.Duration) {
			for range count {
				now, tokens = now.Add(gap), tokens+1
				for ix := range 8 {
					al.Progress(now, "w"+strconv.Itoa(ix), tokens)
				}
			}
		}
		advance(60, 15*time.Millisecond)
		Expect(al.Statistics().Cold).To(BeZero())
		advance(8, 120*time.Millisecond)
		Expect(al.Statistics().Cold).To(Equal(1))
		Expect(submitAndDecide(al, now, short, "n", 1)).To(BeEmpty())
	})

	It("backs off from an endpoint that did not accept a request", func() {
		al := allocator(0, 4, "a")
		submitAndDecide(al, start, long, "x", 1)
		al.Finish(start, "x0", admission.Outcome{Result: admission.NotBegun})
		Expect(submitAndDecide(al, start, long, "y", 1)).To(BeEmpty())
		at, found := al.NextDecision(start)
		Expect(found).To(BeTrue())
		Expect(al.Decide(at)).To(ConsistOf(HaveField("Endpoint", "a")))
	})

	It("prefers an endpoint that holds the prompt's prefix, unless it has no room", func() {
		al := allocator(60_000, 64, "a", "b", "c")
		pr := long
		pr.Prefix = 9
		al.CacheEvents(start, "b", []endpoint.CacheEvent{{Sequence: 1, Prefix: 9}})
		Expect(submitAndDecide(al, start, pr, "p", 1)).To(ConsistOf(HaveField("Endpoint", "b")))
		al.Report(start, "b", endpoint.Load{BootID: "1", MemoryUsed: 59_000, MemoryTotal: 60_000})
		Expect(submitAndDecide(al, start, pr, "q", 1)).NotTo(ContainElement(HaveField("Endpoint", "b")))
	})

	It("agrees with a model under random sequences of calls", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) { checkRandomCalls(rt) })
	})
})

// model is the expected state of an allocator under test.
type model struct {
	al      *admission.Allocator
	now     time.Time
	queued  map[string]bool
	running map[string]string
}

// endpointLimit is the number of requests that each endpoint of the model can
// run at once.
const endpointLimit = 3

// checkRandomCalls makes random calls and compares the decisions with a model.
func checkRandomCalls(rt *rapid.T) {
	mo := &model{al: allocator(8_000, endpointLimit, "a", "b"), now: start, queued: map[string]bool{}, running: map[string]string{}}
	for step := range rapid.IntRange(1, 80).Draw(rt, "steps") {
		mo.call(rt, step)
		mo.decide(rt)
		if st := mo.al.Statistics(); st.Queued != len(mo.queued) || st.InFlight != len(mo.running) {
			rt.Fatalf("got statistics %+v, want %d queued and %d in flight", st, len(mo.queued), len(mo.running))
		}
	}
}

func (mo *model) call(rt *rapid.T, step int) {
	id := strconv.Itoa(rapid.IntRange(0, 15).Draw(rt, "id"))
	switch rapid.IntRange(0, 4).Draw(rt, "call") {
	case 0:
		re := admission.Request{ID: id, Team: "t" + strconv.Itoa(step%3), PromptTokens: 100 * (step % 9), Deadline: mo.now.Add(time.Second)}
		if mo.al.Submit(mo.now, re) == nil && mo.running[id] == "" {
			mo.queued[id] = true
		}
	case 1:
		mo.al.Withdraw(mo.now, id)
		delete(mo.queued, id)
	case 2:
		mo.al.Progress(mo.now, id, int64(step))
	case 3:
		mo.al.Finish(mo.now, id, admission.Outcome{Result: admission.Completed, Tokens: int64(step)})
		delete(mo.running, id)
	case 4:
		mo.now = mo.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond)
	}
}

func (mo *model) decide(rt *rapid.T) {
	for _, de := range mo.al.Decide(mo.now) {
		if !mo.queued[de.ID] {
			rt.Fatalf("decision for request %s, which is not queued", de.ID)
		}
		delete(mo.queued, de.ID)
		if de.Refusal == nil {
			mo.running[de.ID] = de.Endpoint
		}
	}
	count := map[string]int{}
	for _, name := range mo.running {
		count[name]++
	}
	if count["a"] > endpointLimit || count["b"] > endpointLimit {
		rt.Fatalf("requests in flight per endpoint %v exceed the limit", count)
	}
}
