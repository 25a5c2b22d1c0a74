package placement

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

var standbyDemand = Demand{Engine: testEngine, Prompt: 3000, Output: 400}

// Standby copies protect generations against engine crashes and network
// partitions. They are placed on the engine with the most free memory, first
// within the instance's zone.
func TestWhereStandbyCopiesLie(t *testing.T) {
	for _, ca := range []struct {
		name     string
		primary  string
		reserved map[string]int
		cold     string
		want     string
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
			lt := newTracker(clock)
			list := endpoints("a", "a", "a", "b")
			for ix, en := range list {
				if reserved := ca.reserved[en.ID]; reserved > 0 {
					lt.Begin(en, Demand{Engine: testEngine, Prompt: reserved})
				}
				if en.ID == ca.cold {
					list[ix].ColdUntil = clock.Now().Add(time.Second)
				}
			}
			en, found := lt.ChooseStandby(list, standbyDemand, ca.primary)
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
	lt := newTracker(clockwork.NewFakeClock())
	en := roster.Endpoint{ID: "e0", Zone: "a"}
	ti := lt.Reserve(en, standbyDemand)
	g.Expect(lt.Loads()).To(Equal(map[string]Load{"e0": {ReservedTokens: 3400}}))
	lt.Forget(func(string) bool { return false })
	g.Expect(lt.Loads()).To(HaveLen(1), "an account with reserved memory must not be removed")
	ti.End(Done)
	ti.End(Done)
	g.Expect(lt.Loads()).To(BeEmpty())
	lt.Forget(func(string) bool { return false })
	g.Expect(lt.accounts).To(BeEmpty())
}
