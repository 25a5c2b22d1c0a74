package reachability

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/snapshot"
)

const (
	// suspectAfter is the number of endpoints to which connections must fail in a row
	// for the links to be examined. If a service has fewer, all of them must.
	suspectAfter = 3
	// maxExamined is the number of endpoints that are probed at first, at random.
	maxExamined = 8
	// probeInterval is the time between two rounds of probes of endpoints that could not
	// be reached, and probesPerRound their number in each. probeTimeout is shorter than
	// the second after which a lost packet is sent again.
	probeInterval  = 250 * time.Millisecond
	probesPerRound = 4
	probeTimeout   = 200 * time.Millisecond
	// peerExpiry is the time for which the message of another instance counts.
	peerExpiry = 3 * time.Second
)

// Tracker tracks the links of this instance and of the others to endpoints. Set the
// exported fields before use. It is safe for concurrent use.
type Tracker struct {
	Roster *roster.Roster
	// Probe reports whether a new connection to an endpoint's address can be opened.
	Probe func(ctx context.Context, address string) bool
	// OnReached is called with the ID of an endpoint that can be reached again. It may
	// be nil.
	OnReached func(endpoint string)
	Clock     clockwork.Clock
	Log       zerolog.Logger
	// Changes receives a value when there is something to tell other instances. The
	// send does not block: it is skipped if the channel is full. It may be nil.
	Changes chan<- struct{}

	// failing is the number of services with failed connections.
	failing atomic.Int64
	states  snapshot.Holder[map[string]state]

	mu       sync.Mutex
	services map[string]*service
	wake     chan struct{}
	unsent   bool
	peers    map[string]peerState
}

// state is what is published of a service whose links are impaired.
type state struct {
	// unreachable has the endpoints that can't be reached. It is never changed.
	unreachable map[string]bool
	// lost is set if more endpoints are known to be unreachable than reachable.
	lost  bool
	since time.Time
}

// service has what is known of the links to the endpoints of one service.
type service struct {
	// failedInRow has the endpoints to which connections failed since the last success
	// at any.
	failedInRow map[string]bool
	// impaired is set while the links are examined. unreachable and reached have the
	// endpoints by the last attempt since then.
	impaired             bool
	unreachable, reached map[string]bool
	// examined is set once endpoints were probed.
	examined bool
	probed   int
	since    time.Time
}

// peerState is what another instance said.
type peerState struct {
	lost []string
	at   time.Time
}

func (tr *Tracker) state(name string) (state, bool) {
	all := tr.states.Load()
	if all == nil {
		return state{}, false
	}
	st, found := (*all)[name]
	return st, found
}

// Lost reports whether this instance can't reach most of the endpoints of a service.
func (tr *Tracker) Lost(name string) bool {
	st, _ := tr.state(name)
	return st.lost
}

// Unreachable returns the endpoints of a service that can't be reached. The caller must
// not change the result.
func (tr *Tracker) Unreachable(name string) map[string]bool {
	st, _ := tr.state(name)
	return st.unreachable
}

// Failed records that no connection to an endpoint could be made.
func (tr *Tracker) Failed(name, endpoint string) {
	ready := len(tr.Roster.View().Ready(name))
	tr.mu.Lock()
	defer tr.mu.Unlock()
	se := tr.services[name]
	if se == nil {
		if tr.services == nil {
			tr.services = make(map[string]*service)
		}
		se = &service{failedInRow: make(map[string]bool)}
		tr.services[name] = se
		tr.failing.Add(1)
	}
	se.failedInRow[endpoint] = true
	if se.impaired {
		if se.mark(endpoint, false) {
			tr.publish(name, se)
		}
		return
	}
	if len(se.failedInRow) < min(suspectAfter, max(ready, 1)) {
		return
	}
	se.impaired, se.since = true, tr.Clock.Now()
	se.unreachable, se.reached = maps.Clone(se.failedInRow), make(map[string]bool)
	tr.publish(name, se)
	select {
	case tr.wakeups() <- struct{}{}:
	default:
	}
}

// Reached records that an endpoint of a service answered.
func (tr *Tracker) Reached(name, endpoint string) {
	if tr.failing.Load() == 0 {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	se := tr.services[name]
	if se == nil {
		return
	}
	clear(se.failedInRow)
	if se.impaired {
		if se.mark(endpoint, true) {
			tr.publish(name, se)
		}
		return
	}
	tr.forget(name)
}

// mark records the last attempt at an endpoint and reports whether that changed anything.
func (se *service) mark(endpoint string, reached bool) bool {
	to, from := se.unreachable, se.reached
	if reached {
		to, from = from, to
	}
	if to[endpoint] {
		return false
	}
	to[endpoint] = true
	delete(from, endpoint)
	return true
}

func (tr *Tracker) forget(name string) {
	delete(tr.services, name)
	tr.failing.Add(-1)
}

// publish publishes the state of a service, or that its links work again once no endpoint
// is unreachable. The caller must hold mu.
func (tr *Tracker) publish(name string, se *service) {
	next := make(map[string]state)
	if all := tr.states.Load(); all != nil {
		next = maps.Clone(*all)
	}
	before := next[name]
	if len(se.unreachable) == 0 {
		delete(next, name)
		tr.forget(name)
	} else {
		next[name] = state{unreachable: maps.Clone(se.unreachable), lost: len(se.unreachable) > len(se.reached), since: se.since}
	}
	tr.states.Store(&next)
	after := next[name]
	if after.lost == before.lost {
		return
	}
	if after.lost {
		tr.Log.Warn().Str("event", "path_lost").Str("service", name).Strs("endpoints", slices.Sorted(maps.Keys(after.unreachable))).
			Msg("reachability: most endpoints can't be reached; probing them")
	} else {
		tr.Log.Info().Str("event", "path_back").Str("service", name).Dur("lasted", tr.Clock.Since(se.since)).Int("unreachable", len(after.unreachable)).
			Msg("reachability: endpoints can be reached again")
	}
	tr.unsent = true
	select {
	case tr.Changes <- struct{}{}:
	default:
	}
}

// wakeups returns the channel that wakes Run. The caller must hold mu.
func (tr *Tracker) wakeups() chan struct{} {
	if tr.wake == nil {
		tr.wake = make(chan struct{}, 1)
	}
	return tr.wake
}

// Changed returns the services whose links are lost, and whether that has changed since
// the last call.
func (tr *Tracker) Changed() (list []string, unsent bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	unsent, tr.unsent = tr.unsent, false
	if all := tr.states.Load(); all != nil {
		for name, st := range *all {
			if st.lost {
				list = append(list, name)
			}
		}
		slices.Sort(list)
	}
	return list, unsent
}

// Merge records the services for which another instance has lost its links.
func (tr *Tracker) Merge(instance string, list []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.peers == nil {
		tr.peers = make(map[string]peerState)
	}
	if len(list) == 0 {
		delete(tr.peers, instance)
		return
	}
	tr.peers[instance] = peerState{lost: list, at: tr.Clock.Now()}
}

// LostAt reports whether another instance has said that it has lost its links to the
// endpoints of a service.
func (tr *Tracker) LostAt(instance, name string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	pe, found := tr.peers[instance]
	if !found {
		return false
	}
	if tr.Clock.Since(pe.at) > peerExpiry {
		delete(tr.peers, instance)
		return false
	}
	return slices.Contains(pe.lost, name)
}

// Name implements controller.Controller.
func (*Tracker) Name() string { return "reachability" }

// Run probes the endpoints of services whose links are impaired until ctx ends.
func (tr *Tracker) Run(ctx context.Context) error {
	ti := tr.Clock.NewTicker(probeInterval)
	defer ti.Stop()
	tr.mu.Lock()
	wake := tr.wakeups()
	tr.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
		case <-wake:
		}
		all := tr.states.Load()
		if all == nil {
			continue
		}
		for name := range *all {
			tr.probe(ctx, name)
		}
	}
}

// probe probes endpoints of a service at the same time: many at first, then a few of
// those that could not be reached.
func (tr *Tracker) probe(ctx context.Context, name string) {
	list := tr.toProbe(name)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, en := range list {
		wg.Go(func() {
			if tr.Probe(ctx, en.Address) {
				tr.Reached(name, en.ID)
				if tr.OnReached != nil {
					tr.OnReached(en.ID)
				}
				return
			}
			if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
				tr.Failed(name, en.ID)
			}
		})
	}
	wg.Wait()
}

// toProbe returns the endpoints of a service to probe now, and forgets those that are no
// longer ready.
func (tr *Tracker) toProbe(name string) []roster.Endpoint {
	ready := tr.Roster.View().Ready(name)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	se := tr.services[name]
	if se == nil {
		return nil
	}
	if !se.examined {
		se.examined = true
		list := slices.Clone(ready)
		rand.Shuffle(len(list), func(ix, iy int) { list[ix], list[iy] = list[iy], list[ix] })
		return list[:min(len(list), maxExamined)]
	}
	var lost []roster.Endpoint
	known := make(map[string]bool, len(ready))
	for _, en := range ready {
		known[en.ID] = true
		if se.unreachable[en.ID] {
			lost = append(lost, en)
		}
	}
	isGone := func(id string, _ bool) bool { return !known[id] }
	before := len(se.unreachable) + len(se.reached)
	maps.DeleteFunc(se.unreachable, isGone)
	maps.DeleteFunc(se.reached, isGone)
	if len(se.unreachable)+len(se.reached) != before {
		tr.publish(name, se)
	}
	var list []roster.Endpoint
	for ix := range min(len(lost), probesPerRound) {
		list = append(list, lost[(se.probed+ix)%len(lost)])
	}
	se.probed += len(list)
	return list
}
