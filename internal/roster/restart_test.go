package roster

import (
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/feed"
)

// A process that starts when the store was restored does not know which endpoints of the
// copy had been removed: it uses them until the store removes their entries. One that ran
// before doesn't use them.
func TestNewProcessUsesTheCopyOfARestoredStore(t *testing.T) {
	g := NewWithT(t)
	before, restarted := newFixture(), newFixture()
	before.Reset([]feed.Object[Endpoint]{object("e1"), object("e2")})
	before.Apply(removed("e1"))
	copied := []feed.Object[Endpoint]{object("e1"), object("e2")}
	before.Restored()
	before.Reset(copied)
	g.Expect(before.ready()).To(Equal([]string{"e2"}))
	restarted.Reset(copied)
	g.Expect(restarted.ready()).To(Equal([]string{"e1", "e2"}))
	restarted.Apply(removed("e1"))
	g.Expect(restarted.ready()).To(Equal([]string{"e2"}))
}
