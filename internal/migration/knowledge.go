package migration

// Knowledge is what is known of a run at its engine: whether it still works on the run,
// or was told to stop it. The table in docs/design/streams.md shows what follows from it
// when the stream of the run ends.
type Knowledge int

const (
	// Running means that the engine was not told to stop the run, or has refused to.
	Running Knowledge = iota
	// Ordered means that an order to stop the run is under way.
	Ordered
	// Stopped means that the engine has stopped the run and kept its memory.
	Stopped
	// Doubtful means that an order to stop the run was sent, and that no answer tells
	// whether it was carried out.
	Doubtful
)

// OrderResult is what the answer to an order to stop a run proves.
type OrderResult int

const (
	// CarriedOut means that the run was stopped and that its memory is kept.
	CarriedOut OrderResult = iota
	// NotCarriedOut means that this order has not stopped the run.
	NotCarriedOut
	// Unanswered means that the order may have been carried out.
	Unanswered
)

// mayOrder reports whether the engine may be told to stop the run.
func (kn Knowledge) mayOrder() bool { return kn == Running || kn == Doubtful }

// after returns what is known after an order. An order that was not carried out leaves
// what was known before it: an earlier one may have been.
func (kn Knowledge) after(or OrderResult) Knowledge {
	switch or {
	case CarriedOut:
		return Stopped
	case NotCarriedOut:
		return kn
	default:
		return Doubtful
	}
}

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
