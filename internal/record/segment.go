package record

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/platform"
)

// loadParallel is the maximum number of segments that are read concurrently.
const loadParallel = 8

// segment is the content of an immutable object with finished entries.
type segment struct {
	Format  int     `json:"format"`
	Entries []Entry `json:"entries"`
}

func decodeSegment(data []byte) (segment, error) {
	var se segment
	if err := json.Unmarshal(data, &se); err != nil {
		return se, &Error{Op: "decode", Kind: Corrupt, Err: err}
	}
	if se.Format != pageFormat {
		return se, &Error{Op: "decode", Kind: Corrupt}
	}
	return se, nil
}

// segmentIndex is the in-memory index of which segment of a shard holds which
// calls.
type segmentIndex struct {
	callsByKey map[string][]Hash
	keyByCall  map[Hash]string
}

func newSegmentIndex() *segmentIndex {
	return &segmentIndex{callsByKey: make(map[string][]Hash), keyByCall: make(map[Hash]string)}
}

// find returns the key of the segment that holds the call.
func (si *segmentIndex) find(id Hash) (string, bool) {
	key, found := si.keyByCall[id]
	return key, found
}

// load reads the segments that are not in the index yet, and removes from the
// index those that the page no longer refers to. If reading one of them fails,
// those that were read stay in the index, so that the next attempt has fewer to
// read.
func (si *segmentIndex) load(ctx context.Context, st platform.Store, refs []segmentRef) error {
	referenced := make(map[string]bool, len(refs))
	for _, re := range refs {
		referenced[re.Key] = true
	}
	for key := range si.callsByKey {
		if !referenced[key] {
			si.remove(key)
		}
	}
	missing := slices.DeleteFunc(slices.Clone(refs), func(re segmentRef) bool {
		_, known := si.callsByKey[re.Key]
		return known
	})
	var mu sync.Mutex
	eg, ctx := errgroup.WithContext(ctx)
	eg.SetLimit(loadParallel)
	for _, re := range missing {
		eg.Go(func() error {
			list, err := readSegment(ctx, st, re.Key)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			si.add(re.Key, list)
			return nil
		})
	}
	return eg.Wait()
}

func (si *segmentIndex) add(key string, list []Entry) {
	ids := make([]Hash, 0, len(list))
	for _, en := range list {
		ids = append(ids, en.ID)
		si.keyByCall[en.ID] = key
	}
	si.callsByKey[key] = ids
}

func (si *segmentIndex) remove(key string) {
	for _, id := range si.callsByKey[key] {
		if si.keyByCall[id] == key {
			delete(si.keyByCall, id)
		}
	}
	delete(si.callsByKey, key)
}

// deleteSegments deletes segments that no page refers to any more. Errors are
// ignored, and a segment that could not be deleted stays in the store.
func deleteSegments(ctx context.Context, st platform.Store, refs []segmentRef) {
	for _, re := range refs {
		_ = st.Delete(ctx, re.Key, re.Version)
	}
}

func readSegment(ctx context.Context, st platform.Store, key string) ([]Entry, error) {
	ob, err := st.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	se, err := decodeSegment(ob.Value)
	return se.Entries, err
}

// sealedSegment is a segment that has been written and that no written page
// refers to yet.
type sealedSegment struct {
	ref  segmentRef
	list []Entry
}

// seal moves finished entries to a new segment if the page is at least
// sealThresholdBytes large and the finished entries make up at least half of
// that. It returns nil and leaves the page unchanged otherwise, or if the segment
// cannot be written.
func (sh *shard) seal(ctx context.Context, pg *page) *sealedSegment {
	if pg.bytes < sealThresholdBytes {
		return nil
	}
	list := pg.finished(sh.rc.Clock.Now())
	ss := &sealedSegment{list: list, ref: segmentRef{Key: fmt.Sprintf("%s/%s", sh.key, newWriteID())}}
	moved := make(map[Hash]bool, len(list))
	bytes := 0
	for _, en := range list {
		moved[en.ID] = true
		bytes += en.size()
		ss.ref.ExpiresMS = max(ss.ref.ExpiresMS, en.ExpiresMS)
	}
	if bytes < sealThresholdBytes/2 {
		return nil
	}
	data, err := json.Marshal(segment{Format: pageFormat, Entries: list})
	if err != nil {
		return nil
	}
	if ss.ref.Version, err = sh.rc.Store.Update(ctx, ss.ref.Key, 0, data); err != nil {
		if platform.IsKind(err, platform.Unknown) {
			sh.rc.events[SegmentLeft].Inc(1)
		}
		return nil
	}
	pg.Segments = append(pg.Segments, ss.ref)
	pg.remove(func(en Entry) bool { return moved[en.ID] })
	return ss
}

func (si *segmentIndex) addSealed(ss *sealedSegment) {
	if ss != nil {
		si.add(ss.ref.Key, ss.list)
	}
}

// discard deletes a segment to which no page refers.
func (ss *sealedSegment) discard(ctx context.Context, st platform.Store) error {
	return st.Delete(ctx, ss.ref.Key, ss.ref.Version)
}
