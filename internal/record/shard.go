package record

import (
	"context"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/platform"
)

// shard batches the changes to one part of the record and writes them in
// conditional updates, one at a time.
type shard struct {
	rc  *Recorder
	key string

	mu      sync.Mutex
	pending []*change
	running bool

	// nextWrite is the time at which the next write is due. It and index are used
	// only by the writer goroutine.
	nextWrite time.Time
	index     *segmentIndex
}

// submit queues a change and starts the writer goroutine if it is not running.
func (sh *shard) submit(ch *change) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.pending = append(sh.pending, ch)
	if !sh.running {
		sh.running = true
		go sh.run()
	}
}

func (sh *shard) takePending() []*change {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	batch := sh.pending
	sh.pending = nil
	return batch
}

// stopIfIdle marks the writer as stopped if no change is pending, and reports
// whether it did.
func (sh *shard) stopIfIdle() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.running = len(sh.pending) > 0
	return !sh.running
}

func (sh *shard) busy() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.running
}

// run writes batches until no change is pending. After an idle period it writes
// up to writeBurst batches without delay. Further batches are WriteInterval
// apart, and the changes that arrive in between are written together.
func (sh *shard) run() {
	for !sh.stopIfIdle() {
		sh.rc.Clock.Sleep(sh.reserveWrite())
		sh.commitWithRetry(sh.takePending())
	}
}

// reserveWrite reserves the next write and returns the delay until it is due.
func (sh *shard) reserveWrite() time.Duration {
	now := sh.rc.Clock.Now()
	earliest := now.Add(-(writeBurst - 1) * sh.rc.WriteInterval)
	if sh.nextWrite.Before(earliest) {
		sh.nextWrite = earliest
	}
	wait := max(0, sh.nextWrite.Sub(now))
	sh.nextWrite = sh.nextWrite.Add(sh.rc.WriteInterval)
	return wait
}

// commitWithRetry commits a batch, together with the changes that arrive
// meanwhile, until it is written or the deadline of every change has passed.
func (sh *shard) commitWithRetry(batch []*change) {
	for try := 1; ; try++ {
		batch = sh.withoutSettled(batch)
		if len(batch) == 0 {
			return
		}
		left, err := sh.commit(batch)
		if err == nil {
			sh.requeue(left)
			return
		}
		sh.rc.countRetry(err)
		sh.rc.Clock.Sleep(backoffOf(err).Delay(try))
		batch = append(batch, sh.takePending()...)
	}
}

// backoffOf returns the back-off after a failed write. It is short after a
// conflict, where it only has to spread the instances that write to the same
// shard, and longer if the platform does not respond, to limit its load.
func backoffOf(err error) platform.Backoff {
	if platform.IsKind(err, platform.Conflict) {
		return platform.Backoff{Base: 5 * time.Millisecond, Cap: 40 * time.Millisecond}
	}
	return platform.Backoff{Base: 10 * time.Millisecond, Cap: 500 * time.Millisecond}
}

func (sh *shard) requeue(left []*change) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.pending = append(left, sh.pending...)
}

// withoutSettled removes changes that are past their deadline, and begins and
// finds whose requester has stopped waiting. A begin that may have been written
// is replaced by its withdrawal. Outcomes and withdrawals are kept until their
// deadline, whether or not the requester still waits.
func (sh *shard) withoutSettled(batch []*change) []*change {
	now := sh.rc.Clock.Now()
	kept := batch[:0]
	for _, ch := range batch {
		over := now.After(ch.deadline)
		if over {
			ch.settle(result{err: &Error{Op: string(ch.op), Kind: Unavailable}})
		}
		givenUp := ch.settled.Load()
		switch {
		case ch.op == opBegin && givenUp && ch.attempted:
			kept = append(kept, newChange(opWithdraw, ch.entry, now.Add(finishTimeout)))
		case over || (givenUp && (ch.op == opBegin || ch.op == opFind)):
		default:
			kept = append(kept, ch)
		}
	}
	return kept
}

// commit applies a batch to the shard's object and writes it. It returns the
// changes that did not fit. After an error the batch may or may not have been
// written.
func (sh *shard) commit(batch []*change) (left []*change, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	ob, err := sh.rc.Store.Get(ctx, sh.key)
	if err != nil && !platform.IsKind(err, platform.NotFound) {
		return nil, err
	}
	pg, err := decodePage(ob.Value)
	if err != nil {
		return nil, err
	}
	now := sh.rc.Clock.Now()
	dropped := pg.expire(now)
	if err := sh.index.load(ctx, sh.rc.Store, pg.Segments); err != nil {
		return nil, err
	}
	done, results, left, modified := sh.apply(pg, batch, now)
	if modified {
		if err := sh.write(ctx, pg, ob.Version, done); err != nil {
			return nil, err
		}
		deleteSegments(ctx, sh.rc.Store, dropped)
	}
	sh.settle(done, results)
	return left, nil
}

// apply applies the batch to the page. Answers for which the page has no room
// are returned in left.
func (sh *shard) apply(pg *page, batch []*change, now time.Time) (done []*change, results []result, left []*change, modified bool) {
	for _, ch := range batch {
		if ch.op == opAnswer && pg.bytes > maxBytesForAnswer {
			left = append(left, ch)
			continue
		}
		re, changed := ch.apply(pg, sh.index.find, now)
		done = append(done, ch)
		results = append(results, re)
		modified = modified || changed
	}
	return done, results, left, modified
}

// write updates the shard's object. Finished entries are first moved to a
// segment if the page is large.
func (sh *shard) write(ctx context.Context, pg *page, previous int64, done []*change) error {
	for _, ch := range done {
		ch.attempted = true
	}
	sealed := sh.seal(ctx, pg)
	data, err := pg.encode(newWriteID())
	if err != nil {
		return &Error{Op: "encode", Kind: Corrupt, Err: err}
	}
	_, err = sh.rc.Store.Update(ctx, sh.key, previous, data)
	switch {
	case err == nil:
		sh.index.addSealed(sealed)
	case sealed == nil:
	case platform.IsKind(err, platform.Unknown):
		sh.rc.events[SegmentLeft].Inc(1)
	default:
		// The page was not written, so nothing will ever refer to the new segment.
		if sealed.discard(ctx, sh.rc.Store) != nil {
			sh.rc.events[SegmentLeft].Inc(1)
		}
	}
	return err
}

// settle delivers the results. A begin that was written although its requester
// had stopped waiting is withdrawn.
func (sh *shard) settle(done []*change, results []result) {
	for ix, ch := range done {
		if IsKind(results[ix].err, Full) {
			sh.rc.events[RefusedFull].Inc(1)
		}
		wanted := ch.settle(results[ix])
		if !wanted && ch.op == opBegin && results[ix].claim.Own {
			until := sh.rc.Clock.Now().Add(finishTimeout)
			sh.requeue([]*change{newChange(opWithdraw, ch.entry, until)})
		}
	}
}
