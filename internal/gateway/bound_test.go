package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/loadshare"
)

// The shares of all instances must not add up to more than the retry budget. With
// a fixed share, 88 instances could have made 1,267 retries beyond the ratio where
// 216 are allowed.
func TestPartsOfTheBudgetAddUp(t *testing.T) {
	for _, count := range []int{1, 6, 88, 340} {
		g := NewWithT(t)
		const extra = 216
		gw := &Gateway{Settings: Settings{RetryExtra: extra}, Clock: clockwork.NewFakeClock()}
		gw.members.Set(make([]loadshare.Member, count))
		wi := gw.Settings.budget(gw.Clock, gw.instanceCount)
		g.Expect(wi.Extra() * float64(count)).To(BeNumerically("<=", extra))
		gw.members.Set(nil)
		g.Expect(wi.Extra()*assumedInstances).To(BeNumerically("<=", extra), "while the number of instances is unknown")
	}
}

func TestAges(t *testing.T) {
	g := NewWithT(t)
	se := Settings{KeyRevocationBound: 5 * time.Second, ConfigurationBound: 2 * time.Second}
	g.Expect(se.maxKeyAge()).To(Equal(5*time.Second - confirmationMargin))
	g.Expect(se.maxDenyAge()).To(Equal(4 * time.Second))
	g.Expect(Settings{KeyRevocationBound: 200 * time.Millisecond}.maxKeyAge()).To(Equal(100 * time.Millisecond))
	g.Expect(Settings{}.maxKeyAge()).To(Equal(unlimitedAge))
	g.Expect(Settings{}.maxDenyAge()).To(Equal(unlimitedAge))
}

func TestReload(t *testing.T) {
	g := NewWithT(t)
	var relocations []string
	gw := &Gateway{Adapter: Adapter{Relocate: func(address string) { relocations = append(relocations, address) }}}
	g.Expect(gw.Reload(Settings{Store: "ignored before the start"})).To(BeFalse())
	g.Expect(relocations).To(BeEmpty())
	first := Settings{Store: "a", KeyRevocationBound: 5 * time.Second}
	gw.settings.Store(&first)
	g.Expect(gw.Reload(first)).To(BeTrue())
	g.Expect(relocations).To(BeEmpty())
	g.Expect(gw.Reload(Settings{Store: "b", KeyRevocationBound: 3 * time.Second})).To(BeTrue())
	g.Expect(relocations).To(Equal([]string{"b"}))
	g.Expect(gw.maxAges().Key).To(Equal(3*time.Second - confirmationMargin))
}
