package record

import (
	"encoding/json"
	"slices"
	"time"
)

const (
	// maxPageBytes is the maximum size of a page, which each write of a shard
	// rewrites.
	maxPageBytes = 512 << 10
	// maxBytesForBegin is the page size above which new calls are refused. The
	// rest is reserved for the answers of calls in flight.
	maxBytesForBegin = 320 << 10
	// maxBytesForAnswer is the page size above which answers are deferred to the
	// next write.
	maxBytesForAnswer = 384 << 10
	// sealThresholdBytes is the page size from which finished entries are moved
	// to a segment.
	sealThresholdBytes = 128 << 10
	// maxSegments is the maximum number of segments that a page refers to.
	maxSegments = 1024
	// segmentRefBytes is the encoded size of a reference to a segment.
	segmentRefBytes = 96
	// pageFormat is the version of the encoding of pages and segments.
	pageFormat = 1
)

// segmentRef refers to an immutable object that holds finished entries.
type segmentRef struct {
	Key string `json:"key"`
	// Version is the object's version, which Delete requires.
	Version int64 `json:"version"`
	// ExpiresMS is the Unix time in milliseconds at which the last of its
	// entries expires.
	ExpiresMS int64 `json:"expires_ms"`
}

// page is the content of a shard's object: the calls in flight, the calls that
// finished recently, and references to the segments that hold older ones.
type page struct {
	Format int `json:"format"`
	// Write is unique to each written version. It distinguishes a write whose
	// response was lost from a write that did not take effect.
	Write    string       `json:"write"`
	Entries  []Entry      `json:"entries"`
	Segments []segmentRef `json:"segments,omitempty"`

	index map[Hash]int
	bytes int
}

// decodePage decodes a shard's object. It returns an empty page for empty data.
func decodePage(data []byte) (*page, error) {
	pg := &page{Format: pageFormat}
	if len(data) > 0 {
		if err := json.Unmarshal(data, pg); err != nil {
			return nil, &Error{Op: "decode", Kind: Corrupt, Err: err}
		}
	}
	if pg.Format != pageFormat {
		return nil, &Error{Op: "decode", Kind: Corrupt}
	}
	pg.reindex()
	return pg, nil
}

func (pg *page) reindex() {
	pg.index = make(map[Hash]int, len(pg.Entries))
	pg.bytes = len(pg.Segments) * segmentRefBytes
	for ix, en := range pg.Entries {
		pg.index[en.ID] = ix
		pg.bytes += en.size()
	}
}

// get returns the entry of a call if it is in the page and not in a segment.
func (pg *page) get(id Hash) (Entry, bool) {
	ix, found := pg.index[id]
	if !found {
		return Entry{}, false
	}
	return pg.Entries[ix], true
}

// put adds or replaces an entry. It returns false if the page has no room for it.
func (pg *page) put(en Entry) bool {
	ix, found := pg.index[en.ID]
	grown := pg.bytes + en.size()
	if found {
		grown -= pg.Entries[ix].size()
	}
	if grown > maxPageBytes {
		return false
	}
	pg.bytes = grown
	if found {
		pg.Entries[ix] = en
		return true
	}
	pg.index[en.ID] = len(pg.Entries)
	pg.Entries = append(pg.Entries, en)
	return true
}

// remove removes all entries that match.
func (pg *page) remove(match func(Entry) bool) {
	pg.Entries = slices.DeleteFunc(pg.Entries, match)
	pg.reindex()
}

// expire removes expired entries and expired references to segments. It returns
// the removed references, whose segments can be deleted once the page is written.
func (pg *page) expire(now time.Time) []segmentRef {
	var dropped []segmentRef
	pg.Segments = slices.DeleteFunc(pg.Segments, func(re segmentRef) bool {
		expired := now.UnixMilli() > re.ExpiresMS
		if expired {
			dropped = append(dropped, re)
		}
		return expired
	})
	pg.remove(func(en Entry) bool { return en.expired(now) })
	return dropped
}

// finished returns the entries that can no longer change. Abandoned entries are
// included in state Lost.
func (pg *page) finished(now time.Time) []Entry {
	var list []Entry
	for _, en := range pg.Entries {
		switch {
		case en.Abandoned(now):
			list = append(list, en.WithLost())
		case en.State != Begun:
			list = append(list, en)
		}
	}
	return list
}

// encode returns the page as JSON with a new write ID.
func (pg *page) encode(write string) ([]byte, error) {
	pg.Write = write
	return json.Marshal(pg)
}
