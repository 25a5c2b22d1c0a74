package record_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/record"
)

// refusingStore refuses, without effect, the first updates of a page after each new segment.
type refusingStore struct {
	*platformfake.Store
	refusals atomic.Int64
}

func (rs *refusingStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if strings.Count(key, "/") == 2 && previous == 0 {
		rs.refusals.CompareAndSwap(0, 3)
	} else if rs.refusals.Load() > 1 {
		rs.refusals.Add(-1)
		return 0, &platform.Error{Op: "update", Key: key, Kind: platform.Unavailable}
	}
	return rs.Store.Update(ctx, key, previous, value)
}

// Guards against segments that no page refers to and nothing deletes: a store that refuses
// writes for a while gets another one with each attempt.
func TestSegmentOfRefusedPageIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rs := &refusingStore{Store: platformfake.New()}
		rc := newRecorder(rs, "entry-0")
		for round := range 4 {
			runConcurrently(150, func(ix int) {
				cl, err := begin(rc, round*150+ix)
				if err != nil || rc.Answer(context.Background(), cl, record.Answer{Status: 200, Body: make([]byte, 600)}) != nil {
					t.Errorf("call %d was not recorded: %v", ix, err)
				}
			})
		}
		objects := rs.Snapshot()
		if rs.refusals.Load() != 1 {
			t.Fatal("no page was refused")
		}
		for key := range objects {
			parts := strings.Split(key, "/")
			if page := strings.Join(parts[:2], "/"); len(parts) == 3 && !strings.Contains(string(objects[page].Value), key) {
				t.Errorf("no page refers to %s", key)
			}
		}
	})
}
