package roster

import (
	"maps"
	"time"

	"filbertstall.example/filbertstall/internal/feed"
)

// A store that was restored comes back from an older copy. Endpoints that registered
// since are missing from it, and endpoints that were removed since are in it.

// departedPeriod is how long a removed endpoint is remembered. A store that is
// restored comes back from a copy that is seconds old.
const departedPeriod = time.Minute

// silencePeriod is the time after which the store removes the entry of an endpoint
// that does not renew it.
const silencePeriod = 4 * time.Second

// unconfirmedEntry is an entry in the copy from which the store was restored. Its
// endpoint is used if the store still has it after silencePeriod, or if the endpoint
// changes it.
type unconfirmedEntry struct {
	object feed.Object[Endpoint]
	until  time.Time
}

// departure is the removal of an endpoint.
type departure struct {
	started int64
	leaving bool
	at      time.Time
}

// Restored implements feed.Sink. As after an outage, endpoints that are missing from
// the next list are retained until they have had time to write their entries again.
func (ro *Roster) Restored() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.storeLost, ro.restored = true, true
}

// awaitsConfirmation reports whether a listed entry is not believed yet, because the
// store was restored from a copy and the endpoint had been removed.
func (ro *Roster) awaitsConfirmation(ob feed.Object[Endpoint], now time.Time) bool {
	de, departed := ro.departed[ob.Name]
	if !departed || ob.Value == nil || ob.Value.Started != de.started {
		return false
	}
	if _, waiting := ro.unconfirmed[ob.Name]; waiting || !ro.restored {
		return waiting
	}
	if ro.unconfirmed == nil {
		ro.unconfirmed = make(map[string]unconfirmedEntry)
	}
	ro.unconfirmed[ob.Name] = unconfirmedEntry{object: ob, until: now.Add(silencePeriod)}
	ro.Log.Info().Str("event", "entry_restored").Str("endpoint", ob.Name).Msg("roster: the restored store has an endpoint that was removed; not using it until it is known to live")
	return true
}

// confirmEntries uses the endpoints that have renewed their entries in a restored
// store.
func (ro *Roster) confirmEntries(now time.Time) (left []Endpoint) {
	for id, ue := range ro.unconfirmed {
		if !now.Before(ue.until) {
			delete(ro.unconfirmed, id)
			left = append(left, ro.put(ue.object, now)...)
		}
	}
	return left
}

// recordDeparture remembers a removed endpoint, and forgets those of long ago.
func (ro *Roster) recordDeparture(en Endpoint) {
	now := ro.Clock.Now()
	if ro.departed == nil {
		ro.departed = make(map[string]departure)
	}
	maps.DeleteFunc(ro.departed, func(_ string, de departure) bool { return now.Sub(de.at) > departedPeriod })
	ro.departed[en.ID] = departure{started: en.Started, leaving: en.Leaving, at: now}
}
