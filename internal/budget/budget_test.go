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

// Guards against retry storms when many clients retry at once. In every
// interval of the window's length, the retries are at most the ratio times the
// requests of that interval, plus the extra ones.
func TestNoSpanHasTooManyRepeats(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		extra = 3.0
	)
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		wi := &Window{Clock: clock, Span: span, Ratio: ratio, Extra: func() float64 { return extra }}
		var requests, retries []time.Time
		for range rapid.IntRange(50, 400).Draw(rt, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "request") {
				wi.Arrived("s")
				requests = append(requests, clock.Now())
			}
			if wi.Take("s") {
				retries = append(retries, clock.Now())
			}
		}
		for _, end := range retries {
			allowed := ratio*float64(countWithin(requests, end, span)) + extra
			if got := countWithin(retries, end, span); float64(got) > allowed {
				rt.Fatalf("%d retries in the window that ends at %v, want at most %v", got, end, allowed)
			}
		}
	})
}

func countWithin(list []time.Time, end time.Time, span time.Duration) int {
	count := 0
	for _, at := range list {
		if at.After(end.Add(-span)) && !at.After(end) {
			count++
		}
	}
	return count
}

// Extra is read on every call, so that the parts of all instances still add up
// to the shared budget after another instance joins.
func TestPartShrinksAsInstancesJoin(t *testing.T) {
	g := NewWithT(t)
	extra := 2.0
	wi := &Window{Clock: clockwork.NewFakeClock(), Span: 10 * time.Second, Extra: func() float64 { return extra }}
	g.Expect(wi.Take("s")).To(BeTrue())
	extra = 1
	g.Expect(wi.Take("s")).To(BeFalse())
}

// A process that starts again does not know the retries of the one before: its instance may
// make up to twice its part of the extra ones in one window.
func TestNewProcessHasItsPartAnew(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	const extra = 3
	made := 0
	for range 2 {
		wi := &Window{Clock: clock, Span: 10 * time.Second, Extra: func() float64 { return extra }}
		for wi.Take("s") {
			made++
		}
		clock.Advance(time.Second)
	}
	g.Expect(made).To(Equal(2 * extra))
}
