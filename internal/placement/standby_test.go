package placement

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

var standbyWork = Work{Engine: testEngine, Prompt: 3000, Output: 400}

// Standby copies protect generations against engine crashes and network
// partitions. They are placed on the engine with the most free memory, first
// within the instance's zone.
func TestWhereStandbyCopiesLie(t *testing.T) {
	for _, ca := range []struct {
		name    string
		primary string
		held    map[string]int
		cold    string
		want    string
	}{
		{"engine with the most free memory", "e0", map[string]int{"e1": 9000, "e2": 4000}, "", "e2"},
		{"instance's zone preferred to more free memory", "e0", map[string]int{"e1": 6000, "e2": 6000}, "", "e1 or e2"},
		{"instance's zone also for a primary in another zone", "e3", map[string]int{"e0": 2000, "e1": 2500, "e2": 9000}, "", "e0"},
		{"other zone if no engine in the instance's zone has room", "e0", map[string]int{"e1": 20_000, "e2": 20_000}, "", "e3"},
		{"not on an engine in cold start", "e0", map[string]int{"e1": 9000}, "e2", "e1"},
		{"none while the engines are half full on average", "e3", map[string]int{"e0": 34_000, "e1": 34_000}, "", ""},
		{"none without an engine that has room", "e0", map[string]int{"e1": 20_000, "e2": 20_000, "e3": 20_000}, "", ""},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			bo := newBoard(clock)
			list := endpoints("a", "a", "a", "b")
			for ix, en := range list {
				if held := ca.held[en.ID]; held > 0 {
					bo.Begin(en, Work{Engine: testEngine, Prompt: held})
				}
				if en.ID == ca.cold {
					list[ix].ColdUntil = clock.Now().Add(time.Second)
				}
			}
			en, found := bo.ChooseStandby(list, standbyWork, ca.primary)
			g.Expect(found).To(Equal(ca.want != ""))
			if found {
				g.Expect(ca.want).To(ContainSubstring(en.ID))
			}
		})
	}
}

// Memory reserved for a standby copy appears in the loads reported to other
// instances until its ticket ends, and counts as no running generation.
func TestReservedMemory(t *testing.T) {
	g := NewWithT(t)
	bo := newBoard(clockwork.NewFakeClock())
	en := roster.Endpoint{ID: "e0", Zone: "a"}
	ti := bo.Reserve(en, standbyWork)
	g.Expect(bo.Loads()).To(Equal(map[string]Load{"e0": {Held: 3400}}))
	bo.Forget(func(string) bool { return false })
	g.Expect(bo.Loads()).To(HaveLen(1), "an account with reserved memory must not be removed")
	ti.End(Done)
	ti.End(Done)
	g.Expect(bo.Loads()).To(BeEmpty())
	bo.Forget(func(string) bool { return false })
	g.Expect(bo.accounts).To(BeEmpty())
}
