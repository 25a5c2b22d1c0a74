package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/outlier"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// newProcess returns a gateway that has just started and knows nothing.
func newProcess() *Gateway {
	boot := &boottime.Manual{}
	boot.Advance(time.Hour)
	gw := &Gateway{Settings: Settings{Instance: "i1", Zone: "a"}, Clock: clockwork.NewFakeClock(), Boot: boot, Log: zerolog.Nop()}
	gw.signals = backpressure.Registry{Boot: boot, Log: gw.Log}
	gw.peers = ratelimit.Peers{Self: loadshare.Member{Name: "i1"}, Members: &gw.members, Boot: boot}
	gw.allocator.Boot, gw.slots.Boot, gw.engines.Boot = boot, boot, boot
	gw.outliers = outlier.Detector{Clock: gw.Clock, Roster: &gw.roster}
	gw.suspects = &suspicion.Registry{Clock: gw.Clock}
	gw.roster = roster.Roster{Clock: gw.Clock, Log: gw.Log}
	return gw
}

func listOf(list ...roster.Endpoint) (objects []feed.Object[roster.Endpoint]) {
	for _, en := range list {
		objects = append(objects, feed.Object[roster.Endpoint]{Name: en.ID, Value: &en})
	}
	return objects
}

// Guards against a new process that forgets what others told it of endpoints before it has
// read their entries, as while the store is slow.
func TestNewProcessKeepsStatementsUntilEndpointsAreListed(t *testing.T) {
	g := NewWithT(t)
	gw, en := newProcess(), roster.Endpoint{ID: "e1", Started: 5}
	gw.signals.Merge([]backpressure.Statement{{Endpoint: en.ID, Started: en.Started, Brittle: true, Limit: backpressure.Limit{Rate: 2, Named: true}}})
	gw.forgetEndpoints()
	gw.roster.Reset(listOf(en))
	gw.forgetEndpoints()
	g.Expect(gw.signals.IsBrittle(en)).To(BeTrue())
	g.Expect(gw.signals.IsLimited(en)).To(BeTrue())
	gw.roster.Reset(nil)
	gw.forgetEndpoints()
	g.Expect(gw.signals.IsBrittle(en)).To(BeFalse())
}

// A new process is ready once the store has confirmed the configuration recently and has
// an endpoint that may be used, whoever tells it so.
func TestNewProcessIsReadyOnceTheStoreHasConfirmed(t *testing.T) {
	g := NewWithT(t)
	for range 2 { // the second one is the process after a restart
		gw := newProcess()
		gw.state = routing.State{Clock: gw.Boot}
		ages := func() dispatch.MaxAges { return dispatch.MaxAges{Key: 4 * time.Second} }
		ready := &readiness{state: &gw.state, roster: &gw.roster, maxAges: ages, log: gw.Log}
		g.Expect(ready.check()).To(BeFalse())
		gw.state.Put(routing.New(routing.Spec{Version: 4}))
		gw.state.Confirm(gw.Boot.Now())
		g.Expect(ready.check()).To(BeFalse(), "without an endpoint")
		gw.roster.Reset(listOf(roster.Endpoint{ID: "e1", Service: "s"}))
		g.Expect(ready.check()).To(BeTrue())
		gw.state = routing.State{Clock: gw.Boot}
		gw.state.Put(routing.New(routing.Spec{Version: 4}))
		g.Expect(ready.check()).To(BeFalse(), "not confirmed")
		gw.state.Confirm(gw.Boot.Now() - 5*time.Second)
		g.Expect(ready.check()).To(BeFalse(), "confirmed to its reader too long ago")
		gw.state.Confirm(gw.Boot.Now())
		g.Expect(ready.check()).To(BeTrue())
	}
}

// A version and an evacuation that a restored store has lost, and nobody running knows, are
// not in force until operators write them again.
func TestNewProcessServesTheCopyOfARestoredStore(t *testing.T) {
	g := NewWithT(t)
	gw := newProcess()
	gw.state = routing.State{Clock: gw.Boot}
	cs := &configurationSink{name: "c", state: &gw.state, log: gw.Log, onAnswer: func() {}}
	es := &evacuationSink{roster: &gw.roster, clock: gw.Clock}
	configuration := func(version int64) []feed.Object[routing.Configuration] {
		return []feed.Object[routing.Configuration]{{Name: "c", Value: routing.New(routing.Spec{Version: version})}}
	}
	gw.roster.Reset(listOf(roster.Endpoint{ID: "e1", Zone: "a"}))
	cs.Reset(configuration(4)) // it had version 5
	es.Reset(nil)              // it had zone a
	_, usable := gw.roster.View().Usable("e1")
	g.Expect(usable).To(BeTrue())
	g.Expect(gw.state.Load().Version).To(BeEquivalentTo(4))
	cs.Reset(configuration(5))
	es.Apply([]feed.Change[string]{{Object: feed.Object[string]{Name: "a"}}})
	_, usable = gw.roster.View().Usable("e1")
	g.Expect(usable).To(BeFalse())
	g.Expect(gw.state.Load().Version).To(BeEquivalentTo(5))
}

// waits records how long calls that watch orders wait.
type waits struct {
	feed.Source[rollout.Order]
	last time.Duration
}

func (wa *waits) Watch(_ context.Context, after feed.Position, wait time.Duration) ([]feed.Change[rollout.Order], feed.Position, error) {
	wa.last = wait
	return nil, after, nil
}

// Guards against a new process that is ready and refuses all requests of a service with two
// versions for seconds: it had begun a long call about the orders before it knew them.
func TestNewProcessConfirmsOrdersSoon(t *testing.T) {
	g := NewWithT(t)
	gw, wa := newProcess(), &waits{}
	rs := rolloutSource{Source: wa, orders: nil, roster: &gw.roster}
	one, two := roster.Endpoint{ID: "e1", Version: "v1"}, roster.Endpoint{ID: "e2", Version: "v2"}
	for _, step := range []struct {
		list []feed.Object[roster.Endpoint]
		want time.Duration
	}{{nil, orderedWait}, {listOf(one, two), orderedWait}, {listOf(one), rolloutsWait}} {
		if step.list != nil {
			gw.roster.Reset(step.list)
		}
		_, _, err := rs.Watch(t.Context(), feed.Position{}, rolloutsWait)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(wa.last).To(Equal(step.want))
	}
}
