package dispatch

import (
	"context"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/reservation"
	"filbertstall.example/filbertstall/internal/roster"
)

// Reserver chooses engines for the instances of a zone together. reservation.Client
// implements it.
type Reserver interface {
	// Reserve returns the engine that a request gets, or nil if this instance has to
	// choose by itself. An error is of type *reservation.Error.
	Reserve(ctx context.Context, re reservation.Request) (*reservation.Grant, error)
}

// choosePlace chooses an endpoint: an engine that the zone's allocator grants, or else the
// one of least cost by the loads that this instance knows.
func (di *Dispatcher) choosePlace(ctx context.Context, ta *task, dm placement.Demand, ready []roster.Endpoint, exclude map[string]bool) (placement.Choice, *reservation.Grant, bool) {
	if di.Reserver != nil && dm.Engine != nil {
		gr, err := di.Reserver.Reserve(ctx, di.reservationOf(ta, dm, ready, exclude))
		if ch, found := grantedChoice(gr, ready, exclude); err == nil && found {
			return ch, gr, true
		}
		gr.Settle()
	}
	ch, found := di.Tracker.Choose(ready, dm, exclude)
	return ch, nil, found
}

// reservationOf describes a task to the allocator. Endpoints of the service that are not
// in ready are left out, too.
func (di *Dispatcher) reservationOf(ta *task, dm placement.Demand, ready []roster.Endpoint, exclude map[string]bool) reservation.Request {
	re := reservation.Request{ID: ta.ID, Service: ta.service.Name, Engine: *dm.Engine, Prompt: dm.Prompt, Output: dm.Output}
	re.Unreachable, re.Exclude = di.Tracker.Unusable(ready)
	for id := range exclude {
		re.Exclude = append(re.Exclude, id)
	}
	if all := di.Roster.View().Ready(ta.service.Name); len(all) != len(ready) {
		usable := make(map[string]bool, len(ready))
		for _, en := range ready {
			usable[en.ID] = true
		}
		for _, en := range all {
			if !usable[en.ID] {
				re.Exclude = append(re.Exclude, en.ID)
			}
		}
	}
	return re
}

// grantedChoice returns the choice that a grant stands for. It returns false if this
// instance can't use the engine.
func grantedChoice(gr *reservation.Grant, ready []roster.Endpoint, exclude map[string]bool) (placement.Choice, bool) {
	if gr == nil || exclude[gr.Endpoint] {
		return placement.Choice{}, false
	}
	for _, en := range ready {
		if en.ID == gr.Endpoint {
			return placement.Choice{Endpoint: en, Cost: gr.Cost, Load: gr.Load}, true
		}
	}
	return placement.Choice{}, false
}
