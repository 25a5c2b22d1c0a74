package record_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/record"
)

const (
	// instances is the number of instances in the fleet.
	instances = 7
	// oneWayDelay is the delay to the platform, and the delay back.
	oneWayDelay = 2 * time.Millisecond
	// maxWritesPerSecond is the write rate that the fleet may use. The platform
	// accepts several hundred writes per second.
	maxWritesPerSecond = 500
)

// delayedStore is a platform store with network latency.
type delayedStore struct{ *platformfake.Store }

func (ds delayedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	time.Sleep(oneWayDelay)
	defer time.Sleep(oneWayDelay)
	return ds.Store.Get(ctx, key)
}

func (ds delayedStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	time.Sleep(oneWayDelay)
	defer time.Sleep(oneWayDelay)
	return ds.Store.Update(ctx, key, previous, value)
}

// runLoad records keyed calls at the given rate. It returns a histogram of the
// time in microseconds that Begin and Answer take together for a call.
func runLoad(t *testing.T, st *platformfake.Store, perSecond, total int) *hdrhistogram.Histogram {
	var recorders []*record.Recorder
	for ix := range instances {
		gu := &platform.Guard{Store: delayedStore{st}, Clock: clockwork.NewRealClock()}
		recorders = append(recorders, &record.Recorder{
			Store: gu.For(platform.ClassRecord), Instance: fmt.Sprint("entry-", ix), Clock: clockwork.NewRealClock(),
		})
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	latency := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for ix := range total {
		wg.Go(func() {
			took, err := recordCall(recorders[ix*31%instances], fmt.Sprint(perSecond, "-", ix))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("call %d: %v", ix, err)
			}
			_ = latency.RecordValue(took.Microseconds())
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	return latency
}

func recordCall(rc *record.Recorder, key string) (time.Duration, error) {
	ctx := context.Background()
	begun := time.Now()
	cl, err := rc.Begin(ctx, record.NewID("team", "desk", key), record.Hash{}, begun.Add(time.Minute))
	if err != nil || !cl.Own {
		return 0, fmt.Errorf("own %t: %w", cl.Own, err)
	}
	err = rc.Answer(ctx, cl, record.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 120)})
	return time.Since(begun), err
}

// Scenario: the rate of keyed calls grows to 1000 per second. Without batching, each
// call would cost two writes, its begin and its answer, and the fleet would exceed
// maxWritesPerSecond. No object may be larger than half of the size that the
// platform accepts.
func TestWritesPerCall(t *testing.T) {
	for _, ca := range []struct{ perSecond, seconds int }{{10, 10}, {100, 10}, {1000, 1}} {
		synctest.Test(t, func(t *testing.T) {
			st := platformfake.New()
			begun := time.Now()
			total := ca.perSecond * ca.seconds
			latency := runLoad(t, st, ca.perSecond, total)
			elapsed := time.Since(begun).Seconds()
			reads, writes := st.Calls()
			t.Logf("%d calls/s: %.2f writes and %.2f reads a call, %.0f writes/s, %.0f reads/s, added p50 %.1f ms, p99 %.1f ms",
				ca.perSecond, float64(writes)/float64(total), float64(reads)/float64(total), float64(writes)/elapsed,
				float64(reads)/elapsed, float64(latency.ValueAtQuantile(50))/1000, float64(latency.ValueAtQuantile(99))/1000)
			t.Logf("slope: record calls_per_s=%d writes_per_s=%.1f reads_per_s=%.1f", ca.perSecond, float64(writes)/elapsed, float64(reads)/elapsed)
			if rate := float64(writes) / elapsed; rate > maxWritesPerSecond {
				t.Errorf("%.0f writes per second at %d calls per second", rate, ca.perSecond)
			}
			for key, ob := range st.Snapshot() {
				if len(ob.Value) > platform.MaxValueBytes/2 {
					t.Errorf("%s has %d bytes", key, len(ob.Value))
				}
			}
		})
	}
}
