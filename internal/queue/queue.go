package queue

import (
	"container/heap"
	"time"
)

// Item is a queued request.
type Item[T any] struct {
	ID   string
	Team string
	// Weight is the share of the team relative to other teams. Values below 1
	// count as 1. The weight of the latest item applies to the whole team.
	Weight int
	// Deadline orders the items of a team, earliest first. Items with a zero
	// Deadline come last.
	Deadline time.Time
	// Arrived orders items with equal deadlines.
	Arrived time.Time
	// ExpiresAt is the time from which Expire removes the item. An item with a
	// zero ExpiresAt does not expire.
	ExpiresAt time.Time
	Value     T

	// teamPosition and expiryPosition are the indexes of the item in the heap
	// of its team and in the expiry heap.
	teamPosition, expiryPosition int
}

// Queue is a weighted fair queue. The zero value is ready for use.
type Queue[T any] struct {
	teams map[string]*team[T]
	// backlog lists the teams that have items. Of teams with equal
	// normalizedTokens, the first in the list is served first.
	backlog  []*team[T]
	items    map[string]*Item[T]
	expiries byExpiry[T]
	// virtualTime is the highest normalizedTokens at which a team was served
	// so far. Teams that become active start no lower.
	virtualTime float64
}

type team[T any] struct {
	name   string
	weight float64
	// normalizedTokens is the sum of the charged tokens, each divided by the
	// weight that applied when they were charged.
	normalizedTokens float64
	items            byDeadline[T]
}

// Len returns the number of queued items.
func (qu *Queue[T]) Len() int { return len(qu.items) }

// Push adds an item. It returns false and changes nothing if an item with the
// same ID is already queued.
func (qu *Queue[T]) Push(it Item[T]) bool {
	if qu.items == nil {
		qu.items = make(map[string]*Item[T])
		qu.teams = make(map[string]*team[T])
	}
	if _, found := qu.items[it.ID]; found {
		return false
	}
	te := qu.team(it.Team, it.Weight)
	if len(te.items) == 0 {
		te.normalizedTokens = max(te.normalizedTokens, qu.virtualTime)
		qu.backlog = append(qu.backlog, te)
	}
	qu.items[it.ID] = &it
	heap.Push(&te.items, &it)
	heap.Push(&qu.expiries, &it)
	return true
}

func (qu *Queue[T]) team(name string, weight int) *team[T] {
	te, found := qu.teams[name]
	if !found {
		te = &team[T]{name: name, normalizedTokens: qu.virtualTime}
		qu.teams[name] = te
	}
	te.weight = float64(max(weight, 1))
	return te
}

// next returns the team in the backlog with the least normalizedTokens, or nil
// if the queue is empty.
func (qu *Queue[T]) next() *team[T] {
	var best *team[T]
	for _, te := range qu.backlog {
		if best == nil || te.normalizedTokens < best.normalizedTokens {
			best = te
		}
	}
	return best
}

// Head returns the next item without removing it.
func (qu *Queue[T]) Head() (*Item[T], bool) {
	te := qu.next()
	if te == nil {
		return nil, false
	}
	return te.items[0], true
}

// Pop removes the head and charges its team the expected number of tokens. It
// does nothing on an empty queue.
func (qu *Queue[T]) Pop(tokens float64) {
	te := qu.next()
	if te == nil {
		return
	}
	qu.virtualTime = max(qu.virtualTime, te.normalizedTokens)
	te.normalizedTokens += tokens / te.weight
	qu.remove(te, te.items[0])
}

// Charge adds tokens to the usage of a team. A negative value corrects an
// earlier charge that was too high.
func (qu *Queue[T]) Charge(name string, tokens float64) {
	if te, found := qu.teams[name]; found {
		te.normalizedTokens += tokens / te.weight
	}
}

// Remove removes the item with the given ID, at any position, and returns it.
func (qu *Queue[T]) Remove(id string) (Item[T], bool) {
	it, found := qu.items[id]
	if !found {
		return Item[T]{}, false
	}
	qu.remove(qu.teams[it.Team], it)
	return *it, true
}

func (qu *Queue[T]) remove(te *team[T], it *Item[T]) {
	heap.Remove(&te.items, it.teamPosition)
	heap.Remove(&qu.expiries, it.expiryPosition)
	delete(qu.items, it.ID)
	if len(te.items) > 0 {
		return
	}
	for ix, each := range qu.backlog {
		if each == te {
			qu.backlog = append(qu.backlog[:ix], qu.backlog[ix+1:]...)
			return
		}
	}
}

// TeamLen returns the number of queued items of the team.
func (qu *Queue[T]) TeamLen(name string) int {
	if te, found := qu.teams[name]; found {
		return len(te.items)
	}
	return 0
}

// Ahead estimates how many items are served before a new item of the team,
// assuming that each team in the backlog is served in proportion to its weight
// from now on.
func (qu *Queue[T]) Ahead(name string, weight int) float64 {
	total := float64(max(weight, 1))
	for _, te := range qu.backlog {
		if te.name != name {
			total += te.weight
		}
	}
	own := float64(qu.TeamLen(name))
	return min(float64(qu.Len()), (own+1)*total/float64(max(weight, 1))-1)
}

// NextExpiry returns the earliest ExpiresAt, or false if no queued item
// expires.
func (qu *Queue[T]) NextExpiry() (time.Time, bool) {
	if len(qu.expiries) == 0 || qu.expiries[0].ExpiresAt.IsZero() {
		return time.Time{}, false
	}
	return qu.expiries[0].ExpiresAt, true
}

// Expire removes and returns one item whose ExpiresAt has been reached.
// Callers repeat it until it returns false.
func (qu *Queue[T]) Expire(now time.Time) (Item[T], bool) {
	at, found := qu.NextExpiry()
	if !found || now.Before(at) {
		return Item[T]{}, false
	}
	return qu.Remove(qu.expiries[0].ID)
}
