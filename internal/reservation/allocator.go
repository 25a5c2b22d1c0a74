package reservation

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// maxHold is the longest time for which a call of a waiting request is held. Its
	// instance then asks again, so that it notices soon if the allocator is gone.
	maxHold = 300 * time.Millisecond
	// serveInterval is the time between two attempts to grant engines while requests wait.
	serveInterval = 10 * time.Millisecond
)

// Allocator chooses engines for the instances of its zone, for the services for which it
// has the highest rank. It implements controller.Controller. Set the exported fields
// before use. It is safe for concurrent use.
type Allocator struct {
	Peers *ratelimit.Peers
	// Tracker has the loads of all instances, as this one knows them.
	Tracker *placement.LoadTracker
	// Ready returns the endpoints of a service that may get requests.
	Ready func(service string) []roster.Endpoint
	// Boot tells the time of grants and waits, and Clock wakes Run and held calls.
	Boot  boottime.Clock
	Clock clockwork.Clock
	// Wake receives a value when a request begins to wait. It has room for one.
	Wake chan struct{}

	mu      sync.Mutex
	grants  grants
	reports reports
	// lines has the waiting requests, by service.
	lines map[string]*line
}

// Name implements controller.Controller.
func (al *Allocator) Name() string { return "reservation" }

// Run serves waiting requests until ctx ends.
func (al *Allocator) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-al.Wake:
		}
		for al.Serve() {
			select {
			case <-ctx.Done():
				return nil
			case <-al.Clock.After(serveInterval):
			}
		}
	}
}

// Serve gives engines to the requests that wait, if there is room, and reports whether
// some still wait.
func (al *Allocator) Serve() bool {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.expire()
	waiting := false
	for _, li := range al.lines {
		if len(li.waiting) > 0 {
			li.serve(al.Boot.Now(), al.grantRoom)
			waiting = waiting || len(li.waiting) > 0
		}
	}
	return waiting
}

// Take chooses an engine for a request, or lets it wait for one. It holds the call for
// ar.Hold at most.
func (al *Allocator) Take(ar TakeArgs) TakeReply {
	re, wa := al.takeOrWait(ar)
	if wa == nil {
		return re
	}
	select {
	case re = <-wa.answer:
		al.mu.Lock()
		defer al.mu.Unlock()
		delete(al.line(ar.Request.Service).answered, ar.Request.ID)
		return re
	case <-al.Clock.After(min(ar.Hold, maxHold)):
		return TakeReply{Decision: Waiting}
	}
}

// takeOrWait returns the answer to a request, or the waiter that receives it if it has to
// wait or its answer is there to be fetched.
func (al *Allocator) takeOrWait(ar TakeArgs) (TakeReply, *waiter) {
	vi := al.Peers.Zone(ar.Zone, ar.Request.Service, ar.Without...)
	if !vi.Informed || vi.Allocator == nil || vi.Allocator.Name != al.Peers.Self.Name {
		return TakeReply{}, nil
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	al.expire()
	now, li := al.Boot.Now(), al.line(ar.Request.Service)
	if wa := li.fetch(ar.Request.ID, now); wa != nil {
		return TakeReply{}, wa
	}
	if ar.Foreign || ar.Request.MaxWait <= 0 {
		if ar.Foreign && len(li.waiting) > 0 {
			return TakeReply{Decision: NoEngine}, nil
		}
		re, _ := al.choose(&ar, ar.Foreign)
		return re, nil
	}
	return al.enter(li, ar, now)
}

// enter lets a request of the own zone wait, unless an engine has room for it at once or
// it would wait for too long. The caller must hold mu.
func (al *Allocator) enter(li *line, ar TakeArgs, now time.Duration) (TakeReply, *waiter) {
	if !al.anyUsable(&ar) {
		return TakeReply{Decision: NoEngine}, nil
	}
	if len(li.waiting) > 0 {
		if wait := li.expectedWait(ar.Request, now); wait > ar.Request.MaxWait || len(li.waiting) >= maxWaiting {
			li.returned.add(ar.Request.Key, ar.Request.startBy(now), now)
			return TakeReply{Decision: Full, After: wait}, nil
		}
	}
	ar.narrow = 2*len(ar.Request.Exclude) > len(al.Ready(ar.Request.Service))
	wa := li.add(ar, now)
	li.serve(now, al.grantRoom)
	select {
	case re := <-wa.answer:
		delete(li.answered, ar.Request.ID)
		return re, nil
	default:
	}
	select {
	case al.Wake <- struct{}{}:
	default:
	}
	return TakeReply{}, wa
}

// Leave drops a request that waits.
func (al *Allocator) Leave(ar LeaveArgs) {
	al.mu.Lock()
	defer al.mu.Unlock()
	li := al.lines[ar.Service]
	if li == nil {
		return
	}
	li.remove(ar.ID)
	if wa := li.answered[ar.ID]; wa != nil {
		delete(li.answered, ar.ID)
		al.grants.settle((<-wa.answer).Grant)
	}
}

// line returns the line of a service. The caller must hold mu.
func (al *Allocator) line(service string) *line {
	li := al.lines[service]
	if li == nil {
		if al.lines == nil {
			al.lines = make(map[string]*line)
		}
		li = newLine()
		al.lines[service] = li
	}
	return li
}

// Settle ends grants: the loads of the instance that got them include them, or it does
// not use them. Other numbers are ignored.
func (al *Allocator) Settle(ids []uint64) {
	if len(ids) == 0 {
		return
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	for _, id := range ids {
		al.grants.settle(id)
	}
}

// Prune drops the grants whose time has passed, and lines without requests whose rate and
// refused requests no longer matter.
func (al *Allocator) Prune() {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.expire()
	now := al.Boot.Now()
	for service, li := range al.lines {
		if len(li.waiting)+len(li.answered) == 0 && now-li.grants.at > returnedLifetime {
			delete(al.lines, service)
		}
	}
}

// expire ends the grants whose time has passed. The caller must hold mu.
func (al *Allocator) expire() {
	al.grants.tracker = al.Tracker
	al.grants.expire(al.Boot.Now())
}

// grantRoom grants an engine that has room. The caller must hold mu.
func (al *Allocator) grantRoom(ar *TakeArgs) (TakeReply, bool) {
	return al.choose(ar, true)
}

// choose grants the engine of lowest cost. If that is in another zone, it names that
// zone, whose allocator has newer loads, and grants the best engine of its own zone
// instead, if there is one that it may grant. If needsRoom is set, it grants only engines
// with room. The caller must hold mu.
func (al *Allocator) choose(ar *TakeArgs, needsRoom bool) (TakeReply, bool) {
	list, exclude := al.Ready(ar.Request.Service), al.exclusions(ar)
	near := inZone(list, ar.Zone)
	if ar.Within {
		list = near
	}
	dm := ar.demand()
	best, found := al.Tracker.Choose(list, dm, exclude)
	if !found || needsRoom && !dm.Fits(best.Load) || ar.MaxCost > 0 && best.Cost >= ar.MaxCost {
		return TakeReply{Decision: NoEngine}, false
	}
	re := TakeReply{Decision: Granted, Grant: rand.Uint64()}
	if best.Endpoint.Zone != ar.Zone {
		re.OtherZone = best.Endpoint.Zone
		if own, found := al.Tracker.Choose(near, dm, exclude); found && (dm.Fits(own.Load) || !needsRoom) {
			re.MaxCost = max(own.Cost-al.Tracker.ZoneCost(dm), 1)
			best = own
		}
	}
	re.Endpoint, re.Cost, re.Load = best.Endpoint.ID, best.Cost, best.Load
	al.grants.add(re.Grant, re.Endpoint, dm, al.Boot.Now())
	return re, true
}

// demand returns what the request asks of an engine. Whether a request of another zone
// leaves that zone was decided there.
func (ar *TakeArgs) demand() placement.Demand {
	dm := ar.Request.demand()
	if ar.Foreign {
		dm.Service = ""
	}
	return dm
}

// anyUsable reports whether a request could get any engine, if it had room.
func (al *Allocator) anyUsable(ar *TakeArgs) bool {
	list := al.Ready(ar.Request.Service)
	if ar.Within {
		list = inZone(list, ar.Zone)
	}
	_, found := al.Tracker.Choose(list, ar.demand(), al.exclusions(ar))
	return found
}

// exclusions records which engines the asking instance can't reach, and returns those that
// the request must not get. Those that several instances can't reach are among them. The
// caller must hold mu.
func (al *Allocator) exclusions(ar *TakeArgs) map[string]bool {
	now := al.Boot.Now()
	if al.reports == nil {
		al.reports = make(reports)
	}
	al.reports.add(ar.From, ar.Request.Unreachable, now)
	return setOf(ar.Request.Exclude, ar.Request.Unreachable, al.reports.unreachable(now))
}

// setOf returns the set of the elements of some lists.
func setOf(lists ...[]string) map[string]bool {
	set := make(map[string]bool)
	for _, ids := range lists {
		for _, id := range ids {
			set[id] = true
		}
	}
	return set
}

// inZone returns the endpoints of a zone.
func inZone(list []roster.Endpoint, zone string) []roster.Endpoint {
	return slices.DeleteFunc(slices.Clone(list), func(en roster.Endpoint) bool { return en.Zone != zone })
}
