package spillover

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

const (
	simStep      = 10 * time.Millisecond
	simNear      = 100 * time.Millisecond // age of loads of the same zone
	simFarEach   = 4 * time.Millisecond   // age of loads of other zones, for each instance there
	simObjective = 1500 * time.Millisecond
	simPrefill   = 14.0 // tokens a millisecond
	simToken     = 8 * time.Millisecond
)

var simEngine = &routing.Engine{Slots: 24, MemoryTokens: 27_000}

// fleet is a number of instances in front of endpoints in three zones, in virtual time.
type fleet struct {
	clock     *clockwork.FakeClock
	random    *rand.Rand
	begun     time.Time
	zones     []string
	instances []*instance
	endpoints []roster.Endpoint
	// free is when each slot of an endpoint is free: the one that prefills of an engine,
	// or those of a plain service.
	free map[string][]time.Time
	// plain is the work of a call; zero selects engines.
	plain time.Duration
	// slow multiplies the times in a zone. down has the zones without endpoints, cut
	// those that other zones cannot reach.
	slow      map[string]float64
	down, cut map[string]bool
	due       map[int][]func()
	step      int
	// sent counts requests by zone of the caller and of the endpoint; inTime those that
	// met the objective, by zone of the caller, and all those that did not.
	sent          map[[2]string]int
	inTime, total map[string]int
	// unreachable counts connection attempts that failed.
	unreachable int
	// shares has the mean share of each zone every 100 ms.
	shares map[string][]float64
}

type instance struct {
	zone       string
	tracker    *placement.LoadTracker
	controller *Controller
}

// newFleet returns instances of which a third is in each zone, in front of the given
// numbers of endpoints in the zones a, b and c.
func newFleet(instances int, counts ...int) *fleet {
	fl := &fleet{
		clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 2)), zones: []string{"a", "b", "c"},
		free: make(map[string][]time.Time), slow: make(map[string]float64), down: make(map[string]bool), cut: make(map[string]bool),
		due: make(map[int][]func()), sent: make(map[[2]string]int), inTime: make(map[string]int), total: make(map[string]int), shares: make(map[string][]float64),
	}
	fl.begun = fl.clock.Now()
	for ix, count := range counts {
		for number := range count {
			id := fmt.Sprintf("%s-%d", fl.zones[ix], number)
			fl.endpoints = append(fl.endpoints, roster.Endpoint{ID: id, Service: "s", Zone: fl.zones[ix], Slots: 6})
			fl.free[id] = make([]time.Time, 1)
		}
	}
	for ix := range instances {
		in := &instance{zone: fl.zones[ix%3], controller: &Controller{Zone: fl.zones[ix%3], Clock: fl.clock, Log: zerolog.Nop()}}
		in.controller.Services = func() []Service { return []Service{fl.service()} }
		in.controller.Loads = func(_ string, typical placement.Demand) []placement.ZoneLoad {
			return in.tracker.ZoneLoads(fl.ready(), typical)
		}
		in.tracker = &placement.LoadTracker{Clock: fl.clock, Zone: in.zone, Instance: fmt.Sprint("i", ix), Zones: in.controller}
		fl.instances = append(fl.instances, in)
	}
	return fl
}

// service describes the service of the endpoints.
func (fl *fleet) service() Service {
	if fl.plain > 0 {
		return Service{Name: "s", Objective: 100 * time.Millisecond}
	}
	return Service{Name: "s", Engine: simEngine, Objective: simObjective}
}

// withPlain lets the endpoints be those of a plain service with the given work.
func (fl *fleet) withPlain(work time.Duration) *fleet {
	fl.plain = work
	for _, en := range fl.endpoints {
		fl.free[en.ID] = make([]time.Time, en.Slots)
	}
	return fl
}

// play lets requests arrive at the given rates, for each second and zone.
func (fl *fleet) play(length time.Duration, rates ...float64) {
	for end := fl.step + int(length/simStep); fl.step < end; fl.step++ {
		for _, do := range fl.due[fl.step] {
			do()
		}
		delete(fl.due, fl.step)
		fl.exchange()
		for ix, rate := range rates {
			for count := rate * simStep.Seconds(); count > 0; count-- {
				if fl.random.Float64() < count {
					fl.arrive(fl.zones[ix])
				}
			}
		}
		if fl.step%int(evaluationInterval/simStep) == 0 {
			for _, in := range fl.instances {
				in.controller.evaluate()
			}
			fl.sample()
		}
		fl.clock.Advance(simStep)
	}
}

// exchange tells the instances of a zone each other's loads, and those of other zones.
func (fl *fleet) exchange() {
	far := min(simFarEach*time.Duration(len(fl.instances)*2/3), time.Second)
	toNear, toFar := fl.step%int(simNear/simStep) == 0, fl.step%max(int(far/simStep), 1) == 0
	if !toNear && !toFar {
		return
	}
	totals := make(map[string]map[string]placement.Load)
	for _, in := range fl.instances {
		if totals[in.zone] == nil {
			totals[in.zone] = make(map[string]placement.Load)
		}
		for id, lo := range in.tracker.Loads() {
			totals[in.zone][id] = plus(totals[in.zone][id], lo, 1)
		}
	}
	for _, in := range fl.instances {
		for zone, total := range totals {
			switch {
			case zone == in.zone && toNear:
				others := make(map[string]placement.Load, len(total))
				own := in.tracker.Loads()
				for id, lo := range total {
					others[id] = plus(lo, own[id], -1)
				}
				in.tracker.SetRemoteLoads(zone, others)
			case zone != in.zone && toFar && !fl.cut[zone] && !fl.cut[in.zone]:
				in.tracker.SetRemoteLoads(zone, total)
			}
		}
	}
}

func plus(lo, other placement.Load, sign int) placement.Load {
	return placement.Load{Running: lo.Running + sign*other.Running, PrefillTokens: lo.PrefillTokens + sign*other.PrefillTokens, ReservedTokens: lo.ReservedTokens + sign*other.ReservedTokens}
}

// arrive lets a request arrive at any instance of a zone.
func (fl *fleet) arrive(zone string) {
	var in *instance
	for in == nil || in.zone != zone {
		in = fl.instances[fl.random.IntN(len(fl.instances))]
	}
	dm := placement.Demand{Service: "s", Request: fmt.Sprint(fl.random.Uint64()), Engine: fl.service().Engine}
	if fl.plain == 0 {
		dm.Prompt, dm.Output = 2550, 4
		if fl.random.Float64() < 0.45 {
			dm.Prompt, dm.Output = 3080, 374
		}
	}
	fl.total[zone]++
	exclude := make(map[string]bool)
	for {
		ch, found := in.tracker.Choose(fl.ready(), dm, exclude)
		if !found {
			return
		}
		en := ch.Endpoint
		ti := in.tracker.Begin(en, dm)
		if en.Zone != zone && (fl.cut[en.Zone] || fl.cut[zone]) {
			ti.End(placement.Unreachable)
			fl.unreachable++
			exclude[en.ID] = true
			continue
		}
		fl.sent[[2]string{zone, en.Zone}]++
		fl.run(en, dm, ti, zone)
		return
	}
}

// run lets an endpoint run a request.
func (fl *fleet) run(en roster.Endpoint, dm placement.Demand, ti *placement.Ticket, zone string) {
	slots := fl.free[en.ID]
	first := 0
	for ix, at := range slots {
		if at.Before(slots[first]) {
			first = ix
		}
	}
	work, output := fl.plain, time.Duration(0)
	if fl.plain == 0 {
		work, output = time.Duration(float64(dm.Prompt)/simPrefill*float64(time.Millisecond)), 2*time.Duration(dm.Output)*simToken
	}
	slow := max(fl.slow[en.Zone], 1)
	now := fl.clock.Now()
	begin := now
	if slots[first].After(now) {
		begin = slots[first]
	}
	answered := begin.Add(time.Duration(slow * float64(work)))
	slots[first] = answered
	if answered.Sub(now) <= fl.service().Objective {
		fl.inTime[zone]++
	}
	fl.at(answered.Sub(now), ti.Started)
	fl.at(answered.Sub(now)+time.Duration(slow*float64(output)), func() { ti.End(placement.Done) })
}

func (fl *fleet) at(after time.Duration, do func()) {
	step := fl.step + max(int(after/simStep), 1)
	fl.due[step] = append(fl.due[step], do)
}

// ready returns the endpoints of the zones that are not down.
func (fl *fleet) ready() []roster.Endpoint {
	if len(fl.down) == 0 {
		return fl.endpoints
	}
	var list []roster.Endpoint
	for _, en := range fl.endpoints {
		if !fl.down[en.Zone] {
			list = append(list, en)
		}
	}
	return list
}

// sample records the shares.
func (fl *fleet) sample() {
	sums, counts := make(map[string]float64), make(map[string]float64)
	for _, in := range fl.instances {
		sums[in.zone] += in.controller.services["s"].zones[in.zone].share
		counts[in.zone]++
	}
	for _, zone := range fl.zones {
		fl.shares[zone] = append(fl.shares[zone], sums[zone]/counts[zone])
	}
}

// reset forgets what was counted.
func (fl *fleet) reset() {
	clear(fl.sent)
	clear(fl.inTime)
	clear(fl.total)
	clear(fl.shares)
}

// left returns the part of a zone's requests that left it.
func (fl *fleet) left(zone string) float64 {
	left, all := 0, 0
	for pair, count := range fl.sent {
		if pair[0] == zone {
			all += count
			if pair[1] != zone {
				left += count
			}
		}
	}
	return float64(left) / float64(max(all, 1))
}

// served returns the part of a zone's requests that met their objective.
func (fl *fleet) served(zone string) float64 {
	return float64(fl.inTime[zone]) / float64(max(fl.total[zone], 1))
}

// turns returns how often the share of a zone turned around by more than a step.
func (fl *fleet) turns(zone string, step float64) int {
	turns, rising, extreme := 0, true, 0.0
	for _, share := range fl.shares[zone] {
		switch {
		case rising && share > extreme || !rising && share < extreme:
			extreme = share
		case rising && share < extreme-step || !rising && share > extreme+step:
			rising, extreme = !rising, share
			turns++
		}
	}
	return turns
}
