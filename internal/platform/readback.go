package platform

import (
	"context"
	"errors"
)

// conditionalWrite is a write that succeeds only if its object has the version
// previous, which makes it safe to retry.
type conditionalWrite struct {
	op, key  string
	previous int64
	send     func() error
	// applied reports whether the object that was read back is the result of
	// this write.
	applied func(ob Object) bool
}

var errUndecided = errors.New("the answer was lost and the object has changed since")

// write retries a conditional write until its outcome is known or no attempt is
// left.
//
// Retrying is safe because the first copy that arrives changes the version and
// all other copies conflict. After a lost response, an earlier copy of the same
// write may have caused the conflict, so the object is read back in that case,
// too.
func (cs *classStore) write(ctx context.Context, wr conditionalWrite) error {
	lost := false
	for try := 1; ; try++ {
		err := cs.attempt(ctx, wr.op, wr.key, cs.gu.writes, wr.send)
		lost = lost || IsKind(err, Unknown)
		needsReadBack := IsKind(err, Unknown) || (lost && (IsKind(err, Conflict) || IsKind(err, NotFound)))
		if needsReadBack {
			decided, result := cs.readBack(ctx, wr)
			if decided {
				return result
			}
			err = result
		}
		if !IsKind(err, Unavailable) && !IsKind(err, Unknown) {
			return err
		}
		if !cs.waitForRetry(ctx, try, err) {
			return cs.finalError(wr, lost, err)
		}
		cs.countRetry(lost)
	}
}

// readBack reads the object to find the outcome of a write whose response was
// lost. decided is false while the object has its previous version, because the
// write may still arrive, and if the object cannot be read. If the object has
// changed otherwise, its value cannot show whether this write took effect in
// between, so the final result is of kind Unknown.
func (cs *classStore) readBack(ctx context.Context, wr conditionalWrite) (decided bool, result error) {
	ob, err := cs.Get(ctx, wr.key)
	if err != nil && !IsKind(err, NotFound) {
		return false, &Error{Op: wr.op, Key: wr.key, Kind: Unknown, Err: err}
	}
	if wr.applied(ob) {
		cs.gu.counts[FoundWritten].Inc(1)
		return true, nil
	}
	if ob.Version == wr.previous {
		return false, &Error{Op: wr.op, Key: wr.key, Kind: Unknown}
	}
	cs.gu.counts[Undecided].Inc(1)
	return true, &Error{Op: wr.op, Key: wr.key, Kind: Unknown, Err: errUndecided}
}

// finalError returns the error of the last attempt, as kind Unknown if any
// response was lost.
func (cs *classStore) finalError(wr conditionalWrite, lost bool, err error) error {
	if !lost {
		return err
	}
	return &Error{Op: wr.op, Key: wr.key, Kind: Unknown, Err: err}
}

func (cs *classStore) countRetry(lost bool) {
	if lost {
		cs.gu.counts[RetryLostWrite].Inc(1)
		return
	}
	cs.gu.counts[RetryUnavailable].Inc(1)
}
