package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// Demand is the resource demand of one request.
type Demand struct {
	// Engine describes the inference engines of the service. It is nil for
	// requests to plain services.
	Engine *routing.Engine
	// Prompt is the number of prompt tokens to prefill.
	Prompt int
	// Output is the number of output tokens to plan for. The dispatcher passes the
	// mean over the duration of the generation, since the output grows from zero.
	Output int
	// Zone is the availability zone that holds the KV cache of the generation when
	// it migrates. A copy within that zone takes half as long as a copy to
	// another. Empty means that no KV cache is copied and the zone of the instance
	// counts.
	Zone string
	// Service and Request are the name of the service and the ID of the request. Zones
	// decides only on demands with a Service.
	Service string
	Request string
	// margin is that of the request's Admission.
	margin time.Duration
}

// LoadTracker tracks the load of endpoints and chooses among them. Set the
// exported fields before use. It is safe for concurrent use.
type LoadTracker struct {
	Clock clockwork.Clock
	// Zone is the availability zone of this instance.
	Zone string
	// Instance is the name of this instance. It seeds the tie-break between
	// endpoints of equal cost, so that instances spread over them.
	Instance string
	// Changes receives a value when the load of an engine changes. The send does
	// not block: it is skipped if the channel is full. Nil disables notifications.
	Changes chan struct{}
	// Backpressure tells which endpoints take requests. If it is nil, all do.
	Backpressure Backpressure
	// Emptying reports whether an endpoint is about to be stopped once nothing runs
	// there any more, so that calls of plain services there are reported, too. Nil
	// means that none is.
	Emptying func(id string) bool
	// Outliers tells which endpoints fail while others do not. Nil means none.
	Outliers Outliers
	// OnZoneFailing is called, with locks held, when a zone begins to fail. It may be nil.
	OnZoneFailing func(FailingZone)
	// Zones decides which zones requests may be sent to. If it is nil or not active, only
	// the extra cost of endpoints in other zones does, and running calls to plain services
	// are not reported, except as Emptying says.
	Zones Zones

	mu       sync.Mutex
	accounts map[string]*account
	// remoteLoads has the last report of each other instance, by instance and
	// endpoint. remoteTotals has the sum of these reports by endpoint.
	remoteLoads  map[string]map[string]Load
	remoteTotals map[string]Load
	// zonePaths has the reachability of other zones, by zone.
	zonePaths map[string]*zonePath
	// zoneFailures has the failed connections to endpoints by zone.
	zoneFailures zoneFailures
}

// Backpressure tells what endpoints said of the requests that they take.
// backpressure.Registry implements it.
type Backpressure interface {
	// Available reports whether an endpoint may take a request now.
	Available(en roster.Endpoint) bool
	// IsLimited reports whether an endpoint takes only a limited rate of requests.
	IsLimited(en roster.Endpoint) bool
}

// accepts reports whether an endpoint may take a request now. Endpoints with a rate
// limit are left out for a migration or a standby copy: whether they take the run is
// known only once it has been stopped elsewhere.
func (lt *LoadTracker) accepts(en roster.Endpoint, migrates bool) bool {
	if lt.Backpressure == nil {
		return true
	}
	if migrates && lt.Backpressure.IsLimited(en) {
		return false
	}
	return lt.Backpressure.Available(en)
}

// Load is the load of one endpoint, as instances report it to each other.
type Load struct {
	// Running is the number of generations in flight, or of calls to a plain service.
	Running int
	// PrefillTokens is the number of prompt tokens still to be prefilled.
	PrefillTokens int
	// ReservedTokens is the KV-cache memory, in tokens, that generations and
	// standby copies occupy or are expected to occupy.
	ReservedTokens int
}

// The cost of an endpoint is the expected delay of a request there, in
// milliseconds, plus penalties for risks on the same scale.
const (
	// prefillTokensPerMillisecond is the rate at which an engine that also runs
	// generations is assumed to prefill prompts. Such an engine prefills one chunk
	// of 112 tokens in each step, and a step takes 7 ms or longer. At a rate of 7.0
	// tokens per millisecond, a chunk takes 16 ms.
	prefillTokensPerMillisecond = 7.0
	// generationCost is the delay that each running generation adds to a new one.
	generationCost = 12.0
	// callCost applies to an endpoint of a plain service whose slots are all in
	// use. It is scaled by the ratio of running calls to slots.
	callCost = 60.0
	// zoneCost is the network round trip to another zone.
	zoneCost = 6.0
	// engineZoneCost applies to engines in another zone, plus outputZoneCost for
	// each token of Demand.Output: the longer a stream, the more likely it is that
	// a network partition interrupts it, or that it must be migrated because its
	// engine drains.
	engineZoneCost = 30.0
	outputZoneCost = 1.3
	// copyZoneCost applies to engines in another zone when a generation migrates:
	// the KV-cache copy takes twice as long as one within the zone.
	copyZoneCost = 500.0
	// failureCost applies to an endpoint with a failure score of 1.
	failureCost = 120.0
	// exhaustedCost applies to an engine whose memory does not suffice for the
	// request, and grows with the memory that is missing. It also applies to an
	// engine whose slots are all in use. If both hold, the costs add up.
	exhaustedCost = 2000.0
	// coldCost applies to an endpoint in cold start, which is slow in its first
	// second.
	coldCost = 60.0
	// tieBreakCost is the largest per-instance offset, which spreads instances
	// over endpoints of equal cost.
	tieBreakCost = 4.0
	// plannableMemoryShare is the share of an engine's memory that generations may
	// reserve. The rest is left for prompt prefixes that requests share.
	plannableMemoryShare = 0.9
)

// choose returns the endpoint of lowest cost in all zones, leaving out those whose ID
// is in exclude. The caller must hold mu.
func (lt *LoadTracker) choose(list []roster.Endpoint, dm Demand, exclude map[string]bool, now time.Time) (Choice, bool) {
	best, lowest := -1, math.Inf(1)
	for ix, en := range list {
		if exclude[en.ID] || !lt.accepts(en, dm.Zone != "") {
			continue
		}
		if cost, usable := lt.cost(en, dm, now); usable && cost < lowest {
			best, lowest = ix, cost
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Endpoint: list[best], Cost: lowest, Load: lt.load(list[best].ID)}, true
}

// Choice is the chosen endpoint and the inputs of the decision, for logs.
type Choice struct {
	Endpoint roster.Endpoint
	// Cost is the expected delay of the request there, in milliseconds, including
	// penalties for risks.
	Cost float64
	// Load is the load of the endpoint over all instances. Its Running also counts
	// this instance's calls to plain services.
	Load Load
}

// load returns the load of an endpoint over all instances. The caller must hold
// mu.
func (lt *LoadTracker) load(id string) Load {
	lo := lt.remoteTotals[id]
	if ac := lt.accounts[id]; ac != nil {
		lo.Running += ac.inFlight
		lo.PrefillTokens += ac.prefillTokens
		lo.ReservedTokens += ac.reservedTokens
	}
	return lo
}

// cost returns the cost of running a request at an endpoint, in milliseconds.
// It returns false if the endpoint is in back-off after a failed connection attempt.
// The caller must hold mu.
func (lt *LoadTracker) cost(en roster.Endpoint, dm Demand, now time.Time) (float64, bool) {
	ac := lt.accounts[en.ID]
	if ac == nil {
		ac = &account{}
	}
	if now.Before(ac.backoffUntil) {
		return 0, false
	}
	cost := tieBreakCost*tieBreak(lt.Instance, en.ID) + failureCost*ac.failureScore(now)
	if now.Before(en.ColdUntil) {
		cost += coldCost
	}
	homeZone := lt.Zone
	if dm.Zone != "" {
		homeZone = dm.Zone
	}
	if en.Zone != homeZone {
		cost += lt.remoteZoneCost(en, dm)
	}
	cost += zonePathCost*lt.zonePaths[en.Zone].failureScore(now) + lt.riskCost(en, dm, now)
	lo := lt.load(en.ID)
	if dm.Engine == nil {
		return cost + callCost*float64(ac.inFlight)/float64(max(en.Slots, 1)), true
	}
	return cost + engineCost(lo, dm), true
}

// remoteZoneCost returns the cost of an endpoint in another zone.
func (dm Demand) remoteZoneCost() float64 {
	switch {
	case dm.Zone != "":
		return copyZoneCost
	case dm.Engine != nil:
		return engineZoneCost + outputZoneCost*float64(dm.Output)
	default:
		return zoneCost
	}
}

// engineCost returns the cost of a new generation at an engine with load lo.
func engineCost(lo Load, dm Demand) float64 {
	cost := float64(lo.PrefillTokens)/prefillTokensPerMillisecond + generationCost*float64(lo.Running)
	memory := plannableMemoryShare * float64(dm.Engine.MemoryTokens)
	if excess := float64(lo.ReservedTokens+dm.Prompt+dm.Output) - memory; excess > 0 {
		cost += exhaustedCost * (1 + excess/memory)
	}
	if lo.Running >= dm.Engine.Slots {
		cost += exhaustedCost
	}
	return cost
}

// tieBreak returns a stable pseudo-random number in [0, 1) for an instance or request and
// an endpoint.
func tieBreak(key, endpoint string) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String(key+"/"+endpoint)%steps) / steps
}

// decay returns the factor by which a score of the given age has decayed.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Loads returns the load that this instance places on endpoints. Unless Zones is active,
// those of plain services are left out, except as Emptying says.
func (lt *LoadTracker) Loads() map[string]Load {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	loads := make(map[string]Load, len(lt.accounts))
	for id, ac := range lt.accounts {
		switch {
		case ac.generations > 0 || ac.reservedTokens > 0:
			loads[id] = Load{Running: ac.generations, PrefillTokens: ac.prefillTokens, ReservedTokens: ac.reservedTokens}
		case ac.inFlight > 0 && (lt.hasZones() || lt.Emptying != nil && lt.Emptying(id)):
			loads[id] = Load{Running: ac.inFlight}
		}
	}
	return loads
}

// Running returns the number of requests in flight at an endpoint, as far as instances
// report them.
func (lt *LoadTracker) Running(id string) int {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	return lt.load(id).Running
}

// SetRemoteLoads replaces the loads that another instance reported. Nil loads
// remove the instance.
func (lt *LoadTracker) SetRemoteLoads(instance string, loads map[string]Load) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	if lt.remoteLoads == nil {
		lt.remoteLoads, lt.remoteTotals = make(map[string]map[string]Load), make(map[string]Load)
	}
	for id, lo := range lt.remoteLoads[instance] {
		lt.addRemoteLoad(id, Load{-lo.Running, -lo.PrefillTokens, -lo.ReservedTokens})
	}
	for id, lo := range loads {
		lt.addRemoteLoad(id, lo)
	}
	lt.remoteLoads[instance] = loads
	if len(loads) == 0 {
		delete(lt.remoteLoads, instance)
	}
}

func (lt *LoadTracker) addRemoteLoad(id string, lo Load) {
	sum := lt.remoteTotals[id]
	sum.Running += lo.Running
	sum.PrefillTokens += lo.PrefillTokens
	sum.ReservedTokens += lo.ReservedTokens
	lt.remoteTotals[id] = sum
	if sum == (Load{}) {
		delete(lt.remoteTotals, id)
	}
}

// notifyChange signals on Changes that the load of an engine changed.
func (lt *LoadTracker) notifyChange() {
	select {
	case lt.Changes <- struct{}{}:
	default:
	}
}

// Forget removes the accounts of endpoints for which known returns false,
// unless requests or standby copies are still accounted to them.
func (lt *LoadTracker) Forget(known func(id string) bool) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	for id, ac := range lt.accounts {
		if ac.inFlight == 0 && ac.reservedTokens == 0 && !known(id) {
			delete(lt.accounts, id)
		}
	}
}

// RecordOutcome updates the failure score and the back-off of an endpoint for an
// attempt that has no ticket.
func (lt *LoadTracker) RecordOutcome(id string, ou Outcome) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	lt.account(id).recordOutcome(ou, lt.Clock.Now())
}

// ClearBackoff ends the back-off of an endpoint that can be reached again.
func (lt *LoadTracker) ClearBackoff(id string) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	if ac := lt.accounts[id]; ac != nil {
		ac.backoffs, ac.backoffUntil = 0, time.Time{}
	}
}

// account returns the account of an endpoint and creates it if necessary. The
// caller must hold mu.
func (lt *LoadTracker) account(id string) *account {
	if lt.accounts == nil {
		lt.accounts = make(map[string]*account)
	}
	ac := lt.accounts[id]
	if ac == nil {
		ac = &account{}
		lt.accounts[id] = ac
	}
	return ac
}
