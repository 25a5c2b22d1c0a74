package simulation

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point in virtual time.
type event struct {
	at time.Duration
	// sequence orders events with the same time by insertion.
	sequence int
	run      func()
}

// eventQueue is a heap of events, ordered by time and then by insertion.
type eventQueue struct {
	list     []event
	sequence int
}

func (eq *eventQueue) add(at time.Duration, run func()) {
	eq.sequence++
	heap.Push(eq, event{at: at, sequence: eq.sequence, run: run})
}

// next removes and returns the earliest event.
func (eq *eventQueue) next() event { return heap.Pop(eq).(event) }

// Len implements heap.Interface.
func (eq *eventQueue) Len() int { return len(eq.list) }

// Less implements heap.Interface.
func (eq *eventQueue) Less(ix, iy int) bool {
	if eq.list[ix].at != eq.list[iy].at {
		return eq.list[ix].at < eq.list[iy].at
	}
	return eq.list[ix].sequence < eq.list[iy].sequence
}

// Swap implements heap.Interface.
func (eq *eventQueue) Swap(ix, iy int) { eq.list[ix], eq.list[iy] = eq.list[iy], eq.list[ix] }

// Push implements heap.Interface.
func (eq *eventQueue) Push(value any) { eq.list = append(eq.list, value.(event)) }

// Pop implements heap.Interface.
func (eq *eventQueue) Pop() any {
	last := len(eq.list) - 1
	ev := eq.list[last]
	eq.list[last].run = nil
	eq.list = eq.list[:last]
	return ev
}
