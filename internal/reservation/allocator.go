package reservation

import (
	"math/rand/v2"
	"slices"
	"sync"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
)

// Allocator chooses engines for the instances of its zone, for the services for which it
// has the highest rank. Set the exported fields before use. It is safe for concurrent
// use.
type Allocator struct {
	Peers *ratelimit.Peers
	// Tracker has the loads of all instances, as this one knows them.
	Tracker *placement.LoadTracker
	// Ready returns the endpoints of a service that may get requests.
	Ready func(service string) []roster.Endpoint
	Boot  boottime.Clock

	mu      sync.Mutex
	grants  grants
	reports reports
}

// Take chooses an engine for a request.
func (al *Allocator) Take(ar TakeArgs) TakeReply {
	vi := al.Peers.Zone(ar.Zone, ar.Request.Service)
	if !vi.Settled || vi.Allocator == nil || vi.Allocator.Name != al.Peers.Self.Name {
		return TakeReply{}
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	al.expire()
	return al.choose(&ar)
}

// choose grants the engine of lowest cost. If that is in another zone, it grants the best
// one of its own zone and names the other, whose allocator knows better. The caller must
// hold mu.
func (al *Allocator) choose(ar *TakeArgs) TakeReply {
	list, exclude := al.Ready(ar.Request.Service), al.exclusions(ar)
	near := inZone(list, ar.Zone)
	if ar.Within {
		list = near
	}
	dm := ar.Request.demand()
	best, found := al.Tracker.Choose(list, dm, exclude)
	if !found || ar.Within && best.Cost >= ar.MaxCost {
		return TakeReply{Decision: NoEngine}
	}
	re := TakeReply{}
	if best.Endpoint.Zone != ar.Zone {
		if own, found := al.Tracker.Choose(near, dm, exclude); found {
			// The cost of the other zone's engine includes that of the way there, which
			// its allocator doesn't count.
			re.OtherZone, re.MaxCost = best.Endpoint.Zone, own.Cost-dm.ZoneCost()
			best = own
		}
	}
	re.Decision, re.Grant, re.Endpoint, re.Cost, re.Load = Granted, rand.Uint64(), best.Endpoint.ID, best.Cost, best.Load
	al.grants.add(re.Grant, re.Endpoint, dm, al.Boot.Now())
	return re
}

// exclusions returns the engines that a request must not get. Those that others can't reach
// are among them.
func (al *Allocator) exclusions(ar *TakeArgs) map[string]bool {
	now := al.Boot.Now()
	if al.reports == nil {
		al.reports = make(reports)
	}
	al.reports.add(ar.From, ar.Request.Unreachable, now)
	return setOf(ar.Request.Exclude, ar.Request.Unreachable, al.reports.unreachable(now))
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

// Prune drops the grants whose time has passed.
func (al *Allocator) Prune() {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.expire()
}

func (al *Allocator) expire() {
	al.grants.tracker = al.Tracker
	al.grants.expire(al.Boot.Now())
}

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

// ServiceName is the name under which Service is registered at a peer.Server.
const ServiceName = "Reservation"

// Service has the calls that other instances make.
type Service struct{ al *Allocator }

// Service returns the calls of the allocator.
func (al *Allocator) Service() *Service { return &Service{al: al} }

// Take answers the call of that name.
func (se *Service) Take(ar TakeArgs, re *TakeReply) (err error) {
	defer peer.Recover(&err)
	*re = se.al.Take(ar)
	return nil
}
