package record

import (
	"sync/atomic"
	"time"
)

// operation is the type of a change.
type operation string

const (
	opBegin    operation = "begin"
	opAnswer   operation = "answer"
	opLose     operation = "lose"
	opWithdraw operation = "withdraw"
	opFind     operation = "find"
)

// Claim is the result of Begin or Find.
type Claim struct {
	// Own means that this Begin created the entry, so that its caller may
	// dispatch the call.
	Own bool
	// Found means that Entry is set.
	Found bool
	Entry Entry
	// requestedAt is the local time at which Begin was called.
	requestedAt time.Time
}

// change is a requested operation on one entry. The shard applies it again until
// a conditional update that contains it is acknowledged. Applying is therefore
// idempotent, based on the write ID of the entry.
type change struct {
	op     operation
	entry  Entry
	answer Answer
	// deadline is the time at which the shard stops trying.
	deadline time.Time
	// attempted means that a write that contains the change may have been sent.
	attempted bool
	// settled is set once, either by the shard when it has a result or by the
	// requester when it stops waiting.
	settled atomic.Bool
	result  chan result
}

// result is the result of a change.
type result struct {
	claim Claim
	// sealedIn is the key of the segment that holds the entry. It is empty if
	// the entry is in the page or does not exist.
	sealedIn string
	err      error
}

func newChange(op operation, en Entry, until time.Time) *change {
	return &change{op: op, entry: en, deadline: until, result: make(chan result, 1)}
}

// settle delivers the result and reports whether the requester was still
// waiting for it.
func (ch *change) settle(re result) bool {
	if !ch.settled.CompareAndSwap(false, true) {
		return false
	}
	ch.result <- re
	return true
}

// abandon stops waiting for the change. It returns false if a result has been
// delivered already.
func (ch *change) abandon() bool { return ch.settled.CompareAndSwap(false, true) }

// apply applies the change to the page. It returns the result, and whether the
// page must be written before the result is valid. sealed looks up the key of the
// segment that holds an entry.
func (ch *change) apply(pg *page, sealed func(Hash) (string, bool), now time.Time) (result, bool) {
	current, found := pg.get(ch.entry.ID)
	if found && current.expired(now) {
		found = false
	}
	if ch.op == opBegin || ch.op == opFind {
		if found {
			own := ch.op == opBegin && current.State == Begun && current.Write == ch.entry.Write
			return result{claim: Claim{Own: own, Found: true, Entry: current}}, false
		}
		return ch.applyToMissing(pg, sealed)
	}
	if ch.op == opWithdraw && !found {
		// A begin that is still in flight is conditional on this version of the
		// page. Writing the page makes that begin fail with a conflict.
		return result{}, true
	}
	if !found || current.Write != ch.entry.Write {
		return result{err: &Error{Op: string(ch.op), Kind: Gone}}, false
	}
	if current.State != Begun {
		return result{claim: Claim{Found: true, Entry: current}}, false
	}
	return ch.applyOutcome(pg, current)
}

// applyToMissing applies a begin or find of a call that is not in the page.
func (ch *change) applyToMissing(pg *page, sealed func(Hash) (string, bool)) (result, bool) {
	if key, moved := sealed(ch.entry.ID); moved {
		return result{sealedIn: key}, false
	}
	if ch.op == opFind {
		return result{}, false
	}
	if len(pg.Segments) >= maxSegments || pg.bytes > maxBytesForBegin || !pg.put(ch.entry) {
		return result{err: &Error{Op: string(ch.op), Kind: Full}}, false
	}
	return result{claim: Claim{Own: true, Found: true, Entry: ch.entry}}, true
}

// applyOutcome applies an answer, a loss or a withdrawal to an entry in state
// Begun.
func (ch *change) applyOutcome(pg *page, current Entry) (result, bool) {
	next := current.WithLost()
	switch ch.op {
	case opWithdraw:
		pg.remove(func(en Entry) bool { return en.ID == current.ID })
		return result{}, true
	case opAnswer:
		next = current.WithAnswer(ch.answer)
	}
	if !pg.put(next) {
		return result{err: &Error{Op: string(ch.op), Kind: Full}}, false
	}
	return result{claim: Claim{Found: true, Entry: next}}, true
}
