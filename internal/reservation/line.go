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

// line has the requests that wait for the engines of a service. Requests with a smaller
// priority number come first. Those of one priority are in two lanes, so that short ones
// need not wait for the room of a long one. In a lane, the team that used the fewest
// tokens comes first, and of its requests those that were refused before, and then that
// with the earliest deadline. A line is not safe for concurrent use.
type line struct {
	lanes   map[laneKey]*lane
	waiting map[string]*waiter
	grants  rate
	// blocked is set if the last request that was looked at found no room.
	blocked  bool
	returned returned
}

// laneKey identifies a lane.
type laneKey struct {
	priority int
	long     bool
}

type lane struct {
	queue.Queue[*waiter]
	// passes is the number of requests of the other lane that were granted while the head
	// of this one waited.
	passes  int
	blocked bool
}

// waiter is a request that waits for an engine.
type waiter struct {
	args  TakeArgs
	lane  *lane
	until time.Duration
	// renewed is when its instance asked last.
	renewed time.Duration
	// answer receives the decision.
	answer chan TakeReply
}

func newLine() *line {
	return &line{lanes: make(map[laneKey]*lane), waiting: make(map[string]*waiter), returned: make(returned)}
}

// add puts a request into its lane.
func (li *line) add(ar TakeArgs, now time.Duration) *waiter {
	re := &ar.Request
	ke := laneKey{priority: re.Priority, long: re.Output > shortOutput}
	la := li.lanes[ke]
	if la == nil {
		la = &lane{}
		li.lanes[ke] = la
	}
	wa := &waiter{args: ar, lane: la, until: now + re.MaxWait, renewed: now, answer: make(chan TakeReply, 1)}
	li.waiting[re.ID] = wa
	la.Push(queue.Item[*waiter]{ID: re.ID, Team: re.Team, Deadline: moment(li.orderOf(re, now)), Arrived: moment(now), ExpiresAt: moment(wa.until), Value: wa})
	return wa
}

// orderOf returns the time by which a request is ordered among those of its team: when
// its answer begins to be late, or, if it is late, when nobody waits for it any more.
func (li *line) orderOf(re *Request, now time.Duration) time.Duration {
	order := now + re.OnTime
	if re.OnTime <= 0 {
		order = now + re.Remaining
	}
	if li.returned.has(re.Key, now) {
		order -= returnedLead
	}
	return order
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
			li.returned.add(wa.args.Request.Key, now)
		case now-wa.renewed <= renewal:
			continue
		}
		li.remove(id)
	}
}

// serve gives engines to waiting requests, in order, as long as grant has room for them.
// grant returns false if it has none for a request.
func (li *line) serve(now time.Duration, grant func(ar *TakeArgs) (TakeReply, bool)) {
	li.expire(now)
	for _, priority := range li.priorities() {
		lanes := li.lanesOf(priority)
		for _, la := range lanes {
			la.blocked = false
		}
		for la := nextLane(lanes); la != nil; la = nextLane(lanes) {
			it, _ := la.Head()
			wa := it.Value
			re, found := grant(&wa.args)
			if !found {
				la.blocked = true
				if la.passes >= maxPasses {
					break
				}
				continue
			}
			li.grant(wa, re, now)
			notePass(lanes, la)
		}
		li.blocked = slices.ContainsFunc(lanes, func(la *lane) bool { return la.blocked })
		if li.blocked {
			// What is less urgent must not take the room for which these wait.
			return
		}
	}
}

// grant answers the head of a lane and charges its team.
func (li *line) grant(wa *waiter, re TakeReply, now time.Duration) {
	wa.lane.passes = 0
	wa.lane.Pop(float64(wa.args.Request.Prompt + wa.args.Request.Output))
	delete(li.waiting, wa.args.Request.ID)
	li.grants.add(now)
	wa.answer <- re
}

// priorities returns the priorities of requests that wait, the most urgent first.
func (li *line) priorities() []int {
	var list []int
	for ke, la := range li.lanes {
		if la.Len() > 0 && !slices.Contains(list, ke.priority) {
			list = append(list, ke.priority)
		}
	}
	slices.Sort(list)
	return list
}

func (li *line) lanesOf(priority int) []*lane {
	var list []*lane
	for _, long := range []bool{false, true} {
		if la := li.lanes[laneKey{priority: priority, long: long}]; la != nil {
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
		if !found || la.blocked && la.passes < maxPasses {
			continue
		}
		if la.passes >= maxPasses {
			return la
		}
		if best == nil || it.Deadline.Before(earliest) {
			best, earliest = la, it.Deadline
		}
	}
	return best
}

// notePass counts a grant of one lane as a pass of the other's head.
func notePass(lanes []*lane, granted *lane) {
	for _, la := range lanes {
		if la != granted && la.Len() > 0 {
			la.passes++
		}
	}
}

// expectedWait returns how long a request is expected to wait, by the rate at which
// engines were granted lately. It is zero if nothing is known.
func (li *line) expectedWait(re Request, now time.Duration) time.Duration {
	ahead := 1.0
	for ke, la := range li.lanes {
		switch order := cmp.Compare(ke.priority, re.Priority); {
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
