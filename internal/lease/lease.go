package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/platform"
)

const (
	// Term is how long a successful write grants the lease.
	Term = 6 * time.Second
	// Margin is subtracted from the term by the holder and added to it by
	// contenders.
	// It covers clocks that run at different rates and the time between a check
	// of Held and the effect of the action.
	Margin = 500 * time.Millisecond
	// RenewInterval is the interval at which the holder renews the lease.
	RenewInterval = 2 * time.Second
	// maxReleaseWrites is the number of attempts to write a release, of which
	// all but the last may have an unknown outcome or meet an earlier write
	// that arrives late.
	maxReleaseWrites = 3
)

// Lease is one instance's handle on a lease. Set the exported fields before the
// first call. It is safe for concurrent use, except that only one goroutine may
// call Step and TakeOrRenew.
type Lease struct {
	Store platform.Store
	Clock clockwork.Clock
	Key   string
	// Holder is the name under which this instance holds the lease. It must be
	// unique for each process, including restarts.
	Holder string
	// Address is this instance's peer address.
	Address string

	mu sync.Mutex
	// stored is the last observed or written record, version its version in the
	// store. A contender measures the term from seenAt.
	stored   Record
	version  int64
	seenAt   time.Time
	observed bool
	// maxEpoch is the highest epoch in any record so far.
	maxEpoch int64
	// heldAt is when the last successful write was sent, from which the holder
	// measures the term.
	heldAt  time.Time
	holding bool
	// released is set for good once Release was called.
	released bool
	// pending is the last of the writes that may or may not have taken effect,
	// pendingAt when it was sent, and firstPendingAt when the first of them was.
	pending        Record
	pendingAt      time.Time
	firstPendingAt time.Time
	// writing is closed at the end of the write that is in progress, and nil if
	// there is none.
	writing chan struct{}
}

// Held returns the epoch and true if this instance holds the lease now.
func (le *Lease) Held() (epoch int64, ok bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	if !le.holding || elapsed(le.heldAt, le.Clock.Now()) >= Term-Margin {
		return 0, false
	}
	return le.stored.Epoch, true
}

// Current returns the last observed record, whose term may have expired, and
// false if there is none or it was released.
func (le *Lease) Current() (Record, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.stored, le.observed && !le.stored.Released()
}

// elapsed returns the longer of the monotonic and the wall-clock duration,
// because the monotonic clock stops while a machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Step reads the stored record, and then takes or renews the lease if that is
// due.
func (le *Lease) Step(ctx context.Context) error {
	ob, err := le.Store.Get(ctx, le.Key)
	if err != nil && !platform.IsKind(err, platform.NotFound) {
		return le.fail("read", Unavailable, err)
	}
	if err := le.Observe(ob); err != nil {
		return err
	}
	return le.TakeOrRenew(ctx)
}

// Observe records the stored object, whose version is zero if there is none.
func (le *Lease) Observe(ob platform.Object) error {
	var re Record
	if ob.Version != 0 {
		if err := json.Unmarshal(ob.Value, &re); err != nil {
			return le.fail("read", Malformed, err)
		}
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	if le.observed && ob.Version == le.version {
		return nil
	}
	le.setStored(re, ob.Version, le.Clock.Now())
	return nil
}

// setStored replaces the observed record. A record that this instance did not
// write ends its hold on the lease. A pending write of its own, whose success
// was not known, starts or extends it. The caller holds mu.
func (le *Lease) setStored(re Record, version int64, at time.Time) {
	switch {
	case version != 0 && re == le.pending:
		le.heldAt, le.holding = le.pendingAt, !le.released
	case version != 0 && le.isEarlierPending(re):
		le.heldAt, le.holding = le.firstPendingAt, !le.released
	case le.holding && re != le.stored:
		le.holding = false
	}
	le.pending = Record{}
	le.stored, le.version, le.seenAt, le.observed = re, version, at, true
	le.maxEpoch = max(le.maxEpoch, re.Epoch)
}

// isEarlierPending reports whether the record is one of the pending writes
// before the last. The caller holds mu.
func (le *Lease) isEarlierPending(re Record) bool {
	return re.Holder == le.Holder && re.Epoch == le.pending.Epoch && re.Sequence < le.pending.Sequence &&
		(re.Epoch != le.stored.Epoch || re.Sequence > le.stored.Sequence)
}

// TakeOrRenew takes or renews the lease if that is due. It does nothing before
// the first Observe.
func (le *Lease) TakeOrRenew(ctx context.Context) error {
	next, op := le.next()
	if op == "" {
		return nil
	}
	return le.write(ctx, op, next)
}

// next returns the record to write now and the operation, which is empty if no
// write is due.
func (le *Lease) next() (next Record, op string) {
	le.mu.Lock()
	defer le.mu.Unlock()
	if !le.observed || le.released {
		return Record{}, ""
	}
	now := le.Clock.Now()
	if le.holding && elapsed(le.heldAt, now) < Term-Margin {
		if elapsed(le.heldAt, now) < RenewInterval {
			return Record{}, ""
		}
		return le.withNewSequence(le.stored), "renew"
	}
	le.holding = false
	if !le.isFree() && now.Sub(le.seenAt) < Term+Margin {
		return Record{}, ""
	}
	return le.withNewSequence(Record{Holder: le.Holder, Address: le.Address, Epoch: le.maxEpoch + 1}), "take"
}

// withNewSequence returns a copy with a sequence number that no pending write
// has. If two of them were equal, it could not be known which one took effect,
// and so when the term started. The caller holds mu.
func (le *Lease) withNewSequence(re Record) Record {
	if re.Epoch == le.pending.Epoch {
		re.Sequence = max(re.Sequence, le.pending.Sequence)
	}
	re.Sequence++
	return re
}

// isFree reports whether the lease may be taken without waiting for the end of a
// term: it was released, or this instance has never observed a record. A record
// that is absent or older than one observed before results from a deletion or a
// restored backup, and the holder of the newer one may still be running.
func (le *Lease) isFree() bool {
	if le.version == 0 {
		return le.maxEpoch == 0
	}
	return le.stored.Released() && le.stored.Epoch == le.maxEpoch
}

// write stores next. The term starts before the write is sent, because the
// write may take effect at any time after that.
func (le *Lease) write(ctx context.Context, op string, next Record) error {
	data, err := json.Marshal(next)
	if err != nil {
		return le.fail(op, Malformed, err)
	}
	le.mu.Lock()
	if le.released {
		le.mu.Unlock()
		return nil
	}
	previous, sentAt := le.version, le.Clock.Now()
	if (le.pending == Record{}) {
		le.firstPendingAt = sentAt
	}
	le.pending, le.pendingAt = next, sentAt
	le.writing = make(chan struct{})
	le.mu.Unlock()
	defer le.endWrite()
	version, err := le.Store.Update(ctx, le.Key, previous, data)
	if platform.IsKind(err, platform.Unknown) {
		version, err = le.readBack(ctx, previous, next, err)
	}
	if err != nil {
		return le.handleUpdateError(op, err)
	}
	le.mu.Lock()
	defer le.mu.Unlock()
	le.stored, le.version, le.seenAt = next, version, sentAt
	le.maxEpoch = max(le.maxEpoch, next.Epoch)
	le.heldAt, le.holding, le.pending = sentAt, !le.released, Record{}
	return nil
}

func (le *Lease) endWrite() {
	le.mu.Lock()
	defer le.mu.Unlock()
	close(le.writing)
	le.writing = nil
}

// readBack reads the record to determine whether a write with a lost response
// took effect, and returns its version if it did. A record that is unchanged
// shows nothing, because the write may arrive later.
func (le *Lease) readBack(ctx context.Context, previous int64, next Record, lost error) (int64, error) {
	ob, err := le.Store.Get(ctx, le.Key)
	if err != nil || ob.Version == previous {
		return 0, lost
	}
	var re Record
	if err := json.Unmarshal(ob.Value, &re); err != nil || re != next {
		return 0, &platform.Error{Op: "update", Key: le.Key, Kind: platform.Conflict, Err: lost}
	}
	return ob.Version, nil
}

// handleUpdateError ends the hold on the lease if another instance has written.
// If a lost response could not be resolved by readBack, the pending write stays
// and the next step reads the record again.
func (le *Lease) handleUpdateError(op string, err error) error {
	if !platform.IsKind(err, platform.Conflict) {
		return le.fail(op, Unavailable, err)
	}
	le.mu.Lock()
	le.holding = false
	le.mu.Unlock()
	return le.fail(op, Taken, err)
}

// Release releases the lease, so that the next holder need not wait for the end
// of the term. The caller must have stopped acting under the lease. This
// instance does not take the lease again. Release waits for a write that is in
// progress, and reads the record if it is not known whether the last write took
// effect. It returns when ctx ends at the latest.
func (le *Lease) Release(ctx context.Context) error {
	le.mu.Lock()
	le.holding, le.released = false, true
	writing := le.writing
	le.mu.Unlock()
	if writing != nil {
		select {
		case <-writing:
		case <-ctx.Done():
			return le.fail("release", Unavailable, ctx.Err())
		}
	}
	var err error
	for range maxReleaseWrites {
		var done bool
		if done, err = le.tryRelease(ctx); done {
			return nil
		}
	}
	return err
}

// tryRelease makes one attempt to write the release. It reports whether the
// lease is not this instance's any more.
func (le *Lease) tryRelease(ctx context.Context) (done bool, err error) {
	if err := le.readPending(ctx); err != nil {
		return false, err
	}
	next, version, mine := le.nextRelease()
	if !mine {
		return true, nil
	}
	data, err := json.Marshal(next)
	if err != nil {
		return false, le.fail("release", Malformed, err)
	}
	if _, err := le.Store.Update(ctx, le.Key, version, data); err != nil {
		return false, le.handleUpdateError("release", err)
	}
	return true, nil
}

// nextRelease returns the release to write and the version that it replaces.
// mine is false if the lease is not this instance's. A write that is still
// pending after a read may arrive later, unless the release precedes it.
func (le *Lease) nextRelease() (next Record, version int64, mine bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	base := le.stored
	if (le.pending != Record{}) {
		base = le.pending
	} else if base.Holder != le.Holder {
		return Record{}, 0, false
	}
	le.pending = base.WithRelease()
	return le.pending, le.version, true
}

// readPending reads the record if the outcome of the last write is not known.
func (le *Lease) readPending(ctx context.Context) error {
	le.mu.Lock()
	known := le.pending == Record{}
	le.mu.Unlock()
	if known {
		return nil
	}
	ob, err := le.Store.Get(ctx, le.Key)
	if err != nil && !platform.IsKind(err, platform.NotFound) {
		return le.fail("release", Unavailable, err)
	}
	return le.Observe(ob)
}

func (le *Lease) fail(op string, ki ErrorKind, err error) error {
	if err == nil {
		err = errors.New("no cause")
	}
	return &Error{Op: op, Key: le.Key, Kind: ki, Err: err}
}
