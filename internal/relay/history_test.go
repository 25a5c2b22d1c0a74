package relay

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// entry is an item that carries its key.
type entry struct {
	key   string
	value int
}

// An instance that applies the changes since its last state has the current
// state.
func TestHistoryChangesLeadToTheCurrentItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		keys := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		var hi history[entry]
		copied, sequence := make(map[string]entry), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			current := make(map[string]entry)
			for key, value := range rapid.MapOfN(keys, rapid.IntRange(0, 2), 0, 4).Draw(t, "items") {
				current[key] = entry{key: key, value: value}
			}
			hi.observe(current)
			if rapid.Bool().Draw(t, "other change") {
				hi.append("")
			}
			if rapid.Bool().Draw(t, "behind") {
				continue
			}
			changed, removed, known := hi.since(sequence)
			g.Expect(known).To(BeTrue())
			for _, key := range removed {
				delete(copied, key)
			}
			for _, en := range changed {
				copied[en.key] = en
			}
			sequence = hi.sequence
			g.Expect(copied).To(Equal(current))
		}
	})
}

func TestHistoryForgetsOldChanges(t *testing.T) {
	g := NewWithT(t)
	var hi history[int]
	for count := range 2*maxHistory + 1 {
		hi.observe(map[string]int{"a": count})
	}
	_, _, known := hi.since(1)
	g.Expect(known).To(BeFalse())
	changed, removed, known := hi.since(hi.sequence - maxHistory)
	g.Expect(known).To(BeTrue())
	g.Expect(changed).To(Equal([]int{2 * maxHistory}))
	g.Expect(removed).To(BeEmpty())
	_, _, known = hi.since(hi.sequence + 1)
	g.Expect(known).To(BeFalse(), "a number of another history")
}
