package migration

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The engine of a run whose stream broke off is asked, and the answers tell whether the run
// may go on from its standby copy. It went on without asking.
func TestSettle(t *testing.T) {
	lost := errors.New("lost")
	for _, ca := range []struct {
		name    string
		answers []error
		handle  string
		want    Fate
		known   Knowledge
	}{
		{"the engine still works on it", []error{nil}, "h", Continues, Stopped},
		{"the engine has dropped it", []error{ErrNoRun}, "", Gone, Running},
		{"the engine cannot be reached", []error{ErrNotSent}, "", Gone, Running},
		{"it is being copied", []error{ErrBusy, ErrBusy, nil}, "h", Continues, Stopped},
		{"the engine turns the order away first", []error{ErrRefused, ErrNoRun}, "", Gone, Running},
		{"stopped, but the target has no room", []error{ErrNoRoom}, "h", Continues, Stopped},
		{"an answer is lost, then it is gone", []error{lost, ErrNoRun}, "", Gone, Running},
		{"no answers", []error{lost, lost}, "", Unknown, Running},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			calls := 0
			ha := newHarness(func(_, target string, final bool) (Copied, error) {
				g.Expect(final).To(BeTrue())
				g.Expect(target).To(Equal("e3"), "the engine with the standby copy")
				err := ca.answers[calls]
				calls++
				if calls < len(ca.answers) {
					return Copied{}, err
				}
				return Copied{Handle: ca.handle}, err
			})
			ru := ha.addRun("r1")
			g.Expect(ha.Settle(t.Context(), ru, "e3")).To(Equal(ca.want))
			g.Expect(ru.Known()).To(Equal(ca.known))
			g.Expect(calls).To(Equal(len(ca.answers)))
			mv, moved := ru.Await(t.Context())
			g.Expect(moved).To(Equal(ca.want == Continues))
			if moved {
				g.Expect(mv.Handle).To(Equal("h"))
				mv.Ticket.End(0)
			}
			g.Expect(ha.Tracker.Loads()).To(BeEmpty(), "no ticket is left")
		})
	}
}

// An order of the evacuation that is under way is awaited, and no second one is sent.
func TestSettleAwaitsAnotherOrder(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	ru := ha.addRun("r1")
	g.Expect(ru.beginFinalCopy()).To(BeTrue())
	time.AfterFunc(30*time.Millisecond, func() { ru.finishFinalCopy(NotCarriedOut, nil) })
	g.Expect(ha.Settle(t.Context(), ru, "e2")).To(Equal(Continues))
	g.Expect(ha.engines.calls()).To(HaveLen(1))
}
