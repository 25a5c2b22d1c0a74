package budget

import (
	"flag"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	wi := &Window{Clock: clockwork.NewFakeClock(), Span: 10 * time.Second, Extra: func() float64 { return 1 }}
	g.Expect(wi.Take("a")).To(BeTrue())
	g.Expect(wi.Take("a")).To(BeFalse())
	g.Expect(wi.Take("b")).To(BeTrue())
}

// Pattern: many clients repeat at once and often. In each span of the window's
// length there are no more repeats than the ratio of the requests of that span
// and the extra ones.
func TestNoSpanHasTooManyRepeats(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		extra = 3.0
	)
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		wi := &Window{Clock: clock, Span: span, Ratio: ratio, Extra: func() float64 { return extra }}
		var requests, repeats []time.Time
		for range rapid.IntRange(50, 400).Draw(rt, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "request") {
				wi.Arrived("s")
				requests = append(requests, clock.Now())
			}
			if wi.Take("s") {
				repeats = append(repeats, clock.Now())
			}
		}
		for _, end := range repeats {
			allowed := ratio*float64(within(requests, end, span)) + extra
			if got := within(repeats, end, span); float64(got) > allowed {
				rt.Fatalf("%d repeats in the span to %v, allowed are %v", got, end, allowed)
			}
		}
	})
}

func within(list []time.Time, end time.Time, span time.Duration) int {
	count := 0
	for _, at := range list {
		if at.After(end.Add(-span)) && !at.After(end) {
			count++
		}
	}
	return count
}

// The parts of all instances add up to the shared budget, also when more join.
func TestPartShrinksAsInstancesJoin(t *testing.T) {
	g := NewWithT(t)
	part := 2.0
	wi := &Window{Clock: clockwork.NewFakeClock(), Span: 10 * time.Second, Extra: func() float64 { return part }}
	g.Expect(wi.Take("s")).To(BeTrue())
	part = 1
	g.Expect(wi.Take("s")).To(BeFalse())
}
