package pause

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// TestFor fails if For returns early, or sleeps on after its context was canceled.
func TestFor(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(t.Context())
	over := make(chan string, 1)
	go func() {
		For(ctx, clock, time.Minute)
		over <- "time"
		For(ctx, clock, time.Hour)
		over <- "context"
	}()
	g.Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
	g.Consistently(over, "20ms").ShouldNot(Receive())
	clock.Advance(time.Minute)
	g.Eventually(over, "5s").Should(Receive(Equal("time")))
	cancel()
	g.Eventually(over, "5s").Should(Receive(Equal("context")))
}
