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

// Work is what a request asks of an endpoint.
type Work struct {
	// Engine is nil for requests to plain services.
	Engine *routing.Engine
	// Prompt is the number of tokens that have to be read.
	Prompt int
	// Output is the number of tokens that are expected.
	Output int
	// ColdRate is how many requests a second a cold endpoint takes from this
	// instance; zero means no bound.
	ColdRate float64
	// Zone is where a copy of the work lies, whose endpoints are reached at half
	// the cost; empty means that of the instance.
	Zone string
}

// Board keeps the accounts. Set the exported fields before use. It is safe for
// concurrent use.
type Board struct {
	Clock clockwork.Clock
	// Zone is that of the instance.
	Zone string
	// Instance breaks ties differently on each instance.
	Instance string
	// Changes gets a value when the work at engines changes, unless one waits
	// there; nil gets none.
	Changes chan struct{}

	mu       sync.Mutex
	accounts map[string]*account
	// told is what each other instance said last; foreign is the sum by endpoint.
	told    map[string]map[string]Load
	foreign map[string]Load
	// borders are the ways to other zones.
	borders map[string]*border
}

// Load is what instances tell each other of an endpoint.
type Load struct {
	// Running counts generations, Reading the tokens of prompts that wait to be
	// read, and Held the tokens that generations take up or will.
	Running int
	Reading int
	Held    int
}

// The cost of an endpoint is in milliseconds that a request loses there.
const (
	// readTokensPerMillisecond is the pace at which engines read prompts beside
	// generations: a step of 7 ms and more reads one chunk of 112 tokens.
	readTokensPerMillisecond = 7.0
	// runCost is what each running generation adds to the time of a new one.
	runCost = 12.0
	// callCost is what each running call of a plain service adds to a new one's
	// wait, as a share of the slots.
	callCost = 60.0
	// zoneCost is for endpoints in another zone: the way there and back.
	zoneCost = 6.0
	// engineZoneCost is for engines in another zone, and outputZoneCost for each
	// token that is expected there: the longer a stream, the likelier it is cut
	// off with its zone, or has to be copied while its engine leaves.
	engineZoneCost = 30.0
	outputZoneCost = 1.3
	// copyZoneCost is for a copy into another zone, which takes twice as long.
	copyZoneCost = 500.0
	// failureCost is for an endpoint that failed once just now.
	failureCost = 120.0
	// fullCost is for an engine whose memory or slots are taken up.
	fullCost = 2000.0
	// coldCost is for an endpoint that is cold: its first second is slow.
	coldCost = 60.0
	// tieCost spreads instances over endpoints of the same cost.
	tieCost = 4.0
	// memoryShare is how much of an engine's memory may be planned for: some is
	// kept for shared prompts.
	memoryShare = 0.9
)

// Choose returns the endpoint of least cost among those that are not excluded,
// or false if none may be used now.
func (bo *Board) Choose(list []roster.Endpoint, wo Work, exclude map[string]bool) (Choice, bool) {
	now := bo.Clock.Now()
	bo.mu.Lock()
	defer bo.mu.Unlock()
	best, least := -1, math.Inf(1)
	for ix, en := range list {
		if exclude[en.ID] {
			continue
		}
		if cost, usable := bo.cost(en, wo, now); usable && cost < least {
			best, least = ix, cost
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Endpoint: list[best], Cost: least, Load: bo.load(list[best].ID)}, true
}

// Choice is an endpoint with what decided for it.
type Choice struct {
	Endpoint roster.Endpoint
	// Cost is what the request is expected to lose there, in milliseconds.
	Cost float64
	// Load is what runs there by all accounts.
	Load Load
}

// load returns what runs at an endpoint by all accounts.
func (bo *Board) load(id string) Load {
	lo := bo.foreign[id]
	if ac := bo.accounts[id]; ac != nil {
		lo.Running += ac.running
		lo.Reading += ac.reading
		lo.Held += ac.held
	}
	return lo
}

// cost returns what a request loses at an endpoint, in milliseconds, or false if
// the endpoint may not be used now: it can't be reached, or is cold and has had
// its share.
func (bo *Board) cost(en roster.Endpoint, wo Work, now time.Time) (float64, bool) {
	ac := bo.accounts[en.ID]
	if ac == nil {
		ac = &account{}
	}
	if now.Before(ac.shunUntil) {
		return 0, false
	}
	cost := tieCost*tie(bo.Instance, en.ID) + failureCost*ac.failing(now)
	if now.Before(en.ColdUntil) {
		if wo.ColdRate > 0 && float64(ac.arrivedLately(now)) >= wo.ColdRate {
			return 0, false
		}
		cost += coldCost
	}
	home := bo.Zone
	if wo.Zone != "" {
		home = wo.Zone
	}
	if en.Zone != home {
		cost += wo.away()
	}
	cost += borderCost * bo.borders[en.Zone].failing(now)
	lo := bo.load(en.ID)
	if wo.Engine == nil {
		return cost + callCost*float64(lo.Running)/float64(max(en.Slots, 1)), true
	}
	return cost + engineCost(lo, wo), true
}

// away is the cost of an endpoint in another zone.
func (wo Work) away() float64 {
	switch {
	case wo.Zone != "":
		return copyZoneCost
	case wo.Engine != nil:
		return engineZoneCost + outputZoneCost*float64(wo.Output)
	default:
		return zoneCost
	}
}

// engineCost is the cost of a generation at an engine with a load.
func engineCost(lo Load, wo Work) float64 {
	cost := float64(lo.Reading)/readTokensPerMillisecond + runCost*float64(lo.Running)
	memory := memoryShare * float64(wo.Engine.MemoryTokens)
	if over := float64(lo.Held+wo.Prompt+wo.Output) - memory; over > 0 {
		cost += fullCost * (1 + over/memory)
	}
	if lo.Running >= wo.Engine.Slots {
		cost += fullCost
	}
	return cost
}

// tie returns a number from 0 to 1 for an instance and an endpoint.
func tie(instance, endpoint string) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String(instance+"/"+endpoint)%steps) / steps
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Loads returns what runs at engines by the accounts of this instance.
func (bo *Board) Loads() map[string]Load {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	loads := make(map[string]Load, len(bo.accounts))
	for id, ac := range bo.accounts {
		if ac.generations > 0 || ac.held > 0 {
			loads[id] = Load{Running: ac.generations, Reading: ac.reading, Held: ac.held}
		}
	}
	return loads
}

// Tell replaces what another instance said of its work at engines.
func (bo *Board) Tell(instance string, loads map[string]Load) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if bo.told == nil {
		bo.told, bo.foreign = make(map[string]map[string]Load), make(map[string]Load)
	}
	for id, lo := range bo.told[instance] {
		bo.addForeign(id, Load{-lo.Running, -lo.Reading, -lo.Held})
	}
	for id, lo := range loads {
		bo.addForeign(id, lo)
	}
	bo.told[instance] = loads
	if len(loads) == 0 {
		delete(bo.told, instance)
	}
}

func (bo *Board) addForeign(id string, lo Load) {
	sum := bo.foreign[id]
	sum.Running += lo.Running
	sum.Reading += lo.Reading
	sum.Held += lo.Held
	bo.foreign[id] = sum
	if sum == (Load{}) {
		delete(bo.foreign, id)
	}
}

// changed tells listeners that the work at engines changed.
func (bo *Board) changed() {
	select {
	case bo.Changes <- struct{}{}:
	default:
	}
}

// Forget drops the accounts of endpoints that are gone and have nothing
// running.
func (bo *Board) Forget(known func(id string) bool) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	for id, ac := range bo.accounts {
		if ac.running == 0 && ac.held == 0 && !known(id) {
			delete(bo.accounts, id)
		}
	}
}

// Fail notes a failure that was seen outside a ticket.
func (bo *Board) Fail(id string, ou Outcome) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.account(id).settle(ou, bo.Clock.Now())
}

func (bo *Board) account(id string) *account {
	if bo.accounts == nil {
		bo.accounts = make(map[string]*account)
	}
	ac := bo.accounts[id]
	if ac == nil {
		ac = &account{}
		bo.accounts[id] = ac
	}
	return ac
}
