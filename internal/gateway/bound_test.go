package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/loadshare"
)

// However many instances there are, their parts of the budget stay inside what
// all may use. With a fixed part, 88 instances could have made 1,267 repeats
// beside the ratio where 216 are allowed.
func TestPartsOfTheBudgetAddUp(t *testing.T) {
	for _, count := range []int{1, 6, 88, 340} {
		g := NewWithT(t)
		const extra = 216
		gw := &Gateway{Settings: Settings{RetryExtra: extra}, Clock: clockwork.NewFakeClock()}
		gw.members.Set(make([]loadshare.Member, count))
		wi := gw.Settings.budget(gw.Clock, gw.memberCount)
		g.Expect(wi.Extra() * float64(count)).To(BeNumerically("<=", extra))
		gw.members.Set(nil)
		g.Expect(wi.Extra()*assumedMembers).To(BeNumerically("<=", extra), "as long as the others are not known")
	}
}

func TestAges(t *testing.T) {
	g := NewWithT(t)
	se := Settings{KeyBound: 5 * time.Second, ConfigurationBound: 2 * time.Second}
	g.Expect(se.keyAge()).To(Equal(5*time.Second - proofMargin))
	g.Expect(se.denyAge()).To(Equal(4 * time.Second))
	g.Expect(Settings{KeyBound: 200 * time.Millisecond}.keyAge()).To(Equal(100 * time.Millisecond))
	g.Expect(Settings{}.keyAge()).To(Equal(noBound))
	g.Expect(Settings{}.denyAge()).To(Equal(noBound))
}

func TestReload(t *testing.T) {
	g := NewWithT(t)
	var moved []string
	gw := &Gateway{Adapter: Adapter{Relocate: func(address string) { moved = append(moved, address) }}}
	gw.Reload(Settings{Store: "ignored before the start"})
	g.Expect(moved).To(BeEmpty())
	first := Settings{Store: "a", KeyBound: 5 * time.Second}
	gw.settings.Store(&first)
	gw.Reload(first)
	g.Expect(moved).To(BeEmpty())
	gw.Reload(Settings{Store: "b", KeyBound: 3 * time.Second})
	g.Expect(moved).To(Equal([]string{"b"}))
	g.Expect(gw.ages().Key).To(Equal(3*time.Second - proofMargin))
}
