package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a pause without a failed call, or one that somebody's answer interrupts, that
// counts as a silence of the store.
func TestContinuity(t *testing.T) {
	const lapse = 2 * time.Second
	for _, ca := range []struct {
		name string
		// answers and failures are when the store answered and calls failed, in ms; the last
		// answer's silence and the unbroken time 100 ms after it are looked at.
		answers, failures []int
		silent, unbroken  time.Duration
	}{
		{"the first answer", []int{1000}, []int{500}, 0, 100 * time.Millisecond},
		{"without a failure", []int{1000, 9000}, nil, 0, 100 * time.Millisecond},
		{"a failure", []int{1000, 4000}, []int{1200}, 3 * time.Second, 100 * time.Millisecond},
		{"a short one", []int{1000, 2000}, []int{1200}, time.Second, 1100 * time.Millisecond},
		{"a failure before the answer before", []int{1000, 2000, 5000}, []int{1500}, 0, 100 * time.Millisecond},
		{"an answer that is told late", []int{1000, 4000, 3000}, []int{1200}, 0, 100 * time.Millisecond},
		{"answers all the while", []int{1000, 2500, 4000, 5500}, []int{5000}, 1500 * time.Millisecond, 4600 * time.Millisecond},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			var co continuity
			var silent, newest time.Duration
			failures := ca.failures
			for _, answer := range ca.answers {
				for len(failures) > 0 && failures[0] < answer {
					co.noteFailure(time.Duration(failures[0]) * time.Millisecond)
					failures = failures[1:]
				}
				at := time.Duration(answer) * time.Millisecond
				silent, newest = co.noteAnswer(at, lapse), max(newest, at)
			}
			g.Expect(silent).To(Equal(ca.silent))
			g.Expect(co.unbroken(newest+100*time.Millisecond, lapse)).To(Equal(ca.unbroken))
			g.Expect(co.unbroken(newest+lapse, lapse)).To(BeZero())
		})
	}
}
