package spillover

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

const (
	// minInstances is the number of instances of a zone from which on they decide
	// together. The loads that fewer tell each other are fresh enough for each to weigh
	// single endpoints of other zones.
	minInstances = 4
	// evaluationInterval is the time between two evaluations of a service's shares.
	evaluationInterval = 100 * time.Millisecond
	// demandWeight is the weight of one request in the moving averages of a service's
	// demands.
	demandWeight = 0.05
	// loggedChange is the change of a share from which it is logged again, and
	// leastLogged the share from which it is logged at all.
	loggedChange = 0.25
	leastLogged  = 0.1
)

// Service describes a service that the configuration has.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *routing.Engine
	// Objective is the shortest objective of the routes to the service. Zero means that
	// they have none.
	Objective time.Duration
}

// Controller decides which requests may leave their zone. Set the exported fields
// before use. It is safe for concurrent use.
type Controller struct {
	// Zone is the availability zone of the instance.
	Zone string
	// Services returns the services of the configuration in force.
	Services func() []Service
	// Loads returns the loads of a service's zones for a typical demand.
	Loads func(service string, typical placement.Demand) []placement.ZoneLoad
	// Instances returns the number of instances of the zone. If it is nil, there are enough.
	Instances func() int
	Clock     clockwork.Clock
	Log       zerolog.Logger
	// Scope records metrics. If it is nil, none are recorded.
	Scope tally.Scope

	// tooFew is set while the zone has fewer than minInstances instances.
	tooFew   atomic.Bool
	mu       sync.Mutex
	services map[string]*service
}

// Name implements controller.Controller.
func (co *Controller) Name() string { return "spillover" }

// Run computes the shares until ctx is canceled.
func (co *Controller) Run(ctx context.Context) error {
	ti := co.Clock.NewTicker(evaluationInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
			co.evaluate()
		}
	}
}

// evaluate computes the shares of all services. It calls Loads without holding mu:
// LoadTracker calls Admit under its own lock.
func (co *Controller) evaluate() {
	co.tooFew.Store(co.Instances != nil && co.Instances() < minInstances)
	now := co.Clock.Now()
	list := co.Services()
	co.prune(list)
	for _, se := range list {
		loads := co.Loads(se.Name, co.configure(se))
		co.mu.Lock()
		sv := co.service(se.Name)
		sv.update(loads, co.Zone, now)
		co.report(se.Name, sv)
		co.mu.Unlock()
	}
}

// prune forgets services that the configuration no longer has.
func (co *Controller) prune(list []Service) {
	co.mu.Lock()
	defer co.mu.Unlock()
	maps.DeleteFunc(co.services, func(name string, _ *service) bool {
		return !slices.ContainsFunc(list, func(se Service) bool { return se.Name == name })
	})
}

// configure records what the configuration says of a service. It returns the mean demand
// of its requests.
func (co *Controller) configure(se Service) placement.Demand {
	co.mu.Lock()
	defer co.mu.Unlock()
	sv := co.service(se.Name)
	sv.objective, sv.typical.Engine = se.Objective, se.Engine
	return sv.typical
}

// Active implements placement.Zones.
func (co *Controller) Active() bool { return !co.tooFew.Load() }

// Admit implements placement.Zones.
func (co *Controller) Admit(dm placement.Demand, home string) placement.Admission {
	co.mu.Lock()
	defer co.mu.Unlock()
	sv := co.service(dm.Service)
	sv.learn(dm)
	return sv.admit(dm, home)
}

// Sent implements placement.Zones.
func (co *Controller) Sent(en roster.Endpoint, home string) {
	if co.Scope != nil && en.Zone != home {
		co.Scope.Tagged(map[string]string{"service": en.Service, "zone": en.Zone}).Counter("remote_zone_requests").Inc(1)
	}
}

// service returns the state of a service and creates it if necessary. The caller must
// hold mu.
func (co *Controller) service(name string) *service {
	if co.services == nil {
		co.services = make(map[string]*service)
	}
	sv := co.services[name]
	if sv == nil {
		sv = &service{zones: make(map[string]*zone)}
		co.services[name] = sv
	}
	return sv
}

// learn adds a request to the moving averages of a service.
func (sv *service) learn(dm placement.Demand) {
	if sv.typical.Prompt == 0 {
		sv.typical.Prompt, sv.typical.Output = dm.Prompt, dm.Output
	}
	sv.typical.Prompt += int(math.Round(demandWeight * float64(dm.Prompt-sv.typical.Prompt)))
	sv.typical.Output += int(math.Round(demandWeight * float64(dm.Output-sv.typical.Output)))
}

// report logs and records the share of the instance's zone if it changed. The caller
// must hold mu.
func (co *Controller) report(name string, sv *service) {
	zo := sv.zones[co.Zone]
	if co.Scope != nil {
		co.Scope.Tagged(map[string]string{"service": name}).Gauge("spillover_share").Update(zo.share)
	}
	begins, ends := sv.loggedShare == 0 && zo.share >= leastLogged, sv.loggedShare > 0 && zo.share == 0
	if !zo.known || !begins && !ends && math.Abs(zo.share-sv.loggedShare) < loggedChange {
		return
	}
	ev := co.Log.Info().Str("event", "spillover_share").Str("service", name).Str("zone", co.Zone).Float64("share", zo.share).Float64("before", sv.loggedShare).
		Strs("lenders", zo.lenders).Bool("no_endpoint", zo.absent).Dur("wait", zo.load.Wait).Float64("free", zo.freeShare()).Int("sound", zo.load.Sound)
	for _, other := range zo.lenders {
		le := sv.zones[other]
		ev = ev.Dur("wait_"+other, le.load.Wait).Float64("free_"+other, le.freeShare())
	}
	ev.Msg("spillover: the share of requests that leave the zone changed")
	sv.loggedShare = zo.share
}
