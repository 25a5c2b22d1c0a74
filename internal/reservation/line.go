package reservation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/queue"
)

const (
	// maxWaiting is the largest number of requests that wait for the engines of one
	// service. Further ones are refused.
	maxWaiting = 1024
	// maxPasses is the number of requests that may pass one of the same priority for
	// which there is no room yet. After them, room is kept until it suffices.
	maxPasses = 8
	// shortOutput is the longest expected output, in tokens, of a short request.
	shortOutput = 96
	// renewal is the time after which a waiting request is dropped whose instance no
	// longer asks for it.
	renewal = maxHold + 2*askTimeout
)

// line is the priority queue of the requests that wait for the engines of a service.
// Requests with a smaller priority number come first, and of one priority those whose
// answer can be on time. Those of one rank are in queues of their own, the lanes, by
// laneKey, so that short ones need not wait for the room of a long one. In a lane, the
// team that used the fewest tokens comes first, and of its requests those that were
// refused before, and then that with the earliest deadline. A line is not safe for
// concurrent use.
type line struct {
	lanes   map[laneKey]*lane
	waiting map[string]*waiter
	// answered has the requests whose answer their instances have not fetched yet.
	answered map[string]*waiter
	// grants is the rate at which engines were granted recently.
	grants rate
	// blocked is set if the last serve ended at a rank in which a request that others wait
	// for found no room.
	blocked bool
	// returned has the requests that were refused recently.
	returned returned
}

// rank orders lanes: the smaller priority number first, then what can be on time.
type rank struct {
	priority int
	// late is set for requests whose answer will be late.
	late bool
}

func (ra rank) compare(other rank) int {
	if order := cmp.Compare(ra.priority, other.priority); order != 0 || ra.late == other.late {
		return order
	}
	if ra.late {
		return 1
	}
	return -1
}

// laneKey identifies a lane.
type laneKey struct {
	rank
	long bool
	// narrow is set for requests that few engines may get, for which others don't wait.
	narrow bool
}

// lane is a queue of requests of one rank.
type lane struct {
	queue.Queue[*waiter]
	// narrow is as in laneKey.
	narrow bool
	// passes is the number of requests of other lanes that were granted while the head
	// of this one waited.
	passes int
	// blocked is set if the head found no room in this serve.
	blocked bool
}

// waiter is a request that waits for an engine.
type waiter struct {
	args TakeArgs
	// key identifies lane, in which the request waits.
	key  laneKey
	lane *lane
	// until is when it is refused.
	until time.Duration
	// startBy is when it must get an engine for an answer that is on time, and endsAt when
	// no caller waits for it any more.
	startBy, endsAt time.Duration
	// returned is set if the request was refused before.
	returned bool
	// renewed is when its instance asked last.
	renewed time.Duration
	// answer receives the decision. It is buffered, so that serving never blocks.
	answer chan TakeReply
}

func newLine() *line {
	return &line{lanes: make(map[laneKey]*lane), waiting: make(map[string]*waiter), answered: make(map[string]*waiter), returned: make(returned)}
}

// add puts a request into its lane.
func (li *line) add(ar TakeArgs, now time.Duration) *waiter {
	re := &ar.Request
	wa := &waiter{args: ar, until: now + re.MaxWait, endsAt: now + re.Remaining, renewed: now, answer: make(chan TakeReply, 1)}
	wa.key = laneKey{rank: rank{priority: re.Priority}, long: re.Output > shortOutput, narrow: ar.narrow}
	wa.startBy = re.startBy(now)
	if before, known := li.returned.find(re.Key, now); known {
		// It returns: what counts for its caller is its first attempt.
		wa.startBy, wa.returned = min(wa.startBy, before.startBy), true
	}
	li.waiting[re.ID] = wa
	li.push(wa, now)
	return wa
}

// push puts a request into the lane that it belongs to now. Those of a team are ordered by
// when they must get an engine to be on time, late ones by when no caller waits for them any
// more.
func (li *line) push(wa *waiter, now time.Duration) {
	re, order := &wa.args.Request, wa.startBy
	if wa.key.late = now > wa.startBy; wa.key.late {
		order = wa.endsAt
	}
	wa.lane = li.lanes[wa.key]
	if wa.lane == nil {
		wa.lane = &lane{narrow: wa.key.narrow}
		li.lanes[wa.key] = wa.lane
	}
	if wa.returned {
		order -= returnedLead
	}
	wa.lane.Push(queue.Item[*waiter]{ID: re.ID, Team: re.Team, Deadline: moment(order), Arrived: moment(now), Value: wa})
}

// moment returns a time of the boot clock in the form that queue wants.
func moment(at time.Duration) time.Time { return time.Unix(0, int64(at)) }

// remove drops a request.
func (li *line) remove(id string) {
	if wa, found := li.waiting[id]; found {
		wa.lane.Remove(id)
		delete(li.waiting, id)
	}
}

// expire answers the requests that waited for as long as they could, and drops those
// whose instances no longer ask.
func (li *line) expire(now time.Duration) {
	for id, wa := range li.waiting {
		switch {
		case now >= wa.until:
			wa.answer <- TakeReply{Decision: Full, After: li.expectedWait(wa.args.Request, now)}
			li.returned.add(wa.args.Request.Key, wa.startBy, now)
			li.answered[id] = wa
		case now-wa.renewed > renewal:
		case !wa.key.late && now > wa.startBy:
			wa.lane.Remove(id)
			li.push(wa, now)
			continue
		default:
			continue
		}
		li.remove(id)
	}
	for id, wa := range li.answered {
		if now-wa.renewed > 2*renewal {
			delete(li.answered, id)
		}
	}
}

// fetch returns a request that waits, or whose answer its instance fetches now.
func (li *line) fetch(id string, now time.Duration) *waiter {
	wa := li.waiting[id]
	if wa == nil {
		wa = li.answered[id]
		delete(li.answered, id)
	}
	if wa != nil {
		wa.renewed = now
	}
	return wa
}

// serve gives engines to waiting requests, in order, as long as grant has room for them.
// grant returns false if it has none for a request.
func (li *line) serve(now time.Duration, grant func(ar *TakeArgs) (TakeReply, bool)) {
	li.expire(now)
	for _, ra := range li.ranks() {
		lanes := li.lanesOf(ra)
		li.serveLanes(lanes, now, grant)
		li.blocked = slices.ContainsFunc(lanes, func(la *lane) bool { return la.blocked && !la.narrow })
		if li.blocked {
			// What is less urgent must not take the room for which these wait.
			return
		}
	}
}

// serveLanes gives engines to the requests of one rank until the head of each lane finds
// no room, or one does that no other request may pass any more.
func (li *line) serveLanes(lanes []*lane, now time.Duration, grant func(ar *TakeArgs) (TakeReply, bool)) {
	for _, la := range lanes {
		la.blocked = false
	}
	for la := nextLane(lanes); la != nil; la = nextLane(lanes) {
		it, _ := la.Head()
		wa := it.Value
		re, found := grant(&wa.args)
		if !found {
			la.blocked = true
			if la.exhausted() {
				return
			}
			continue
		}
		li.grant(wa, re, now)
		countPass(lanes, la)
	}
}

// grant answers the head of a lane and charges its team.
func (li *line) grant(wa *waiter, re TakeReply, now time.Duration) {
	wa.lane.passes = 0
	wa.lane.Pop(float64(wa.args.Request.Prompt + wa.args.Request.Output))
	delete(li.waiting, wa.args.Request.ID)
	li.answered[wa.args.Request.ID] = wa
	li.grants.add(now)
	wa.answer <- re
}

// ranks returns the ranks of requests that wait, in order.
func (li *line) ranks() []rank {
	var list []rank
	for ke, la := range li.lanes {
		if la.Len() > 0 && !slices.Contains(list, ke.rank) {
			list = append(list, ke.rank)
		}
	}
	slices.SortFunc(list, rank.compare)
	return list
}

// lanesOf returns the lanes of a rank. Which of them is served first, nextLane decides.
func (li *line) lanesOf(ra rank) []*lane {
	var list []*lane
	for _, ke := range []laneKey{{long: false}, {long: true}, {long: false, narrow: true}, {long: true, narrow: true}} {
		ke.rank = ra
		if la := li.lanes[ke]; la != nil {
			list = append(list, la)
		}
	}
	return list
}

// nextLane returns the lane whose head has been passed too often, or else has the earliest
// deadline, leaving out those that are blocked. It returns nil if there is none.
func nextLane(lanes []*lane) *lane {
	var best *lane
	var earliest time.Time
	for _, la := range lanes {
		it, found := la.Head()
		if !found || la.blocked {
			continue
		}
		if la.exhausted() {
			return la
		}
		if best == nil || it.Deadline.Before(earliest) {
			best, earliest = la, it.Deadline
		}
	}
	return best
}

// exhausted reports whether no other request may pass the head any more.
func (la *lane) exhausted() bool { return la.passes >= maxPasses && !la.narrow }

// countPass counts a grant of one lane as a pass of the heads of the others.
func countPass(lanes []*lane, granted *lane) {
	for _, la := range lanes {
		if la != granted && la.Len() > 0 {
			la.passes++
		}
	}
}

// expectedWait returns how long a request is expected to wait, by the rate at which
// engines were granted recently. It is zero if nothing is known.
func (li *line) expectedWait(re Request, now time.Duration) time.Duration {
	ahead := 1.0
	for ke, la := range li.lanes {
		switch order := ke.compare(rank{priority: re.Priority}); {
		case order < 0:
			ahead += float64(la.Len())
		case order == 0:
			ahead += la.Ahead(re.Team, 1)
		}
	}
	perSecond := li.grants.perSecond(now)
	if perSecond <= 0 || !li.blocked {
		return 0
	}
	return time.Duration(math.Min(ahead/perSecond, maxForecast.Seconds()) * float64(time.Second))
}
