package migration

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/roster"
)

// Guards against a state that takes an answer for more, or for less, than it proves. The
// row of a state has what follows from the events in their order; -1 is not possible.
func TestTransitions(t *testing.T) {
	const no = Knowledge(-1)
	for _, ca := range []struct {
		name                                                                             string
		from                                                                             Knowledge
		order, carriedOut, notCarriedOut, foundAbsent, call, begun, notBegun, unanswered Knowledge
		provesEnd                                                                        bool
	}{
		{"running", Running, Ordered, no, no, Absent, no, no, no, no, true},
		{"ordered", Ordered, no, Stopped, Running, no, no, no, no, Doubtful, false},
		{"stopped", Stopped, no, no, no, no, Called, no, no, no, false},
		{"doubtful", Doubtful, OrderedInDoubt, no, no, Absent, no, no, no, no, false},
		{"ordered in doubt", OrderedInDoubt, no, Stopped, Doubtful, no, no, no, no, Doubtful, false},
		{"absent", Absent, no, no, no, no, Called, no, no, no, false},
		{"called", Called, no, no, no, no, no, Running, Stopped, Doubtful, false},
	} {
		row := []Knowledge{ca.order, ca.carriedOut, ca.notCarriedOut, ca.foundAbsent, ca.call, ca.begun, ca.notBegun, ca.unanswered}
		for ev, next := range row {
			t.Run(fmt.Sprintf("%s, event %d", ca.name, ev), func(t *testing.T) {
				g := NewWithT(t)
				g.Expect(ca.from.may(Event(ev))).To(Equal(next != no))
				if next == no {
					next = ca.from
				}
				g.Expect(ca.from.after(Event(ev))).To(Equal(next))
			})
		}
		NewWithT(t).Expect(ca.from.ProvesEnd()).To(Equal(ca.provesEnd), ca.name)
	}
}

// runModel has what is true of a run, beside what a Run knows. Engines that cannot be
// reached have crashed here.
type runModel struct {
	*rapid.T
	run *Run
	// works has the engines that work on the run, and at is the one that was told of it last.
	works [3]bool
	at    int
	// stopped is set if an order has stopped the run and it has not begun again.
	stopped bool
	// pending is the order or call under way. What was carried out is decided when it is
	// sent, what the gateway gets to know of that later.
	pending Event
	reply   Event
	target  int
}

const nothingPending = Event(-1)

func engineAt(ix int) roster.Endpoint { return roster.Endpoint{ID: fmt.Sprint("e", ix)} }

func (rm *runModel) draws(label string) bool { return rapid.Bool().Draw(rm.T, label) }

// replyOf draws what the gateway gets to know of what was sent.
func (rm *runModel) replyOf(arrives, done bool, yes, no Event) Event {
	switch {
	case arrives && rm.draws("its answer arrives"):
		if done {
			return yes
		}
		return no
	case !arrives && rm.draws("it is known not to be sent"):
		return no
	default:
		return Unanswered
	}
}

// order lets the mover or the session tell the engine to stop the run.
func (rm *runModel) order() {
	if !rm.run.beginFinalCopy() {
		return
	}
	if rm.pending != nothingPending {
		rm.Fatalf("an order while %v is under way", rm.pending)
	}
	arrives := rm.draws("the order arrives")
	done := arrives && rm.works[rm.at] && rm.draws("it is carried out")
	if done {
		rm.works[rm.at], rm.stopped = false, true
	}
	rm.pending, rm.reply, rm.target = OrderSent, rm.replyOf(arrives, done, CarriedOut, NotCarriedOut), rapid.IntRange(0, 2).Draw(rm.T, "target")
}

// call lets the session call an engine with a copy, which it does only if the run allows it.
func (rm *runModel) call(target int) {
	arrives := rm.draws("the call arrives")
	done := arrives && rm.draws("the run begins")
	rm.at = target
	rm.works[target] = rm.works[target] || done
	rm.stopped = rm.stopped && !done
	rm.pending, rm.reply = CallSent, rm.replyOf(arrives, done, Begun, NotBegun)
}

// answer lets the gateway get to know of the order or call under way.
func (rm *runModel) answer() {
	switch {
	case rm.pending == OrderSent && rm.reply == CarriedOut:
		rm.run.finishFinalCopy(rm.reply, &Moved{Target: engineAt(rm.target)})
	case rm.pending == OrderSent:
		rm.run.finishFinalCopy(rm.reply, nil)
	case rm.pending == CallSent:
		rm.run.RecordCall(rm.reply)
	}
	rm.pending = nothingPending
}

// goOn lets the session of a broken stream do what it may.
func (rm *runModel) goOn() {
	if rm.pending == CallSent {
		return
	}
	// Without it, the order was sent and answered after the session had waited.
	if rm.pending == nothingPending && rm.draws("the session awaits the order") {
		if mv, moved := rm.run.Await(rm.Context()); moved {
			rm.call(int(mv.Target.ID[1] - '0'))
			return
		}
	}
	mayAsk := !rm.works[rm.at] || rm.run.Known() == Stopped
	if !mayAsk || !rm.run.RecordAbsence() {
		return
	}
	if rm.pending != nothingPending {
		rm.Fatalf("the run may go on while an order is under way")
	}
	target := rapid.IntRange(0, 2).Draw(rm.T, "copy")
	rm.run.TakeOver(engineAt(target))
	rm.call(target)
}

func (rm *runModel) check() {
	working := 0
	for _, works := range rm.works {
		if works {
			working++
		}
	}
	kn := rm.run.Known()
	switch {
	case working > 1:
		rm.Fatalf("%d engines work on the run", working)
	case kn == Stopped && working > 0, kn == Absent && working > 0:
		rm.Fatalf("an engine works on the run, known is %v", kn)
	case kn.ProvesEnd() && rm.stopped:
		rm.Fatalf("the end of a stopped run's stream counts as complete")
	case kn.ProvesEnd() && rm.run.Endpoint().ID != engineAt(rm.at).ID:
		rm.Fatalf("the run is at %v", rm.at)
	}
}

// Guards against two engines that work on one run, and against a stream that ends as
// complete although its run was stopped: in whichever order orders and calls are sent, get
// lost, are rejected, are carried out and are answered, and engines drop the run.
func TestRunIsNeverTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rm := &runModel{T: rt, run: &Run{}, works: [3]bool{true}, pending: nothingPending}
		rm.run.SetEndpoint(engineAt(0))
		steps := []func(){rm.order, rm.answer, rm.goOn, func() { rm.works[rm.at] = false }}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
			rm.check()
		}
	})
}
