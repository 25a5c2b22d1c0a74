package placement

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

var standbyWork = Work{Engine: testEngine, Prompt: 3000, Output: 400}

// Pattern: engines crash, and zones are cut off. Copies lie at the engine of the
// instance's zone with most memory to spare.
func TestWhereStandbyCopiesLie(t *testing.T) {
	for _, ca := range []struct {
		name    string
		primary string
		held    map[string]int
		cold    string
		want    string
	}{
		{"most memory to spare", "e0", map[string]int{"e1": 9000, "e2": 4000}, "", "e2"},
		{"the own zone before more memory", "e0", map[string]int{"e1": 6000, "e2": 6000}, "", "e1 or e2"},
		{"the own zone also for a run elsewhere", "e3", map[string]int{"e0": 2000, "e1": 2500, "e2": 9000}, "", "e0"},
		{"another zone where the own has none to spare", "e0", map[string]int{"e1": 20_000, "e2": 20_000}, "", "e3"},
		{"not at a cold engine", "e0", map[string]int{"e1": 9000}, "e2", "e1"},
		{"nowhere while the engines are half full", "e3", map[string]int{"e0": 34_000, "e1": 34_000}, "", ""},
		{"nowhere", "e0", map[string]int{"e1": 20_000, "e2": 20_000, "e3": 20_000}, "", ""},
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

// Reserved memory counts for all instances until it is released, and nothing
// runs for it.
func TestReservedMemory(t *testing.T) {
	g := NewWithT(t)
	bo := newBoard(clockwork.NewFakeClock())
	en := roster.Endpoint{ID: "e0", Zone: "a"}
	ti := bo.Reserve(en, standbyWork)
	g.Expect(bo.Loads()).To(Equal(map[string]Load{"e0": {Held: 3400}}))
	bo.Forget(func(string) bool { return false })
	g.Expect(bo.Loads()).To(HaveLen(1), "an account with something in it stays")
	ti.End(Done)
	ti.End(Done)
	g.Expect(bo.Loads()).To(BeEmpty())
	bo.Forget(func(string) bool { return false })
	g.Expect(bo.accounts).To(BeEmpty())
}
