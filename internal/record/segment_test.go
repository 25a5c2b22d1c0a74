package record_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/record"
)

func newRecorder(st platform.Store, name string) *record.Recorder {
	return &record.Recorder{Store: st, Instance: name, Clock: clockwork.NewRealClock()}
}

func id(ix int) record.Hash { return record.NewID("team", "desk", fmt.Sprint(ix)) }

// runConcurrently runs do concurrently for each number from 0 to total-1.
func runConcurrently(total int, do func(ix int)) {
	var wg sync.WaitGroup
	for ix := range total {
		wg.Go(func() { do(ix) })
	}
	wg.Wait()
}

func begin(rc *record.Recorder, ix int) (record.Claim, error) {
	return rc.Begin(context.Background(), id(ix), record.Hash{1}, time.Now().Add(time.Minute))
}

// checkSizes fails the test if an object is larger than three quarters of the
// size that the platform accepts.
func checkSizes(t *testing.T, st *platformfake.Store) {
	for key, ob := range st.Snapshot() {
		if len(ob.Value) > platform.MaxValueBytes*3/4 {
			t.Errorf("%s has %d bytes", key, len(ob.Value))
		}
	}
}

func countSegments(st *platformfake.Store) (total int) {
	for key := range st.Snapshot() {
		if strings.Count(key, "/") == 2 {
			total++
		}
	}
	return total
}

// Scenario: answers are moved to segments. They must be found by the instance
// that moved them, by another running instance, and by one that starts later.
func TestAnswersAreFoundInSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls, rounds, sample = 150, 8, 24
		st := platformfake.New()
		writer, bystander := newRecorder(st, "entry-0"), newRecorder(st, "entry-1")
		answer := func(ix int) record.Answer {
			return record.Answer{Status: 200, Body: []byte(fmt.Sprintf("%d%s", ix, strings.Repeat(".", 600)))}
		}
		for round := range rounds {
			runConcurrently(calls, func(ix int) {
				ix += round * calls
				cl, err := begin(writer, ix)
				if err != nil || !cl.Own || writer.Answer(context.Background(), cl, answer(ix)) != nil {
					t.Errorf("call %d was not recorded: %+v, %v", ix, cl, err)
				}
			})
		}
		if countSegments(st) < 2 {
			t.Fatalf("%d segments, want at least 2", countSegments(st))
		}
		checkSizes(t, st)
		for _, rc := range []*record.Recorder{writer, bystander, newRecorder(st, "entry-2")} {
			runConcurrently(sample, func(ix int) {
				ix *= rounds * calls / sample
				cl, err := begin(rc, ix)
				if err != nil || cl.Own || cl.Entry.Answer == nil || string(cl.Entry.Answer.Body) != string(answer(ix).Body) {
					t.Errorf("%s: call %d: own %t, %v", rc.Instance, ix, cl.Own, err)
				}
			})
		}
	})
}

// Scenario: the retention of entries passes. The entries must be removed, and
// with them their segments.
func TestEntriesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := platformfake.New()
		rc := newRecorder(st, "entry-0")
		for round := range 3 {
			runConcurrently(200, func(ix int) {
				cl, _ := begin(rc, round*200+ix)
				_ = rc.Answer(context.Background(), cl, record.Answer{Status: 200, Body: make([]byte, 800)})
			})
		}
		before := countSegments(st)
		time.Sleep(23 * time.Hour)
		if cl, err := begin(rc, 0); err != nil || cl.Own {
			t.Errorf("a key could be used again within the retention: %v", err)
		}
		time.Sleep(2 * time.Hour)
		// Expired entries and segments are removed with the next write to a shard.
		runConcurrently(64, func(ix int) {
			cl, err := begin(rc, ix)
			if err != nil || !cl.Own {
				t.Errorf("key %d could not be used again after the retention: %v", ix, err)
			}
		})
		if after := countSegments(st); before == 0 || after != 0 {
			t.Errorf("%d segments before and %d after the retention", before, after)
		}
	})
}

// Scenario: a shard is full of calls in flight. It must refuse further calls,
// stay below the size limit of the platform, and still record the outcomes.
func TestFullShardRefusesAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 2600
		st := platformfake.New()
		rc := newRecorder(st, "entry-0")
		var mu sync.Mutex
		var own []record.Claim
		full := 0
		runConcurrently(calls, func(ix int) {
			cl, err := begin(rc, ix)
			mu.Lock()
			defer mu.Unlock()
			if record.IsKind(err, record.Full) {
				full++
			} else if err == nil && cl.Own {
				own = append(own, cl)
			}
		})
		if full == 0 || len(own) == 0 || full+len(own) != calls {
			t.Fatalf("%d begun and %d refused as full", len(own), full)
		}
		checkSizes(t, st)
		runConcurrently(len(own), func(ix int) {
			if err := rc.Answer(context.Background(), own[ix], record.Answer{Status: 200, Body: make([]byte, 4096)}); err != nil {
				t.Errorf("outcome not recorded: %v", err)
			}
		})
		checkSizes(t, st)
		if cl, err := begin(rc, calls); err != nil || !cl.Own {
			t.Errorf("no call can begin although the outcomes were recorded: %v", err)
		}
	})
}

// Scenario: a stored object cannot be decoded by this version. No call may begin
// in that shard.
func TestUnreadableRecordLetsNothingBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, value := range []string{`{"format":2}`, `{"format":1,"entries":[{"state":"begun"}]}`, "\x00"} {
			st := platformfake.New()
			for shard := range 2 {
				if _, err := st.Update(context.Background(), fmt.Sprintf("records/%02d", shard), 0, []byte(value)); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := begin(newRecorder(st, "entry-0"), 1); !record.IsKind(err, record.Unavailable) {
				t.Errorf("with stored object %q: got error %v, want kind unavailable", value, err)
			}
		}
	})
}

// Scenario: an instance stops while an answer is still pending. Run must write
// the answer before it returns.
func TestRunWritesWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := platformfake.New()
		rc := newRecorder(delayedStore{st}, "entry-0")
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- rc.Run(ctx) }()
		cl, err := begin(rc, 1)
		if err != nil {
			t.Fatal(err)
		}
		shortCtx, cancel := context.WithTimeout(ctx, time.Nanosecond)
		defer cancel()
		if err := rc.Answer(shortCtx, cl, record.Answer{Status: 201}); err == nil {
			t.Fatal("the answer was written immediately, so the test does not cover its case")
		}
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		found, err := newRecorder(st, "entry-1").Find(context.Background(), id(1))
		if err != nil || found.Entry.Answer == nil || found.Entry.Answer.Status != 201 {
			t.Errorf("after the stop Find returned %+v, %v", found, err)
		}
	})
}
