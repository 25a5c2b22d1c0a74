package queue

import (
	"math"
	"time"
)

// byDeadline is a heap of the items of one team, ordered by deadline, arrival
// and ID.
type byDeadline[T any] []*Item[T]

// Len implements heap.Interface.
func (bd byDeadline[T]) Len() int { return len(bd) }

// Less implements heap.Interface.
func (bd byDeadline[T]) Less(ix, iy int) bool {
	le, ri := sortKey(bd[ix].Deadline), sortKey(bd[iy].Deadline)
	if le != ri {
		return le < ri
	}
	if !bd[ix].Arrived.Equal(bd[iy].Arrived) {
		return bd[ix].Arrived.Before(bd[iy].Arrived)
	}
	return bd[ix].ID < bd[iy].ID
}

// sortKey returns a time as an integer for comparison; the zero time sorts
// last.
func sortKey(ti time.Time) int64 {
	if ti.IsZero() {
		return math.MaxInt64
	}
	return ti.UnixNano()
}

// Swap implements heap.Interface.
func (bd byDeadline[T]) Swap(ix, iy int) {
	bd[ix], bd[iy] = bd[iy], bd[ix]
	bd[ix].teamPosition, bd[iy].teamPosition = ix, iy
}

// Push implements heap.Interface.
func (bd *byDeadline[T]) Push(value any) {
	it := value.(*Item[T])
	it.teamPosition = len(*bd)
	*bd = append(*bd, it)
}

// Pop implements heap.Interface.
func (bd *byDeadline[T]) Pop() any {
	last := len(*bd) - 1
	it := (*bd)[last]
	(*bd)[last] = nil
	*bd = (*bd)[:last]
	return it
}

// byExpiry is a heap of all items of a queue, ordered by ExpiresAt and ID.
type byExpiry[T any] []*Item[T]

// Len implements heap.Interface.
func (be byExpiry[T]) Len() int { return len(be) }

// Less implements heap.Interface.
func (be byExpiry[T]) Less(ix, iy int) bool {
	le, ri := sortKey(be[ix].ExpiresAt), sortKey(be[iy].ExpiresAt)
	if le != ri {
		return le < ri
	}
	return be[ix].ID < be[iy].ID
}

// Swap implements heap.Interface.
func (be byExpiry[T]) Swap(ix, iy int) {
	be[ix], be[iy] = be[iy], be[ix]
	be[ix].expiryPosition, be[iy].expiryPosition = ix, iy
}

// Push implements heap.Interface.
func (be *byExpiry[T]) Push(value any) {
	it := value.(*Item[T])
	it.expiryPosition = len(*be)
	*be = append(*be, it)
}

// Pop implements heap.Interface.
func (be *byExpiry[T]) Pop() any {
	last := len(*be) - 1
	it := (*be)[last]
	(*be)[last] = nil
	*be = (*be)[:last]
	return it
}
