package record

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/platform"
)

const (
	// shardCount is the number of objects that changes are written to. It must
	// never change, because it determines in which object an entry is looked up.
	shardCount = 2
	// defaultWriteInterval is the default of Recorder.WriteInterval.
	defaultWriteInterval = 100 * time.Millisecond
	// writeBurst is the number of writes to a shard that may follow each other
	// without delay after an idle period.
	writeBurst = 4
	// defaultRetention is the default of Recorder.Retention.
	defaultRetention = 24 * time.Hour
	// commitTimeout is the timeout of one attempt to read and write a shard.
	commitTimeout = 2 * time.Second
	// beginTimeout is the timeout for recording that a call begins, and for
	// reading an entry.
	beginTimeout = 5 * time.Second
	// finishTimeout is how long an instance keeps trying to record an outcome or
	// a withdrawal.
	finishTimeout = 10 * time.Minute
	// drainTimeout is how long Run waits for pending writes after its context
	// ends.
	drainTimeout = 5 * time.Second
	// minPollInterval and maxPollInterval bound the interval at which Await reads
	// the entry.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
)

// prefix is the common prefix of the keys of all stored objects.
const prefix = "records/"

// Reason is a value of the label reason of the counter record_events, which counts
// failed and incomplete reads and writes.
type Reason string

// The reasons that a Recorder counts.
const (
	// RetryConflict counts writes that conflicted with a write of another
	// instance.
	RetryConflict Reason = "conflict"
	// RetryUnavailable counts reads and writes that failed because the platform
	// was not available.
	RetryUnavailable Reason = "unavailable"
	// RetryUnknown counts writes whose response was lost, so that it is not known
	// whether they took effect.
	RetryUnknown Reason = "unknown"
	// RetryCorrupt counts attempts that failed for any other reason, for example
	// because a stored object could not be decoded.
	RetryCorrupt Reason = "corrupt"
	// RefusedFull counts changes that were refused because their shard was full.
	RefusedFull Reason = "full"
	// SegmentLeft counts segments that may stay in the store without a page that
	// refers to them, because the response to a write was lost or they could not be
	// deleted.
	SegmentLeft Reason = "segment_left"
)

var reasons = []Reason{RetryConflict, RetryUnavailable, RetryUnknown, RetryCorrupt, RefusedFull, SegmentLeft}

// Recorder records calls in the platform. The fields must be set before the
// first use, and zero durations select the defaults. It is safe for concurrent
// use.
type Recorder struct {
	Store platform.Store
	// Instance is the name of this instance. It is stored in each entry that the
	// instance creates.
	Instance string
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Scope    tally.Scope
	// WriteInterval is the minimum average interval between two writes of this
	// instance to a shard. Retries, and writes of segments, are not counted. It
	// limits the write rate of the fleet, and the latency that batching adds to a
	// call. Zero means 100 ms.
	WriteInterval time.Duration
	// Retention is the minimum time for which the outcome of a call is kept,
	// counted from the deadline of the call. Zero means 24 h.
	Retention time.Duration

	once   sync.Once
	shards [shardCount]*shard
	events map[Reason]tally.Counter
}

func newWriteID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func (rc *Recorder) prepare() {
	rc.once.Do(func() {
		if rc.WriteInterval == 0 {
			rc.WriteInterval = defaultWriteInterval
		}
		if rc.Retention == 0 {
			rc.Retention = defaultRetention
		}
		scope := rc.Scope
		if scope == nil {
			scope = tally.NoopScope
		}
		rc.events = metric.Reasons(scope, "record_events", reasons)
		for ix := range rc.shards {
			rc.shards[ix] = &shard{rc: rc, key: fmt.Sprintf("%s%02d", prefix, ix), index: newSegmentIndex()}
		}
	})
}

func (rc *Recorder) shard(id Hash) *shard {
	rc.prepare()
	return rc.shards[int(id[0])%shardCount]
}

func (rc *Recorder) countRetry(err error) {
	re := RetryCorrupt
	switch {
	case platform.IsKind(err, platform.Conflict):
		re = RetryConflict
	case platform.IsKind(err, platform.Unavailable):
		re = RetryUnavailable
	case platform.IsKind(err, platform.Unknown):
		re = RetryUnknown
	default:
		rc.Log.Error().Err(err).Msg("record: stored object cannot be read or written; retrying until the changes time out")
	}
	rc.events[re].Inc(1)
}

// Name implements controller.Controller.
func (rc *Recorder) Name() string { return "record" }

// Run reads all shards and their segments once, so that the first calls do not
// have to. When ctx ends, it waits up to 5 s for pending writes.
func (rc *Recorder) Run(ctx context.Context) error {
	rc.prepare()
	for _, sh := range rc.shards {
		sh.submit(newChange(opFind, Entry{}, rc.Clock.Now().Add(commitTimeout)))
	}
	<-ctx.Done()
	deadline := rc.Clock.Now().Add(drainTimeout)
	for rc.busy() && rc.Clock.Now().Before(deadline) {
		rc.Clock.Sleep(drainTimeout / 500)
	}
	return nil
}

func (rc *Recorder) busy() bool {
	for _, sh := range rc.shards {
		if sh.busy() {
			return true
		}
	}
	return false
}

// Begin records that a call begins, unless the call is recorded already. The
// call may be dispatched only if Own is set in the returned claim. After an error
// it must not be dispatched, and if the entry was written nevertheless, it is
// withdrawn.
func (rc *Recorder) Begin(ctx context.Context, id, digest Hash, deadline time.Time) (Claim, error) {
	now := rc.Clock.Now()
	en := Entry{
		ID: id, State: Begun, Write: newWriteID(), Instance: rc.Instance, Digest: digest,
		BegunMS: now.UnixMilli(), UntilMS: deadline.UnixMilli(), ExpiresMS: deadline.Add(rc.retention()).UnixMilli(),
	}
	until := now.Add(beginTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	cl, err := rc.submitAndWait(ctx, newChange(opBegin, en, until))
	cl.requestedAt = now
	return cl, err
}

func (rc *Recorder) retention() time.Duration {
	rc.prepare()
	return rc.Retention
}

// Find reads the entry of a call. Found is false in the returned claim if there
// is none.
func (rc *Recorder) Find(ctx context.Context, id Hash) (Claim, error) {
	return rc.submitAndWait(ctx, newChange(opFind, Entry{ID: id}, rc.Clock.Now().Add(beginTimeout)))
}

// submitAndWait submits a change and waits for its result until ctx ends.
func (rc *Recorder) submitAndWait(ctx context.Context, ch *change) (Claim, error) {
	rc.shard(ch.entry.ID).submit(ch)
	var re result
	select {
	case re = <-ch.result:
	case <-ctx.Done():
		if ch.abandon() {
			return Claim{}, &Error{Op: string(ch.op), Kind: Unavailable, Err: ctx.Err()}
		}
		re = <-ch.result
	}
	if re.err != nil || re.sealedIn == "" {
		return re.claim, re.err
	}
	return rc.readSealed(ctx, ch, re.sealedIn)
}

// readSealed reads the entry of a change from the segment with the given key.
func (rc *Recorder) readSealed(ctx context.Context, ch *change, key string) (Claim, error) {
	list, err := readSegment(ctx, rc.Store, key)
	if err != nil {
		return Claim{}, &Error{Op: string(ch.op), Kind: Unavailable, Err: err}
	}
	for _, en := range list {
		if en.ID == ch.entry.ID {
			return Claim{Found: true, Entry: en}, nil
		}
	}
	return Claim{}, &Error{Op: string(ch.op), Kind: Corrupt}
}

// dispatchWindow is how long after the call of Begin its claim may be used
// without reading the entry again.
const dispatchWindow = time.Second

// Confirm returns nil if the owner of a claim may still dispatch the call. A claim
// that was requested within the last second is valid. The entry of an older one,
// for example after the process was paused, is read again, and the claim is valid
// only if the entry is unchanged and not abandoned. The error has kind Gone if the
// claim is not valid, and another kind if the entry could not be read.
func (rc *Recorder) Confirm(ctx context.Context, cl Claim) error {
	now := rc.Clock.Now()
	// Round strips the monotonic clock reading. The larger of the two intervals
	// is used, because the monotonic clock may stop while the machine is suspended
	// and the wall clock may be set back.
	elapsed := max(now.Sub(cl.requestedAt), now.Round(0).Sub(cl.requestedAt.Round(0)))
	if elapsed <= dispatchWindow {
		return nil
	}
	current, err := rc.Find(ctx, cl.Entry.ID)
	if err != nil {
		return err
	}
	same := current.Found && current.Entry.State == Begun && current.Entry.Write == cl.Entry.Write
	if !same || current.Entry.Abandoned(rc.Clock.Now()) {
		return &Error{Op: "confirm", Kind: Gone}
	}
	return nil
}

// Answer records the answer of a call that this instance began. It returns
// when the answer is written or ctx ends. In the latter case the recorder
// keeps trying to write it for up to 10 minutes.
func (rc *Recorder) Answer(ctx context.Context, cl Claim, an Answer) error {
	ch := newChange(opAnswer, cl.Entry, rc.Clock.Now().Add(finishTimeout))
	ch.answer = an
	_, err := rc.submitAndWait(ctx, ch)
	return err
}

// MarkLost records that the call may have run and that its answer is lost. It waits
// and retries as Answer does.
func (rc *Recorder) MarkLost(ctx context.Context, cl Claim) error {
	_, err := rc.submitAndWait(ctx, newChange(opLose, cl.Entry, rc.Clock.Now().Add(finishTimeout)))
	return err
}

// Withdraw removes the entry of a call that this instance began but has not
// dispatched and will not dispatch. It returns immediately and retries in the
// background.
func (rc *Recorder) Withdraw(cl Claim) {
	rc.shard(cl.Entry.ID).submit(newChange(opWithdraw, cl.Entry, rc.Clock.Now().Add(finishTimeout)))
}

// Await polls the entry of a call that another request began until the call has
// an outcome, is withdrawn, or is abandoned. When ctx ends, it returns the claim
// that was read last.
func (rc *Recorder) Await(ctx context.Context, cl Claim) Claim {
	pause := minPollInterval
	for cl.Found && cl.Entry.State == Begun && !cl.Entry.Abandoned(rc.Clock.Now()) {
		select {
		case <-rc.Clock.After(pause):
		case <-ctx.Done():
			return cl
		}
		pause = min(pause*3/2, maxPollInterval)
		if next, err := rc.Find(ctx, cl.Entry.ID); err == nil {
			cl = next
		}
	}
	return cl
}
