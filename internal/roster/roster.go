package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/snapshot"
)

// Endpoint is one start of one back end. It does not change.
type Endpoint struct {
	// ID is new with most starts.
	ID      string
	Service string
	Address string
	Zone    string
	Version string
	Slots   int
	// Leaving endpoints get nothing new.
	Leaving bool
	// ColdFor is how much longer the endpoint was cold when the entry was read.
	ColdFor time.Duration
	// Started is the Unix millisecond of the start; one with the same ID and
	// another start knows nothing of before.
	Started int64
	// ColdUntil is by the clock of the instance.
	ColdUntil time.Time
}

// holdTime is how long an entry that ran out while the store was away is held
// after its return. Living endpoints are back within about two seconds, and an
// endpoint that did leave must be unused by then.
const holdTime = 1900 * time.Millisecond

// Roster holds the endpoints. Set the exported fields before use. It is safe
// for concurrent use.
type Roster struct {
	Clock clockwork.Clock
	Log   zerolog.Logger
	// OnLeave is called, without locks, for each endpoint that was ready and
	// now leaves or is gone.
	OnLeave func(Endpoint)
	// OnChange is called, without locks, after each change of the view; nil
	// is called never.
	OnChange func()

	mu        sync.Mutex
	endpoints map[string]Endpoint
	// held are the times until which entries are held that the store lacks.
	held      map[string]time.Time
	evacuated map[string]bool
	listed    bool
	// away lasts until the store has told something again, silent until it has
	// answered at all.
	away   bool
	silent bool
	// back is when the store answered again after it was away.
	back time.Time
	view snapshot.Holder[View]
}

// View returns what requests may use now.
func (ro *Roster) View() *View {
	if vi := ro.view.Load(); vi != nil {
		return vi
	}
	return &View{}
}

// Reset implements feed.Sink: list is all that the store has.
func (ro *Roster) Reset(list []feed.Object[Endpoint]) {
	ro.update(func(now time.Time) (left []Endpoint) {
		ro.returned(now)
		present := make(map[string]bool, len(list))
		for _, ob := range list {
			present[ob.Name] = true
			left = append(left, ro.put(ob, now)...)
		}
		for id := range ro.endpoints {
			if !present[id] {
				left = append(left, ro.missing(id, now)...)
			}
		}
		ro.listed = true
		return left
	})
}

// Apply implements feed.Sink.
func (ro *Roster) Apply(list []feed.Change[Endpoint]) {
	ro.update(func(now time.Time) (left []Endpoint) {
		ro.returned(now)
		for _, ch := range list {
			if ch.Removed {
				left = append(left, ro.missing(ch.Object.Name, now)...)
				continue
			}
			left = append(left, ro.put(ch.Object, now)...)
		}
		return left
	})
}

// Contact implements feed.Sink.
func (ro *Roster) Contact(time.Duration) {
	ro.update(func(now time.Time) []Endpoint {
		ro.silent = false
		return ro.expire(now)
	})
}

// Trouble implements feed.Sink.
func (ro *Roster) Trouble(error) {
	ro.update(func(now time.Time) []Endpoint {
		ro.away, ro.silent = true, true
		return ro.expire(now)
	})
}

// Tick removes entries whose hold is over. Call it now and then.
func (ro *Roster) Tick() {
	ro.mu.Lock()
	idle := len(ro.held) == 0
	ro.mu.Unlock()
	if !idle {
		ro.update(ro.expire)
	}
}

// Silent tells whether the store did not answer the last call.
func (ro *Roster) Silent() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.silent
}

// Leave marks an endpoint that said of itself that it leaves.
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

// Evacuate replaces the zones whose endpoints get nothing; they are in order.
func (ro *Roster) Evacuate(zones []string) {
	if slices.Equal(ro.View().Evacuated(), zones) {
		return
	}
	ro.Log.Info().Str("event", "evacuations").Strs("zones", zones).Msg("roster: zones without work")
	ro.update(func(time.Time) []Endpoint {
		ro.evacuated = make(map[string]bool, len(zones))
		for _, zone := range zones {
			ro.evacuated[zone] = true
		}
		return nil
	})
}

// returned notes the end of a time in which the store did not answer.
func (ro *Roster) returned(now time.Time) {
	ro.silent = false
	if ro.away {
		ro.away, ro.back = false, now
	}
}

// put takes in an entry. One that can't be read names no endpoint to use.
func (ro *Roster) put(ob feed.Object[Endpoint], now time.Time) []Endpoint {
	if ob.Value == nil {
		ro.Log.Warn().Str("event", "entry_unreadable").Str("endpoint", ob.Name).Err(ob.Err).Msg("roster: entry left out")
		return ro.drop(ob.Name)
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
		// An endpoint that leaves does not come back in the same start.
		en.Leaving = true
	}
	ro.endpoints[en.ID] = en
	delete(ro.held, en.ID)
	if known && !before.Leaving && (en.Leaving || before.Started != en.Started) {
		ro.Log.Info().Str("event", "endpoint_leaves").Str("endpoint", en.ID).Str("zone", en.Zone).Bool("restarted", before.Started != en.Started).Msg("roster: endpoint leaves")
		return []Endpoint{before}
	}
	return nil
}

// missing takes in that the store has no entry of an endpoint.
func (ro *Roster) missing(id string, now time.Time) []Endpoint {
	en, known := ro.endpoints[id]
	if !known {
		return nil
	}
	if !en.Leaving && !ro.back.IsZero() && now.Before(ro.back.Add(holdTime)) {
		if ro.held == nil {
			ro.held = make(map[string]time.Time)
		}
		if _, held := ro.held[id]; !held {
			ro.held[id] = ro.back.Add(holdTime)
			ro.Log.Info().Str("event", "endpoint_held").Str("endpoint", id).Msg("roster: entry ran out while the store was away; held")
		}
		return nil
	}
	return ro.drop(id)
}

func (ro *Roster) drop(id string) []Endpoint {
	en, known := ro.endpoints[id]
	delete(ro.endpoints, id)
	delete(ro.held, id)
	if !known {
		return nil
	}
	ro.Log.Info().Str("event", "endpoint_gone").Str("endpoint", id).Str("zone", en.Zone).Bool("was_leaving", en.Leaving).Msg("roster: entry gone")
	if en.Leaving {
		return nil
	}
	return []Endpoint{en}
}

func (ro *Roster) expire(now time.Time) (left []Endpoint) {
	for id, until := range ro.held {
		if !now.Before(until) {
			left = append(left, ro.drop(id)...)
		}
	}
	return left
}

// update changes the state, publishes it and tells of endpoints that left.
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

func (ro *Roster) newView() *View {
	vi := &View{Listed: ro.listed, evacuated: slices.Sorted(maps.Keys(ro.evacuated)), byService: make(map[string][]Endpoint), byID: make(map[string]Endpoint, len(ro.endpoints))}
	for _, en := range ro.endpoints {
		vi.byID[en.ID] = en
		if !en.Leaving && !ro.evacuated[en.Zone] {
			vi.byService[en.Service] = append(vi.byService[en.Service], en)
		}
	}
	for _, list := range vi.byService {
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return vi
}

// View is what was known of the endpoints at one moment. It does not change.
type View struct {
	// Listed tells whether the store was read at all.
	Listed    bool
	byService map[string][]Endpoint
	byID      map[string]Endpoint
	evacuated []string
}

// All returns all endpoints by ID, also those that leave. It must not be
// changed.
func (vi *View) All() map[string]Endpoint { return vi.byID }

// Evacuated returns the zones whose endpoints get nothing, in order.
func (vi *View) Evacuated() []string { return vi.evacuated }

// Ready returns a service's endpoints that may get requests, by ID.
func (vi *View) Ready(service string) []Endpoint { return vi.byService[service] }

// Len returns how many endpoints may get requests.
func (vi *View) Len() int {
	count := 0
	for _, list := range vi.byService {
		count += len(list)
	}
	return count
}

// Usable returns an endpoint by ID if it may get requests.
func (vi *View) Usable(id string) (Endpoint, bool) {
	en, found := vi.byID[id]
	_, evacuated := slices.BinarySearch(vi.evacuated, en.Zone)
	return en, found && !en.Leaving && !evacuated
}

// Get returns an endpoint by ID, also one that leaves.
func (vi *View) Get(id string) (Endpoint, bool) {
	en, found := vi.byID[id]
	return en, found
}
