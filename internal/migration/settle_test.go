package migration

import (
	"errors"
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261205")
	_ = flag.Set("rapid.checks", "500")
}

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
		{"an answer is lost, then it is gone", []error{lost, ErrNoRun}, "", Gone, Doubtful},
		{"no answers", []error{lost, lost}, "", Unknown, Doubtful},
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

// Whatever happens to orders and their answers on the way, in whichever order: what is
// known of a run never says that it runs if the engine has stopped it, so that a stream
// that the engine closed for that does not count as complete.
func TestKnowledgeIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var kn Knowledge
		stopped, dropped := false, false
		for range rapid.IntRange(1, 8).Draw(rt, "orders") {
			if rapid.IntRange(0, 9).Draw(rt, "drop") == 0 {
				dropped = true
			}
			if !kn.mayOrder() {
				break
			}
			kn = kn.after(OrderSent)
			arrives := rapid.Bool().Draw(rt, "order arrives")
			refused := rapid.Bool().Draw(rt, "refused")
			answered := arrives && rapid.Bool().Draw(rt, "answer arrives")
			unsent := !arrives && rapid.Bool().Draw(rt, "known not to be sent")
			carriedOut := arrives && !refused && !stopped && !dropped
			stopped = stopped || carriedOut
			switch {
			case answered && carriedOut:
				kn = kn.after(CarriedOut)
			case answered, unsent:
				kn = kn.after(NotCarriedOut)
			default:
				kn = kn.after(Unanswered)
			}
			if stopped && kn.ProvesEnd() {
				rt.Fatalf("the engine has stopped the run, known is %v", kn)
			}
		}
	})
}
