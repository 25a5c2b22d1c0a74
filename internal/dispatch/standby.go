package dispatch

import (
	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// leastStandbyOutput is the expected output, in tokens, from which a run gets a
// standby copy: a short one is over before its engine is likely to go.
const leastStandbyOutput = 64

// standby is the engine that keeps a copy of a run as it grows. Nil means none.
type standby struct {
	endpoint roster.Endpoint
	ticket   *placement.Ticket
}

// keepCopy chooses the engine that keeps a copy of the task's run at another
// one, or returns nil if none is worth it or has memory to spare.
func (di *Dispatcher) keepCopy(ta *task, primary roster.Endpoint, wo placement.Work) *standby {
	if wo.Engine == nil || !wo.Engine.Standbys || wo.Output < leastStandbyOutput {
		return nil
	}
	en, found := di.Board.ChooseStandby(di.Roster.View().Ready(ta.service.Name), wo, primary.ID)
	if !found {
		return nil
	}
	return &standby{endpoint: en, ticket: di.Board.Reserve(en, wo)}
}

// address is where the copy is kept, or empty.
func (sb *standby) address() string {
	if sb == nil {
		return ""
	}
	return sb.endpoint.Address
}

// id is that of the engine that keeps the copy, or empty.
func (sb *standby) id() string {
	if sb == nil {
		return ""
	}
	return sb.endpoint.ID
}

// release ends the account of a copy that is not needed any more.
func (sb *standby) release() {
	if sb != nil {
		sb.ticket.End(placement.Done)
	}
}

// takeOver returns how a broken run goes on from its standby copy. It returns
// false if there is none, or if its engine may get nothing any more: one that
// leaves, or whose zone operators have emptied since.
func (se *session) takeOver() (migration.Moved, bool) {
	sb := se.standby
	se.standby = nil
	if sb == nil {
		return migration.Moved{}, false
	}
	sb.release()
	en, usable := se.di.Roster.View().Usable(sb.endpoint.ID)
	if !usable || en.Started != sb.endpoint.Started {
		return migration.Moved{}, false
	}
	ti := se.di.Board.Begin(en, se.work)
	ti.Started()
	se.di.Log.Info().Str("event", "taken_over").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).Str("target", en.ID).
		Str("last_event", se.last).Msg("dispatch: the run goes on from its standby copy")
	return migration.Moved{From: en, Handle: se.ta.ID, Target: en, Ticket: ti}, true
}
