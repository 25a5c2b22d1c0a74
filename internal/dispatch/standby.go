package dispatch

import (
	"context"
	"errors"
	"time"

	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// minStandbyTokens is the least value of placement.Demand.Output, in tokens,
// for which a run gets a standby copy. A shorter run most likely ends before
// its engine fails or leaves.
const minStandbyTokens = 64

// standby is the engine that keeps an incrementally updated copy of a run. A
// nil standby means that there is no copy.
type standby struct {
	endpoint roster.Endpoint
	ticket   *placement.Ticket
}

// reserveStandby chooses an engine for the standby copy of a run on primary and
// reserves memory there. It returns nil if the service keeps no standby copies,
// the run is too short to need one, or LoadTracker.ChooseStandby finds no engine.
func (di *Dispatcher) reserveStandby(ta *task, primary roster.Endpoint, dm placement.Demand) *standby {
	if dm.Engine == nil || !dm.Engine.KeepsStandbyCopies || dm.Output < minStandbyTokens {
		return nil
	}
	en, found := di.Tracker.ChooseStandby(di.allows(di.Roster.View().Ready(ta.service.Name)), dm, primary.ID)
	if !found {
		return nil
	}
	return &standby{endpoint: en, ticket: di.Tracker.Reserve(en, dm)}
}

// address returns the address of the engine that keeps the copy, or an empty
// string if sb is nil.
func (sb *standby) address() string {
	if sb == nil {
		return ""
	}
	return sb.endpoint.Address
}

// id returns the ID of the engine that keeps the copy, or an empty string if sb
// is nil.
func (sb *standby) id() string {
	if sb == nil {
		return ""
	}
	return sb.endpoint.ID
}

// release ends the memory reservation. It has no effect on a nil standby.
func (sb *standby) release() {
	if sb != nil {
		sb.ticket.End(placement.Done)
	}
}

// reportAge is the age that the report of an engine has at most.
const reportAge = 600 * time.Millisecond

// settle finds out whether the engine of an interrupted run still works on it, since a
// connection that broke does not tell, and stops it there if that is possible.
func (se *session) settle() migration.Fate {
	di := se.di
	switch {
	case se.run != nil && se.run.Known() == migration.Stopped:
		return migration.Gone
	case se.run != nil:
		fate := di.Runs.Settle(se.ctx, se.run, se.standby.id())
		if fate == migration.Unknown && di.Reachable != nil && !se.reachesEngine() {
			return migration.Gone
		}
		return fate
	case se.standby != nil && di.Progress != nil:
		pause.For(se.ctx, di.Clock, reportAge)
		ctx, cancel := context.WithTimeout(se.ctx, probeTimeout)
		defer cancel()
		_, err := di.Progress(ctx, se.endpoint, se.ta.ID)
		// A report that failed, as while the engine wants a pause, does not tell.
		if err == nil || !errors.Is(err, migration.ErrNoRun) && di.Reachable != nil && se.reachesEngine() {
			return migration.Unknown
		}
	}
	return migration.Gone
}

// reachesEngine probes the engine of the run with a new connection.
func (se *session) reachesEngine() bool {
	ctx, cancel := context.WithTimeout(se.ctx, probeTimeout)
	defer cancel()
	return se.di.Reachable(ctx, se.endpoint.Address)
}

// usableCopy returns the present entry of an engine that was given a copy, if the run may go
// on there and the engine has not restarted since.
func (se *session) usableCopy(at roster.Endpoint) (roster.Endpoint, bool) {
	en, usable := se.di.Roster.View().Usable(at.ID)
	return en, usable && en.Started == at.Started && len(se.di.allows([]roster.Endpoint{en})) > 0
}

// takeOver lets an interrupted run continue on the engine of its standby copy.
// It returns false if there is no copy, or if the engine of the copy has
// restarted, has been removed, is leaving, is in a zone that operators have
// evacuated, or has a version that gets no runs. The copy cannot be used again.
func (se *session) takeOver() (migration.Moved, bool) {
	sb := se.standby
	se.standby = nil
	if sb == nil {
		return migration.Moved{}, false
	}
	sb.release()
	en, usable := se.usableCopy(sb.endpoint)
	if !usable {
		return migration.Moved{}, false
	}
	ti := se.di.Tracker.Begin(en, se.demand)
	ti.Started()
	se.di.Log.Info().Str("event", "taken_over").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).Str("target", en.ID).
		Str("last_event", se.position.lastEvent).Msg("dispatch: resuming the run from its standby copy")
	return migration.Moved{From: en, Handle: se.ta.ID, Target: en, Ticket: ti}, true
}
