package dispatch

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/reservation"
	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// changingWait grants what requests wait for. During the first wait of the kind that place
// names, something changes. All later ones for a turn or a slot are denied.
type changingWait struct {
	place  string
	change func()
	waits  int
}

const waited = 5 * time.Millisecond

// grants reports whether a request gets what it waits for.
func (cw *changingWait) grants(place string) bool {
	if cw.waits > 0 {
		return false
	}
	if cw.place == place {
		cw.waits++
		cw.change()
	}
	return true
}

type changingLimiter struct{ *changingWait }

func (cl changingLimiter) Take(_ context.Context, _ roster.Endpoint, _ backpressure.Limit, maxWait time.Duration) (time.Duration, bool) {
	if maxWait < waited {
		return waited, false
	}
	return waited, cl.grants("turn")
}

type changingSlots struct{ *changingWait }

func (cs changingSlots) Take(_ context.Context, _ roster.Endpoint, maxWait, _ time.Duration) (backpressure.Use, time.Duration, bool) {
	if maxWait < waited || !cs.grants("slot") {
		return nil, waited, false
	}
	return noUse{}, 0, true
}

func (changingSlots) Enter(roster.Endpoint) backpressure.Use { return noUse{} }

type noUse struct{}

func (noUse) End(bool) {}

type changingReserver struct{ *changingWait }

func (cr changingReserver) Reserve(context.Context, reservation.Request) (*reservation.Grant, error) {
	cr.grants("engine")
	return &reservation.Grant{Endpoint: "e0"}, nil
}

type changingTurns struct{ *changingWait }

func (ct changingTurns) Take(context.Context, suspicion.Feature, time.Duration) (time.Duration, bool) {
	ct.grants("turn of a suspect")
	return 0, true
}

// stoppable is a roll-out that may be stopped: no endpoint gets requests then.
type stoppable struct{ stopped bool }

func (st *stoppable) Filter(_, _ string, ready []roster.Endpoint) []roster.Endpoint {
	if st.stopped {
		return nil
	}
	return ready
}
func (st *stoppable) Allows(roster.Endpoint) bool         { return !st.stopped }
func (*stoppable) Ordered(string) bool                    { return true }
func (*stoppable) Sent(roster.Endpoint)                   {}
func (*stoppable) Record(roster.Endpoint, rollout.Sample) {}

// A request that has waited is judged again by what has become known meanwhile: limits,
// brittleness, and signs of leaving during the turn of a suspect were not looked at. The
// table is that of docs/design/backpressure.md.
func TestWhatChangesDuringWaits(t *testing.T) {
	const part = "shared"
	e0 := roster.Endpoint{ID: "e0"}
	limit := func(rate float64) backpressure.Signal {
		return backpressure.Signal{Limit: backpressure.Limit{Rate: rate, Named: true}}
	}
	// says returns a change: the endpoint adds something to what it said before.
	says := func(add func(*backpressure.Signal)) func(*harness, *suspicion.Registry, backpressure.Signal) {
		return func(ha *harness, _ *suspicion.Registry, sg backpressure.Signal) {
			add(&sg)
			ha.Gate.Registry.Observe(e0, sg)
		}
	}
	for _, ca := range []struct {
		name   string
		change func(*harness, *suspicion.Registry, backpressure.Signal)
		sent   int
	}{
		{"nothing", func(*harness, *suspicion.Registry, backpressure.Signal) {}, 1},
		{"pause", says(func(sg *backpressure.Signal) { sg.RetryAfter = time.Hour }), 0},
		{"limit", says(func(sg *backpressure.Signal) { sg.Limit = backpressure.Limit{Named: true} }), 0},
		{"brittle", says(func(sg *backpressure.Signal) { sg.Brittle = true }), 0},
		{"says that it leaves", says(func(sg *backpressure.Signal) { sg.Leaving = true }), 0},
		{"leaves", func(ha *harness, _ *suspicion.Registry, _ backpressure.Signal) { ha.Roster.Leave("e0") }, 0},
		{"removal", func(ha *harness, _ *suspicion.Registry, _ backpressure.Signal) {
			ha.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: "e0"}, Removed: true}})
		}, 0},
		{"evacuation", func(ha *harness, _ *suspicion.Registry, _ backpressure.Signal) {
			ha.Roster.SetEvacuatedZones([]string{"a"})
		}, 0},
		{"roll-out", func(ha *harness, _ *suspicion.Registry, _ backpressure.Signal) {
			ha.Rollouts.(*stoppable).stopped = true
		}, 0},
		{"suspicion", func(ha *harness, re *suspicion.Registry, _ backpressure.Signal) { ha.crashesOf(re, "", part, 3) }, 0},
	} {
		for place, before := range map[string]backpressure.Signal{
			"turn": limit(5), "slot": {Brittle: true}, "engine": {}, "turn of a suspect": {},
		} {
			if place == "slot" && ca.name == "brittle" {
				continue // it has been so before
			}
			t.Run(ca.name+" during the wait for "+place, func(t *testing.T) {
				g := NewWithT(t)
				ha := newHarness(t, events(1, 3, true))
				re := ha.suspecting()
				ha.Rollouts = &stoppable{}
				ha.Tracker.Backpressure = ha.Gate.Registry
				cw := &changingWait{place: place, change: func() { ca.change(ha, re, before) }}
				ha.Gate.Limiter, ha.Gate.Slots = changingLimiter{cw}, changingSlots{cw}
				ha.Gate.Usable = func(en roster.Endpoint) bool { _, usable := ha.Roster.View().Usable(en.ID); return usable }
				ha.Gate.Registry.OnLeaving = func(id string, _ int64) { ha.Roster.Leave(id) }
				ha.Gate.Registry.Observe(e0, before)
				switch place {
				case "engine":
					ha.Reserver = changingReserver{cw}
				case "turn of a suspect":
					ha.Turns = changingTurns{cw}
					ha.crashesOf(re, "", part, 1)
				}
				rp := ha.Serve(t.Context(), ha.withPart(part))
				g.Expect(ha.received()).To(Equal(ca.sent), strconv.Itoa(cw.waits)+" waits")
				g.Expect(cw.waits).To(Equal(1))
				if ca.sent == 0 {
					g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.NotRun))
					return
				}
				_, err := readEvents(rp)
				g.Expect(err).NotTo(HaveOccurred())
			})
		}
	}
}
