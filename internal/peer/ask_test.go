package peer

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// A caller that left waited for the answer to a call that nobody could cancel.
func TestAskReturnsWhenTheCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	release, late := make(chan struct{}), make(chan int, 1)
	call := func() int {
		cancel()
		<-release
		return 7
	}
	_, answered := Ask(ctx, call, func(answer int) { late <- answer })
	g.Expect(answered).To(BeFalse())
	close(release)
	g.Eventually(late, "5s").Should(Receive(Equal(7)))

	for _, ctx := range []context.Context{t.Context(), context.Background()} {
		answer, answered := Ask(ctx, func() int { return 8 }, nil)
		g.Expect(answered).To(BeTrue())
		g.Expect(answer).To(Equal(8))
	}
}
