package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/snapshot"
)

// Endpoint is one backend process. A restarted process is another Endpoint. An
// Endpoint is immutable.
type Endpoint struct {
	// ID usually differs between processes. Started distinguishes processes with
	// the same ID.
	ID      string
	Service string
	Address string
	Zone    string
	Version string
	Slots   int
	// Leaving is set while the endpoint drains: it gets no new requests.
	Leaving bool
	// ColdFor is the remaining cold-start time when the entry was read.
	ColdFor time.Duration
	// Started is the start time in Unix milliseconds. A process with the same
	// ID and another start time has none of the state of the earlier one.
	Started int64
	// ColdUntil is the end of the cold-start time by this instance's clock;
	// zero if the endpoint was not cold when its entry was read.
	ColdUntil time.Time
}

// reregisterGracePeriod is how long, counted from the store's recovery, an
// endpoint whose entry expired during the outage stays in use. Running
// endpoints re-register within about two seconds, and an endpoint that did stop
// must be out of use by then.
const reregisterGracePeriod = 1900 * time.Millisecond

// Roster keeps the known endpoints. Set the exported fields before use. It is
// safe for concurrent use.
type Roster struct {
	Clock clockwork.Clock
	Log   zerolog.Logger
	// OnLeave is called, without locks held, for each endpoint that was not
	// leaving and now leaves, is removed, or restarts under the same ID. It may
	// be nil.
	OnLeave func(Endpoint)
	// OnChange is called, without locks held, each time a view is published. It
	// may be nil.
	OnChange func()
	// OutageEnd returns when an outage of the store last ended in which entries may have
	// expired, or the zero time. A failed call alone shows none: only the path of this
	// instance may have failed. If OutageEnd is nil, each failed call counts as an outage.
	OutageEnd func() time.Time

	mu        sync.Mutex
	endpoints map[string]Endpoint
	// retained maps endpoints without an entry in the store to the end of their
	// grace period.
	retained  map[string]time.Time
	evacuated map[string]bool
	// evacuatedListed is set once SetEvacuatedZones was called.
	evacuatedListed bool
	// departed has the endpoints that were removed within departedPeriod.
	departed map[string]departure
	// restored is set until the next list after the store was restored from an older
	// copy. unconfirmed has the entries of that list whose endpoints were removed.
	restored    bool
	unconfirmed map[string]unconfirmedEntry
	listed      bool
	// storeLost is set from a failed call until the store next delivers a list
	// or changes, storeUnresponsive until it next answers any call.
	storeLost         bool
	storeUnresponsive bool
	// restoredAt is when the store last recovered from an outage, or was restored from a
	// copy; zero if it never did.
	restoredAt time.Time
	view       snapshot.Holder[View]
}

// View returns the newest view; it is empty before the first update.
func (ro *Roster) View() *View {
	if vi := ro.view.Load(); vi != nil {
		return vi
	}
	return &View{}
}

// Reset implements feed.Sink. The list holds every entry in the store.
func (ro *Roster) Reset(list []feed.Object[Endpoint]) {
	ro.update(func(now time.Time) (left []Endpoint) {
		ro.markStoreAnswered(now)
		present := make(map[string]bool, len(list))
		for _, ob := range list {
			present[ob.Name] = true
			if ro.awaitsConfirmation(ob, now) {
				continue
			}
			left = append(left, ro.put(ob, now)...)
		}
		for id := range ro.endpoints {
			if !present[id] {
				left = append(left, ro.handleMissing(id, now)...)
			}
		}
		maps.DeleteFunc(ro.unconfirmed, func(id string, _ unconfirmedEntry) bool { return !present[id] })
		ro.listed, ro.restored = true, false
		return left
	})
}

// Apply implements feed.Sink.
func (ro *Roster) Apply(list []feed.Change[Endpoint]) {
	ro.update(func(now time.Time) (left []Endpoint) {
		ro.markStoreAnswered(now)
		for _, ch := range list {
			if ch.Removed {
				delete(ro.unconfirmed, ch.Object.Name)
				left = append(left, ro.handleMissing(ch.Object.Name, now)...)
				continue
			}
			left = append(left, ro.put(ch.Object, now)...)
		}
		return left
	})
}

// Replicate applies the state of another instance, which reads the store: if full
// is set, changed holds all its endpoints, else those that changed. That instance
// has already retained the endpoints whose entries expired during an outage, so
// that a removed endpoint is removed here at once.
func (ro *Roster) Replicate(full bool, changed []Endpoint, removed []string) {
	ro.mu.Lock()
	current := !full && len(changed)+len(removed) == 0 && !ro.storeLost && !ro.storeUnresponsive && len(ro.retained) == 0
	ro.mu.Unlock()
	if current {
		return
	}
	ro.update(func(now time.Time) (left []Endpoint) {
		ro.storeLost, ro.storeUnresponsive, ro.retained = false, false, nil
		present := make(map[string]bool, len(changed))
		for _, en := range changed {
			present[en.ID] = true
			left = append(left, ro.put(feed.Object[Endpoint]{Name: en.ID, Value: &en}, now)...)
		}
		for id := range ro.endpoints {
			if full && !present[id] {
				left = append(left, ro.remove(id)...)
			}
		}
		for _, id := range removed {
			left = append(left, ro.remove(id)...)
		}
		ro.listed = true
		return left
	})
}

// CallAnswered implements feed.Sink.
func (ro *Roster) CallAnswered(time.Duration) {
	ro.update(func(now time.Time) []Endpoint {
		ro.storeUnresponsive = false
		return ro.removeExpired(now)
	})
}

// CallFailed implements feed.Sink.
func (ro *Roster) CallFailed(error) {
	ro.update(func(now time.Time) []Endpoint {
		ro.storeLost, ro.storeUnresponsive = true, true
		return ro.removeExpired(now)
	})
}

// RemoveExpired removes endpoints whose grace period is over, and uses those that a
// restored store has kept. The caller calls it periodically.
func (ro *Roster) RemoveExpired() {
	ro.mu.Lock()
	idle := len(ro.retained)+len(ro.unconfirmed) == 0
	ro.mu.Unlock()
	if !idle {
		ro.update(func(now time.Time) []Endpoint { return append(ro.removeExpired(now), ro.confirmEntries(now)...) })
	}
}

// StoreUnresponsive reports whether the store has not answered since its last
// failed call.
func (ro *Roster) StoreUnresponsive() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.storeUnresponsive
}

// Leave marks an endpoint as leaving because its own answers say so.
func (ro *Roster) Leave(id string) {
	ro.update(func(time.Time) []Endpoint {
		en, found := ro.endpoints[id]
		if !found || en.Leaving {
			return nil
		}
		en.Leaving = true
		ro.endpoints[id] = en
		return []Endpoint{en}
	})
}

// AddEvacuatedZones adds zones that are evacuated by what another instance knows, until
// the list of the store, or of a reader, is known.
func (ro *Roster) AddEvacuatedZones(zones []string) {
	if len(zones) == 0 || ro.View().ZonesListed {
		return
	}
	ro.update(func(time.Time) []Endpoint {
		if ro.evacuatedListed {
			return nil
		}
		if ro.evacuated == nil {
			ro.evacuated = make(map[string]bool)
		}
		for _, zone := range zones {
			ro.evacuated[zone] = true
		}
		return nil
	})
}

// SetEvacuatedZones replaces the set of zones whose endpoints get no new
// requests. The argument must be sorted.
func (ro *Roster) SetEvacuatedZones(zones []string) {
	vi := ro.View()
	changed := !slices.Equal(vi.Evacuated(), zones)
	if vi.ZonesListed && !changed {
		return
	}
	if changed {
		ro.Log.Info().Str("event", "evacuations").Strs("zones", zones).Msg("roster: set of evacuated zones changed")
	}
	ro.update(func(time.Time) []Endpoint {
		ro.evacuatedListed = true
		ro.evacuated = make(map[string]bool, len(zones))
		for _, zone := range zones {
			ro.evacuated[zone] = true
		}
		return nil
	})
}

// markStoreAnswered records that the store answered, and the time if this ends
// an outage.
func (ro *Roster) markStoreAnswered(now time.Time) {
	ro.storeUnresponsive = false
	lost := ro.storeLost
	ro.storeLost = false
	if lost && (ro.OutageEnd == nil || ro.restored) {
		ro.restoredAt = now
	}
	if ro.OutageEnd == nil {
		return
	}
	if end := ro.OutageEnd(); end.After(ro.restoredAt) {
		ro.restoredAt = end
	}
}

// put stores an entry. An entry that cannot be decoded removes its endpoint.
func (ro *Roster) put(ob feed.Object[Endpoint], now time.Time) []Endpoint {
	if ob.Value == nil {
		ro.Log.Warn().Str("event", "entry_unreadable").Str("endpoint", ob.Name).Err(ob.Err).Msg("roster: cannot decode endpoint entry; not using the endpoint")
		return ro.remove(ob.Name)
	}
	if ro.endpoints == nil {
		ro.endpoints = make(map[string]Endpoint)
	}
	en := *ob.Value
	if en.ColdFor > 0 {
		en.ColdUntil = now.Add(en.ColdFor)
	}
	before, known := ro.endpoints[en.ID]
	if known && before.Started == en.Started && before.Leaving {
		// An endpoint does not stop leaving without a restart.
		en.Leaving = true
	}
	if de, found := ro.departed[en.ID]; found && de.started == en.Started && de.leaving {
		en.Leaving = true
	}
	delete(ro.departed, en.ID)
	delete(ro.unconfirmed, en.ID)
	ro.endpoints[en.ID] = en
	delete(ro.retained, en.ID)
	if known && !before.Leaving && (en.Leaving || before.Started != en.Started) {
		ro.Log.Info().Str("event", "endpoint_leaves").Str("endpoint", en.ID).Str("zone", en.Zone).Bool("restarted", before.Started != en.Started).Msg("roster: endpoint is leaving or restarted")
		return []Endpoint{before}
	}
	return nil
}

// handleMissing removes an endpoint that has no entry in the store, or retains
// it for the grace period if the store was unavailable shortly before. An
// endpoint that is already leaving is not retained.
func (ro *Roster) handleMissing(id string, now time.Time) []Endpoint {
	en, known := ro.endpoints[id]
	if !known {
		return nil
	}
	if !en.Leaving && !ro.restoredAt.IsZero() && now.Before(ro.restoredAt.Add(reregisterGracePeriod)) {
		if ro.retained == nil {
			ro.retained = make(map[string]time.Time)
		}
		if _, retained := ro.retained[id]; !retained {
			ro.retained[id] = ro.restoredAt.Add(reregisterGracePeriod)
			ro.Log.Info().Str("event", "endpoint_held").Str("endpoint", id).Msg("roster: entry expired while the store was unavailable; retaining the endpoint for a grace period")
		}
		return nil
	}
	return ro.remove(id)
}

func (ro *Roster) remove(id string) []Endpoint {
	en, known := ro.endpoints[id]
	delete(ro.endpoints, id)
	delete(ro.retained, id)
	if !known {
		return nil
	}
	ro.recordDeparture(en)
	ro.Log.Info().Str("event", "endpoint_gone").Str("endpoint", id).Str("zone", en.Zone).Bool("was_leaving", en.Leaving).Msg("roster: endpoint removed")
	if en.Leaving {
		return nil
	}
	return []Endpoint{en}
}

func (ro *Roster) removeExpired(now time.Time) (left []Endpoint) {
	for id, until := range ro.retained {
		if !now.Before(until) {
			left = append(left, ro.remove(id)...)
		}
	}
	return left
}

// update applies a change, publishes a new view and then calls the callbacks.
func (ro *Roster) update(change func(now time.Time) []Endpoint) {
	ro.mu.Lock()
	left := change(ro.Clock.Now())
	ro.view.Store(ro.newView())
	ro.mu.Unlock()
	if ro.OnChange != nil {
		ro.OnChange()
	}
	if ro.OnLeave == nil {
		return
	}
	for _, en := range left {
		ro.OnLeave(en)
	}
}
