package dispatch

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
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
// one of least cost by the loads that this instance knows. The choice is empty if there is
// none.
func (di *Dispatcher) choosePlace(ctx context.Context, ta *task, dm placement.Demand, ready []roster.Endpoint, exclude map[string]bool) (placement.Choice, *reservation.Grant, *refusal.Error) {
	if di.Reserver != nil && dm.Engine != nil && len(ready) > 0 {
		gr, err := di.Reserver.Reserve(ctx, di.reservationOf(ta, dm, ready, exclude))
		if err != nil {
			return placement.Choice{}, nil, di.reservationRefusal(ctx, ta, err)
		}
		// The request may have waited for seconds.
		ready = di.stillUsable(ta, ready)
		if ch, found := grantedChoice(gr, ready, exclude); found {
			return ch, gr, nil
		}
		gr.Settle()
	}
	ch, _ := di.Tracker.Choose(ready, dm, exclude)
	return ch, nil, nil
}

// stillUsable returns those of the endpoints that were ready before a wait that the task
// may still be sent to.
func (di *Dispatcher) stillUsable(ta *task, ready []roster.Endpoint) []roster.Endpoint {
	vi := di.Roster.View()
	return slices.DeleteFunc(slices.Clone(ready), func(en roster.Endpoint) bool {
		_, usable := vi.Usable(en.ID)
		return !usable || !di.isPermitted(ta, en)
	})
}

// reservationRefusal returns the refusal of a request that got no engine.
func (di *Dispatcher) reservationRefusal(ctx context.Context, ta *task, err error) *refusal.Error {
	var er *reservation.Error
	if !errors.As(err, &er) || er.Kind == reservation.Left {
		return di.endedBeforeSend(ctx, ta)
	}
	after := min(max(er.After, busyRetryAfter), max(ta.remaining(di.Clock.Now())/retryAfterDivisor, busyRetryAfter))
	return refusal.Wrap(refusal.NoRoom, "the engines of "+ta.service.Name+" have no room in time", err).WithRetryAfter(spread(after))
}

// resendKey returns a number that is the same if the caller sends the request again, or zero
// if its prompt has no parts.
func (ta *task) resendKey() uint64 {
	parts := ta.Prompt.Parts
	if len(parts) == 0 {
		return 0
	}
	return xxhash.Sum64String(ta.team + "/" + ta.route.Name + "/" + parts[len(parts)-1].ID + "/" + strconv.Itoa(ta.Prompt.Tokens))
}

const (
	// maxReservationShare is the part of a request's remaining time that it may wait for an
	// engine, and maxReservationObjectives the longest wait as a multiple of its route's
	// objective. Beyond either, the request is refused. Those whose answer can't be within
	// the objective any more come after the others of their priority.
	maxReservationShare      = 0.75
	maxReservationObjectives = 3
)

// retryAfterDivisor limits Retry-After, before it is spread, to the remaining time divided
// by it.
const retryAfterDivisor = 6

// reservationOf describes a task to the allocator. Endpoints of the service that are not
// in ready are left out, too.
func (di *Dispatcher) reservationOf(ta *task, dm placement.Demand, ready []roster.Endpoint, exclude map[string]bool) reservation.Request {
	now := di.Clock.Now()
	remaining := ta.remaining(now)
	re := reservation.Request{
		ID: ta.ID, Service: ta.service.Name, Engine: *dm.Engine, Prompt: dm.Prompt, Output: dm.Output,
		Team: ta.team, Priority: ta.priority, Key: ta.resendKey(), OnTime: ta.Arrived.Add(ta.route.Objective).Sub(now), Remaining: remaining,
		MaxWait: time.Duration(maxReservationShare * float64(remaining)),
	}
	if objective := ta.route.Objective; objective > 0 {
		re.MaxWait = min(re.MaxWait, maxReservationObjectives*objective)
	}
	re.Unreachable, re.Exclude = di.Tracker.Unusable(ready)
	for id := range exclude {
		re.Exclude = append(re.Exclude, id)
	}
	re.Exclude = append(re.Exclude, di.leftOut(ta, ready)...)
	return re
}

// leftOut returns the IDs of the service's endpoints that are ready, but not in the list.
func (di *Dispatcher) leftOut(ta *task, ready []roster.Endpoint) []string {
	all := di.Roster.View().Ready(ta.service.Name)
	if len(all) == len(ready) {
		return nil
	}
	usable := make(map[string]bool, len(ready))
	for _, en := range ready {
		usable[en.ID] = true
	}
	var ids []string
	for _, en := range all {
		if !usable[en.ID] {
			ids = append(ids, en.ID)
		}
	}
	return ids
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
