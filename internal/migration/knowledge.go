package migration

// Knowledge is what is known of a run: whether an engine works on it, or may. transitions
// has what each event makes of it. The tables in docs/design/streams.md show what follows
// for the stream of the run.
type Knowledge int

const (
	// Running means that the run's engine was not ordered to stop it, or has refused to.
	Running Knowledge = iota
	// Ordered means that an order to stop the run is under way.
	Ordered
	// Stopped means that no engine works on the run, and that it may go on from a copy.
	Stopped
	// Doubtful means that the engine may work on the run or not: an order to stop it, or a
	// call to let it go on, was sent, and no answer proves what became of that.
	Doubtful
	// OrderedInDoubt means that an order to stop a doubtful run is under way.
	OrderedInDoubt
	// Absent means that the stream of the run broke off, and that its engine has no such run
	// or cannot be reached.
	Absent
	// Called means that the engine of a copy was called to let the run go on, and has not
	// answered yet.
	Called
)

// Event is what changes the knowledge of a run.
type Event int

const (
	// OrderSent is an order to the engine to stop the run.
	OrderSent Event = iota
	// CarriedOut is an answer by which the run was stopped and its memory is kept.
	CarriedOut
	// NotCarriedOut is an answer by which this order has not stopped the run.
	NotCarriedOut
	// FoundAbsent means that the engine of a broken stream has no such run, or cannot be
	// reached.
	FoundAbsent
	// CallSent is a call to the engine of a copy to let the run go on.
	CallSent
	// Begun is an answer with the stream of the run.
	Begun
	// NotBegun means that the engine does not work on the run: it says so, or the call was
	// not sent.
	NotBegun
	// Unanswered means that what was sent has no answer that proves anything, and may have
	// been carried out.
	Unanswered
)

// transitions has the next state for each event that is possible in a state. An order
// that was not carried out leaves what was known before it: an earlier one may have been.
var transitions = map[Knowledge]map[Event]Knowledge{
	Running:        {OrderSent: Ordered, FoundAbsent: Absent},
	Ordered:        {CarriedOut: Stopped, NotCarriedOut: Running, Unanswered: Doubtful},
	Stopped:        {CallSent: Called},
	Doubtful:       {OrderSent: OrderedInDoubt, FoundAbsent: Absent},
	OrderedInDoubt: {CarriedOut: Stopped, NotCarriedOut: Doubtful, Unanswered: Doubtful},
	Absent:         {CallSent: Called},
	Called:         {Begun: Running, NotBegun: Stopped, Unanswered: Doubtful},
}

// may reports whether an event is possible.
func (kn Knowledge) may(ev Event) bool {
	_, possible := transitions[kn][ev]
	return possible
}

// after returns what is known after an event. An event that is not possible changes nothing.
func (kn Knowledge) after(ev Event) Knowledge {
	if next, possible := transitions[kn][ev]; possible {
		return next
	}
	return kn
}

// mayOrder reports whether the engine may be ordered to stop the run.
func (kn Knowledge) mayOrder() bool { return kn.may(OrderSent) }

// ProvesEnd reports whether a stream that ends with its connection, after a whole event,
// is complete. Otherwise the engine may have closed it because it stopped the run.
func (kn Knowledge) ProvesEnd() bool { return kn == Running }

// Fate is what became of a run whose stream broke off.
type Fate int

const (
	// Gone means that the engine has no such run, or cannot be reached.
	Gone Fate = iota
	// Continues means that the engine has stopped the run. Run.Await returns where it
	// goes on.
	Continues
	// Unknown means that the engine may still work on the run.
	Unknown
)
