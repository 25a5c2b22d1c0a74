package placement

import (
	"math"

	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// standbyShare is how much of an engine's memory may be planned for if a
	// standby copy comes on top: beyond, the copy could push running generations
	// out, which costs more than the copy saves.
	standbyShare = 0.4
	// spareShare is how much of the memory of all engines together may be planned
	// for: where the mean is beyond, engines fill up by chance, and copies there
	// push generations out.
	spareShare = 0.45
	// fillCost is for an engine whose memory is all planned for, and its part for
	// one with less.
	fillCost = 1000.0
	// standbyZoneCost is for a copy outside the instance's zone: it takes twice as
	// long, and can't be reached if the zone is cut off.
	standbyZoneCost = 400.0
)

// ChooseStandby returns the engine that should keep a copy of a generation that
// runs at another one, or false if none has memory to spare. An engine in the
// instance's own zone is preferred: the copy is then of use also when the zone
// of the run is cut off.
func (bo *Board) ChooseStandby(list []roster.Endpoint, wo Work, primary string) (roster.Endpoint, bool) {
	now := bo.Clock.Now()
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if bo.fill(list, wo) > spareShare {
		return roster.Endpoint{}, false
	}
	best, least := -1, math.Inf(1)
	for ix, en := range list {
		ac := bo.accounts[en.ID]
		if en.ID == primary || now.Before(en.ColdUntil) || ac != nil && now.Before(ac.shunUntil) {
			continue
		}
		fill := float64(bo.load(en.ID).Held+wo.Prompt+wo.Output) / float64(wo.Engine.MemoryTokens)
		if fill > standbyShare {
			continue
		}
		cost := fillCost*fill + tieCost*tie(bo.Instance, en.ID)
		if en.Zone != bo.Zone {
			cost += standbyZoneCost
		}
		if cost < least {
			best, least = ix, cost
		}
	}
	if best < 0 {
		return roster.Endpoint{}, false
	}
	return list[best], true
}

// fill returns the part of the engines' memory that is planned for.
func (bo *Board) fill(list []roster.Endpoint, wo Work) float64 {
	held := 0
	for _, en := range list {
		held += bo.load(en.ID).Held
	}
	return float64(held) / float64(max(len(list), 1)*wo.Engine.MemoryTokens)
}

// Reserve enters memory that a standby copy takes up at an engine.
func (bo *Board) Reserve(en roster.Endpoint, wo Work) *Ticket {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ti := &Ticket{board: bo, id: en.ID, engine: true, reserve: true, held: wo.Prompt + wo.Output}
	bo.account(en.ID).held += ti.held
	bo.changed()
	return ti
}
