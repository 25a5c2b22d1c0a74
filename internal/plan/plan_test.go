package plan_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/plan"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plan")
}

func init() {
	// A fixed seed makes runs of CI reproducible.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// singleFleet is a fleet of one instance, whose report is built from its state.
type singleFleet struct {
	state    *configuration.State
	inFlight map[string]int
	// peerVersion is the version that a second instance reports. Zero means that
	// there is no second instance, and a negative value that the view is not
	// settled.
	peerVersion int64
}

func (fl *singleFleet) member() member.Member {
	return member.Member{Name: "entry-1", Zone: "suseong", State: member.Live, Version: fl.state.Version()}
}

func (fl *singleFleet) View() *member.View {
	return &member.View{Version: 1, Members: []member.Member{fl.member()}}
}

func (fl *singleFleet) Reports(context.Context) []plan.Answer {
	re := plan.Report{Name: "entry-1", Zone: "suseong", Standing: fl.state.Standing(), InFlight: fl.inFlight}
	answers := []plan.Answer{{Member: fl.member(), Report: re}}
	if fl.peerVersion > 0 {
		other := plan.Report{Name: "entry-2", Standing: configuration.Standing{Version: fl.peerVersion}}
		answers = append(answers, plan.Answer{Member: member.Member{Name: "entry-2", State: member.Live}, Report: other})
	}
	return answers
}

func (fl *singleFleet) Settled() bool { return fl.peerVersion >= 0 }

func (fl *singleFleet) StopMember(context.Context, member.Member) error { return nil }

// site is a fake platform with the plan service of one instance.
type site struct {
	store *platformfake.Store
	fleet *singleFleet
	clock *clockwork.FakeClock
	*plan.Service
}

func document() kind.Document {
	doc := kind.Document{
		Version: 1,
		Halves:  []kind.Half{{Name: "west"}, {Name: "east"}},
		Zones: []kind.Zone{
			{Name: "dalseo", Region: "yeongnam", State: kind.ZoneServing}, {Name: "suseong", Region: "yeongnam", State: kind.ZoneServing},
		},
		Teams:    []kind.Team{{Name: "analysts", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken("a")}}},
		Services: []kind.Service{{Name: "filbert-pool", Type: kind.ServiceModel, Model: "filbert"}},
	}
	for ix := range 4 {
		doc.Endpoints = append(doc.Endpoints, kind.Endpoint{
			Name: "engine-" + strconv.Itoa(ix), Service: "filbert-pool", Zone: doc.Zones[ix%2].Name, URL: "http://127.0.0.1:1",
			State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 100, ColdSequences: 4, MemoryTokens: 1000},
		})
	}
	return doc
}

func newSite() *site {
	si := &site{store: platformfake.New(), clock: clockwork.NewFakeClock()}
	cf, err := kind.NewConfiguration(document())
	Expect(err).NotTo(HaveOccurred())
	_, err = configuration.Publish(context.Background(), si.store, 0, cf)
	Expect(err).NotTo(HaveOccurred())
	si.Service = si.instance()
	si.fleet, _ = si.Fleet.(*singleFleet)
	return si
}

// instance returns the plan service of a newly started instance.
func (si *site) instance() *plan.Service {
	st := &configuration.State{Holder: new(snapshot.Holder[kind.Configuration]), Log: zerolog.Nop()}
	bu, _, err := configuration.Read(context.Background(), si.store, nil)
	Expect(err).NotTo(HaveOccurred())
	st.Apply(bu, configuration.FromPlatform)
	return &plan.Service{Store: si.store, State: st, Fleet: &singleFleet{state: st}, Clock: si.clock, Log: zerolog.Nop()}
}

func (si *site) makePlan(text string) plan.Plan {
	pl, err := si.Make(context.Background(), "operators", "intent", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return pl
}

// planState returns the stored state of a plan.
func (si *site) planState(id string) plan.State {
	pl, err := si.Get(context.Background(), id)
	Expect(err).NotTo(HaveOccurred())
	return pl.State
}

// runExecutor starts an executor and returns a function that stops it and waits
// until it has ended.
func (si *site) runExecutor(self string, se *plan.Service) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	ex := &plan.Executor{Service: se, Self: self}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = ex.Run(ctx)
	}()
	return func() { cancel(); <-ended }
}

// awaitEnd advances the clock until a plan is in a terminal state.
func (si *site) awaitEnd(id string) plan.Plan {
	var pl plan.Plan
	Eventually(func(g Gomega) {
		si.clock.Advance(time.Second)
		var err error
		pl, err = si.Get(context.Background(), id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(pl.State.Terminal()).To(BeTrue())
	}, "20s", "1ms").Should(Succeed())
	return pl
}

// sweepBeforeHead is a store that runs a sweep after a publisher has written the
// last shard and before it writes the head.
type sweepBeforeHead struct {
	platform.Store
	sweep func()
}

// Update implements platform.Store.
func (sb sweepBeforeHead) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if key == configuration.HeadKey {
		sb.sweep()
	}
	return sb.Store.Update(ctx, key, previous, value)
}

const (
	zoneOut = `{"actions": [{"take_zone_out": "suseong"}]}`
	assign  = `{"actions": [{"assign": {"endpoint": "engine-0", "half": "east"}}]}`
)

var _ = Describe("plan", func() {
	ctx := context.Background()

	It("changes nothing until it is confirmed, and shows the capacity that remains", func() {
		si := newSite()
		pl := si.makePlan(zoneOut)
		Expect(pl.Base.Version).To(Equal(int64(1)))
		Expect(pl.Steps[0].Capacity).To(ContainElement(plan.Capacity{Service: "filbert-pool", Zone: "suseong"}))
		Expect(pl.Steps[0].Capacity).To(ContainElement(plan.Capacity{Service: "filbert-pool", Zone: "dalseo", Endpoints: 2, Sequences: 200, MemoryTokens: 2000}))
		bu, _, err := configuration.Read(ctx, si.store, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(bu.Head.Version).To(Equal(int64(1)))
	})

	It("refuses the second of two plans with the same base version and lists what changed", func() {
		si := newSite()
		first, second := si.makePlan(zoneOut), si.makePlan(assign)
		_, err := si.Confirm(ctx, first.ID, "operators")
		Expect(err).NotTo(HaveOccurred())
		pl, err := si.Confirm(ctx, second.ID, "operators")
		Expect(plan.IsKind(err, plan.Conflict)).To(BeTrue())
		Expect(pl.State).To(Equal(plan.Refused))
		Expect(pl.ChangesSinceBase).To(HaveLen(1))
		Expect(pl.ChangesSinceBase[0].Object()).To(Equal("zone/suseong"))
	})

	It("is applied once however often it is confirmed, also when answers are lost", func() {
		si := newSite()
		pl := si.makePlan(zoneOut)
		si.store.SetFault(platformfake.LoseResponses)
		for range 3 {
			_, err := si.Confirm(ctx, pl.ID, "operators")
			Expect(err).NotTo(HaveOccurred())
		}
		bu, _, err := configuration.Read(ctx, si.store, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(bu.Head.Version).To(Equal(int64(2)))
	})

	It("hands an endpoint over only when it is idle", func() {
		si := newSite()
		si.fleet.inFlight = map[string]int{"engine-0": 1}
		pl := si.makePlan(assign)
		_, err := si.Confirm(ctx, pl.ID, "operators")
		Expect(err).NotTo(HaveOccurred())
		stop := si.runExecutor("entry-1", si.Service)
		Eventually(func() string {
			si.clock.Advance(time.Second)
			pl, _ = si.Get(ctx, pl.ID)
			return pl.Steps[2].Note
		}, "20s", "1ms").Should(Equal("1 requests left"))
		stop()
		en, _ := si.State.Bundle().Configuration().Endpoint("engine-0")
		Expect(en.State).To(Equal(kind.EndpointDraining))
		si.fleet.inFlight = nil
		stop = si.runExecutor("entry-1", si.Service)
		defer stop()
		Expect(si.awaitEnd(pl.ID).State).To(Equal(plan.Done))
		en, _ = si.State.Bundle().Configuration().Endpoint("engine-0")
		Expect(en.Half).To(Equal("east"))
		Expect(en.Serving()).To(BeTrue())
	})

	It("lets an endpoint serve again when a move is canceled before the hand-over", func() {
		si := newSite()
		si.fleet.inFlight = map[string]int{"engine-0": 1}
		pl := si.makePlan(assign)
		_, err := si.Confirm(ctx, pl.ID, "operators")
		Expect(err).NotTo(HaveOccurred())
		pl, err = si.Cancel(ctx, pl.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(pl.Note).To(ContainSubstring("serve as before"))
		en, _ := si.State.Bundle().Configuration().Endpoint("engine-0")
		Expect(en.Half).To(BeEmpty())
		Expect(en.Serving()).To(BeTrue())
		Expect(si.State.Bundle().Head.ReservedBy("endpoint/engine-0")).To(BeEmpty())
	})

	It("changes nothing while the platform shows an older version than another instance has in force", func() {
		si := newSite()
		pl := si.makePlan(zoneOut)
		si.fleet.peerVersion = 7
		_, err := si.Confirm(ctx, pl.ID, "operators")
		Expect(plan.IsKind(err, plan.Unavailable)).To(BeTrue())
		si.fleet.peerVersion = -1
		_, err = si.Make(ctx, "operators", "intent", []byte(zoneOut))
		Expect(err).To(MatchError(ContainSubstring("just started")))
		bu, _, err := configuration.Read(ctx, si.store, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(bu.Head.Version).To(Equal(int64(1)))
	})

	It("has no effect when the write of a canceled confirmation arrives late", func() {
		reached := 0
		for seed := range uint64(200) {
			si := newSite()
			pl := si.makePlan(zoneOut)
			si.store.SetRandom(rand.New(rand.NewPCG(seed, 1)))
			si.store.SetFault(platformfake.LoseRandomly)
			_, err := si.Confirm(ctx, pl.ID, "operators")
			bu, _, readErr := configuration.Read(ctx, si.store, nil)
			Expect(readErr).NotTo(HaveOccurred())
			if _, begun := bu.Head.Move(pl.ID); err == nil || begun || si.planState(pl.ID) != plan.Confirmed {
				continue
			}
			reached++
			se := si.instance()
			se.Store = si.store.Connect()
			pl, err = se.Cancel(ctx, pl.ID)
			Expect(err).NotTo(HaveOccurred())
			Expect(pl.Note).To(Equal("nothing was changed"))
			si.store.DeliverDelayed()
			bu, _, err = configuration.Read(ctx, se.Store, nil)
			Expect(err).NotTo(HaveOccurred())
			zo, _ := bu.Configuration().Zone("suseong")
			Expect(zo.Serving()).To(BeTrue(), "seed %d", seed)
		}
		Expect(reached).To(BeNumerically(">", 0))
	})

	It("removes a shard that is unreferenced at two sweeps, and keeps the base version of an open plan", func() {
		si := newSite()
		count := func(prefix string) int {
			li, err := si.store.List(ctx, prefix)
			Expect(err).NotTo(HaveOccurred())
			return len(li.Objects)
		}
		sw := &plan.Sweeper{Service: si.Service}
		open := si.makePlan(assign)
		pl := si.makePlan(zoneOut)
		_, err := si.Confirm(ctx, pl.ID, "operators")
		Expect(err).NotTo(HaveOccurred())
		stop := si.runExecutor("entry-1", si.Service)
		si.awaitEnd(pl.ID)
		stop()
		shards := count(configuration.ShardPrefix)
		for range 3 {
			Expect(sw.Sweep(ctx)).To(Succeed())
		}
		Expect(count(configuration.ShardPrefix)).To(Equal(shards), "the open plan references the old shard")
		_, err = si.Cancel(ctx, open.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(sw.Sweep(ctx)).To(Succeed())
		Expect(count(configuration.ShardPrefix)).To(Equal(shards), "a single sweep must not remove the shard")
		Expect(sw.Sweep(ctx)).To(Succeed())
		Expect(count(configuration.ShardPrefix)).To(Equal(shards - 1))
		si.clock.Advance(31 * 24 * time.Hour)
		Expect(sw.Sweep(ctx)).To(Succeed())
		Expect(count(plan.Prefix)).To(BeZero())
		_, _, err = configuration.Read(ctx, si.store, nil)
		Expect(err).NotTo(HaveOccurred())
	})

	It("keeps a shard that a publisher is about to reference", func() {
		si := newSite()
		first := si.State.Bundle()
		zo, _ := first.Configuration().Zone("suseong")
		cf, err := first.Configuration().WithZone(zo.WithState(kind.ZoneOut))
		Expect(err).NotTo(HaveOccurred())
		out, err := first.Next(cf, configuration.Move{Plan: "a", Done: true})
		Expect(err).NotTo(HaveOccurred())
		head, err := si.store.Get(ctx, configuration.HeadKey)
		Expect(err).NotTo(HaveOccurred())
		object, err := configuration.PublishBundle(ctx, si.store, head.Version, out, first)
		Expect(err).NotTo(HaveOccurred())
		sw := &plan.Sweeper{Service: si.Service}
		Expect(sw.Sweep(ctx)).To(Succeed())
		back, err := out.Next(first.Configuration(), configuration.Move{Plan: "b", Done: true})
		Expect(err).NotTo(HaveOccurred())
		swept := sweepBeforeHead{Store: si.store, sweep: func() { Expect(sw.Sweep(ctx)).To(Succeed()) }}
		_, err = configuration.PublishBundle(ctx, swept, object, back, out)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = configuration.Read(ctx, si.store, nil)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses a plan while a running plan locks one of its objects", func() {
		si := newSite()
		si.fleet.inFlight = map[string]int{"engine-0": 1}
		first := si.makePlan(assign)
		_, err := si.Confirm(ctx, first.ID, "operators")
		Expect(err).NotTo(HaveOccurred())
		second := si.makePlan(`{"actions": [{"remove_endpoint": "engine-0"}]}`)
		pl, err := si.Confirm(ctx, second.ID, "operators")
		Expect(plan.IsKind(err, plan.Conflict)).To(BeTrue())
		Expect(pl.Note).To(ContainSubstring(first.ID))
	})

	DescribeTable("names the line and field of each fault",
		func(text, fault string) {
			_, err := newSite().Make(ctx, "operators", "f", []byte(text))
			Expect(plan.IsKind(err, plan.Invalid)).To(BeTrue())
			Expect(err).To(MatchError(ContainSubstring(fault)))
		},
		Entry("unknown action", "{\"actions\": [\n{\"take_zone\": \"a\"}]}", "f:2: actions[0].take_zone: is not a field; allowed are"),
		Entry("unknown zone", "{\"actions\": [\n{\"take_zone_out\": \"a\"}]}", "f:2: actions[0].take_zone_out: no zone is named a"),
		Entry("bad weight", "{\"actions\": [{\"set_team\": {\"name\": \"t\",\n\"weight\": 0}}]}", "f:2: actions[0].set_team.weight: allowed are 1 to 1000"),
		Entry("two actions in one", `{"actions": [{"take_zone_out": "dalseo", "drain_endpoint": "engine-0"}]}`, "must have exactly one action"),
		Entry("no action", `{"actions": []}`, "f:1: actions: must list at least one"),
		Entry("nothing to change", `{"actions": [{"bring_zone_back": "dalseo"}]}`, "changes nothing"),
		Entry("unknown instance", `{"actions": [{"stop_instance": "entry-9"}]}`, "no such instance"),
	)
})
