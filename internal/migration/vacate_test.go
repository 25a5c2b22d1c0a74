package migration

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/roster"
)

func (ha *harness) replace(en roster.Endpoint) {
	ha.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: en.ID, Value: &en}}})
}

// Runs move off an engine that stays, also those with a standby copy, and only to an
// engine that is allowed and no longer cold.
func TestVacate(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	ha.Allows = func(en roster.Endpoint) bool { return en.ID != "e2" }
	cold := ha.endpoint("e3")
	cold.ColdFor = 300 * time.Millisecond
	ha.replace(cold)
	ru := ha.addRun("r1")
	ru.SetStandby("e2")
	ha.Vacate(ha.endpoint("e1"))
	time.Sleep(100 * time.Millisecond)
	g.Expect(ha.engines.calls()).To(BeEmpty(), "the target is cold")
	mv, moved := await(ru)
	g.Expect(moved).To(BeTrue())
	g.Expect(mv.Target.ID).To(Equal("e3"))
}

// An engine that leaves while runs move off it is treated like others that leave, from
// then on: runs with a standby copy stay.
func TestVacatedEngineLeaves(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	ev := newEvacuation(ha.endpoint("e1"), ha.Clock.Now().Add(-time.Minute), true)
	g.Expect(ev.sinceNotice(ha.Clock.Now())).To(BeZero())
	ru := ha.addRun("r1")
	ru.SetStandby("e2")
	g.Expect(ha.candidates(ev)[0].standbyUsable).To(BeFalse())
	ha.evacuating = map[string]*evacuation{"e1": ev}
	ha.Evacuate(ha.endpoint("e1"))
	g.Expect(ev.planned()).To(BeFalse())
	g.Expect(ev.sinceNotice(ha.Clock.Now())).To(BeNumerically("<", time.Minute))
	g.Expect(ha.candidates(ev)[0].standbyUsable).To(BeTrue())
}
