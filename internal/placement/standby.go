package placement

import (
	"math"

	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// maxStandbyFill is the highest share of an engine's memory that may be
	// reserved, the standby copy included. Above it the copy could evict running
	// generations, which costs more than the copy saves.
	maxStandbyFill = 0.4
	// maxMeanFill is the highest mean share of reserved memory over all engines at
	// which standby copies are placed. Above it single engines fill up by chance,
	// and copies there would evict running generations.
	maxMeanFill = 0.45
	// fillCost applies to an engine whose memory is fully reserved, and
	// proportionally to one with less reserved.
	fillCost = 1000.0
	// standbyZoneCost applies to a copy outside the instance's zone: it takes
	// twice as long and is unreachable while the zones are partitioned.
	standbyZoneCost = 400.0
)

// ChooseStandby returns the engine that should hold the standby copy of a
// generation that runs on the engine with the ID primary. It leaves out engines
// in cold start or back-off, and those that limit requests. It returns false if no other engine has enough free
// memory, or if the engines are too full on average. Engines in the instance's
// own zone are preferred, so that the copy stays reachable when the zone of the
// primary is partitioned.
func (lt *LoadTracker) ChooseStandby(list []roster.Endpoint, dm Demand, primary string) (roster.Endpoint, bool) {
	now := lt.Clock.Now()
	lt.mu.Lock()
	defer lt.mu.Unlock()
	if lt.fill(list, dm) > maxMeanFill {
		return roster.Endpoint{}, false
	}
	best, lowest := -1, math.Inf(1)
	for ix, en := range list {
		ac := lt.accounts[en.ID]
		if en.ID == primary || !lt.accepts(en, true) || lt.isSetAside(en) || now.Before(en.ColdUntil) || ac != nil && now.Before(ac.backoffUntil) {
			continue
		}
		fill := float64(lt.load(en.ID).ReservedTokens+dm.Prompt+dm.Output) / float64(dm.Engine.MemoryTokens)
		if fill > maxStandbyFill {
			continue
		}
		cost := fillCost*fill + tieBreakCost*tieBreak(lt.Instance, en.ID)
		if en.Zone != lt.Zone {
			cost += standbyZoneCost
		}
		if cost < lowest {
			best, lowest = ix, cost
		}
	}
	if best < 0 {
		return roster.Endpoint{}, false
	}
	return list[best], true
}

// fill returns the mean share of reserved memory over the engines. The caller
// must hold mu.
func (lt *LoadTracker) fill(list []roster.Endpoint, dm Demand) float64 {
	reserved := 0
	for _, en := range list {
		reserved += lt.load(en.ID).ReservedTokens
	}
	return float64(reserved) / float64(max(len(list), 1)*dm.Engine.MemoryTokens)
}

// Reserve accounts for the memory of a standby copy at an engine until the
// ticket ends. The ticket does not count as an in-flight request.
func (lt *LoadTracker) Reserve(en roster.Endpoint, dm Demand) *Ticket {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	ti := &Ticket{tracker: lt, id: en.ID, engine: true, memoryOnly: true, reservedTokens: dm.Prompt + dm.Output}
	lt.account(en.ID).reservedTokens += ti.reservedTokens
	lt.notifyChange()
	return ti
}
