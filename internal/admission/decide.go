package admission

import (
	"time"

	"filbertstall.example/filbertstall/internal/queue"
	"filbertstall.example/filbertstall/internal/refusal"
)

// Priorities that are passed on to the engine. When its memory is full, the
// engine preempts the newest sequence of the lowest priority. One long answer
// on each endpoint has preemptFirstPriority and is preempted before all
// others. Otherwise the engine would preempt the newest sequence, which frees
// little memory and is then resumed while the memory is as full as before.
const (
	preemptFirstPriority = iota
	longPriority
	resumedPriority
	shortPriority
)

var priorities = [laneCount]int{resumedLane: resumedPriority, shortLane: shortPriority, longLane: longPriority}

// priority returns the priority of the next grant at the endpoint.
func (ac *account) priority(kind laneKind) int {
	if kind == longLane && ac.preemptFirst == 0 {
		return preemptFirstPriority
	}
	return priorities[kind]
}

func (la *lane) push(now time.Time, qr queuedRequest) {
	re := qr.re
	la.queue.Push(queue.Item[queuedRequest]{
		ID: re.ID, Team: re.Team, Weight: re.Weight, Deadline: re.Deadline, Arrived: now, ExpiresAt: re.Deadline, Value: qr,
	})
}

// Decide returns the grants and refusals that are due.
func (al *Allocator) Decide(now time.Time) []Decision {
	al.resumePaused(now)
	list := al.expire(now)
	for ix := range al.lanes {
		la := &al.lanes[ix]
		list, la.blocked = al.serve(now, la, list)
		// A resumed answer needs a large amount of memory at once. New long
		// requests must not take memory in small amounts while it waits.
		if la.blocked && la.kind == resumedLane {
			al.lanes[longLane].suspended = true
		}
	}
	al.lanes[longLane].suspended = false
	return list
}

// expire refuses the requests whose deadline has passed.
func (al *Allocator) expire(now time.Time) []Decision {
	var list []Decision
	for ix := range al.lanes {
		for {
			it, found := al.lanes[ix].queue.Expire(now)
			if !found {
				break
			}
			list = append(list, Decision{ID: it.ID, Refusal: refusal.New(refusal.DeadlinePassed, "no endpoint was free before the deadline")})
		}
	}
	return list
}

// serve grants requests of one lane until no endpoint has room for its head.
func (al *Allocator) serve(now time.Time, la *lane, list []Decision) (_ []Decision, blocked bool) {
	if la.suspended {
		return list, true
	}
	for {
		it, found := la.queue.Head()
		if !found {
			return list, false
		}
		qr, waited := it.Value, now.After(it.Arrived)
		ac := al.choose(la.kind, &qr)
		if ac == nil {
			return list, true
		}
		expected := qr.curve.Mean()
		la.queue.Pop(expected)
		la.recordGrant(now, qr.re.Team)
		priority := ac.priority(la.kind)
		al.begin(qr, ac, qr.re.DoneTokens, expected).setPriority(priority)
		if waited && la.kind == longLane {
			al.margin = al.margin.withGranted(al.cachedUnused(now))
		}
		list = append(list, Decision{ID: qr.re.ID, Endpoint: ac.Endpoint.Name, Priority: priority})
	}
}

// NextDecision returns the time at which Decide is due again if nothing else
// changes, or false if there is none.
func (al *Allocator) NextDecision(time.Time) (time.Time, bool) {
	next, queued := time.Time{}, false
	for ix := range al.lanes {
		at, found := al.lanes[ix].queue.NextExpiry()
		queued = queued || al.lanes[ix].queue.Len() > 0
		if found && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if at, found := al.nextResume(); found && queued && (next.IsZero() || at.Before(next)) {
		next = at
	}
	return next, !next.IsZero()
}
