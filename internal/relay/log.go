package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// Query asks a reader for the changes since an earlier update.
type Query struct {
	// Epoch and Sequence are those of the last update received; zero values
	// request all endpoints.
	Epoch    int64
	Sequence uint64
	// Wait is how long the reader may hold the call open for a change.
	Wait time.Duration
}

// Update is a reader's answer to a Query.
type Update struct {
	Epoch    int64
	Sequence uint64
	// Direct reports that the sender reads the store itself, Silent that the
	// store has not answered the sender since the sender's last failed call.
	Direct bool
	Silent bool
	// Full reports that Endpoints holds all endpoints, not only the changed
	// ones.
	Full      bool
	Endpoints []roster.Endpoint
	Removed   []string
	// Zones are all zones that operators have evacuated.
	Zones []string
	// Version is the version of the configuration in force at the sender.
	Version int64
	// ConfigurationAge and EndpointsAge are the time since the store last
	// confirmed the configuration and the endpoints to the sender.
	ConfigurationAge time.Duration
	EndpointsAge     time.Duration
	// Held is how long the sender held the call open.
	Held time.Duration
}

// maxLogChanges is the number of newest changes that remain when the log is
// trimmed, which happens above twice that number. An instance that is further
// behind gets a full update.
const maxLogChanges = 1024

// Log records the changes of the endpoints and serves them to other instances.
// Set the exported fields before use. It is safe for concurrent use.
type Log struct {
	Boot   boottime.Clock
	Roster *roster.Roster
	State  *routing.State
	// Now is the clock to which the end of a cold start refers.
	Now func() time.Time
	// Epoch distinguishes this process from earlier ones of the same instance.
	Epoch int64

	mu                sync.Mutex
	sequence          uint64
	endpoints         map[string]roster.Endpoint
	zones             []string
	version           int64
	storeUnresponsive bool
	// changed holds the IDs of changed endpoints, oldest first. The last entry is
	// the change with the number sequence. An empty ID means a change of anything
	// other than endpoints.
	changed []string
	wake    chan struct{}
	direct  bool
	// lastAnswer is the boot time at which the last answered call about
	// endpoints was sent; zero if there is none.
	lastAnswer time.Duration
}

// Observe records the differences to the current state of Roster and State.
func (lo *Log) Observe() {
	vi := lo.Roster.View()
	version := int64(0)
	if cf := lo.State.Load(); cf != nil {
		version = cf.Version
	}
	lo.mu.Lock()
	defer lo.mu.Unlock()
	before := lo.sequence
	lo.compare(vi.All())
	storeUnresponsive := lo.Roster.StoreUnresponsive()
	if zones := vi.Evacuated(); version != lo.version || storeUnresponsive != lo.storeUnresponsive || !slices.Equal(zones, lo.zones) {
		lo.zones, lo.version, lo.storeUnresponsive = zones, version, storeUnresponsive
		lo.appendChange("")
	}
	if lo.sequence != before && lo.wake != nil {
		close(lo.wake)
		lo.wake = nil
	}
}

// compare records the endpoints that differ from the last recorded ones.
func (lo *Log) compare(all map[string]roster.Endpoint) {
	if lo.endpoints == nil {
		lo.endpoints = make(map[string]roster.Endpoint)
	}
	for id, en := range all {
		if old, known := lo.endpoints[id]; !known || old != en {
			lo.endpoints[id] = en
			lo.appendChange(id)
		}
	}
	for id := range lo.endpoints {
		if _, found := all[id]; !found {
			delete(lo.endpoints, id)
			lo.appendChange(id)
		}
	}
}

func (lo *Log) appendChange(id string) {
	lo.sequence++
	lo.changed = append(lo.changed, id)
	if len(lo.changed) > 2*maxLogChanges {
		lo.changed = append([]string(nil), lo.changed[len(lo.changed)-maxLogChanges:]...)
	}
}

// SetDirect records whether this instance reads the store itself.
func (lo *Log) SetDirect(direct bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.direct = direct
}

// CallAnswered records that the store answered a call about endpoints that was
// sent at boot time begun.
func (lo *Log) CallAnswered(begun time.Duration) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.lastAnswer = max(lo.lastAnswer, begun)
}

// Wait answers a query as soon as there is a change, or without one after
// qu.Wait.
func (lo *Log) Wait(ctx context.Context, qu Query) Update {
	begun := lo.Boot.Now()
	ctx, cancel := context.WithTimeout(ctx, qu.Wait)
	defer cancel()
	for {
		lo.mu.Lock()
		if qu.Epoch != lo.Epoch || qu.Sequence != lo.sequence || ctx.Err() != nil {
			up := lo.update(qu)
			lo.mu.Unlock()
			up.Held = lo.Boot.Now() - begun
			return up
		}
		if lo.wake == nil {
			lo.wake = make(chan struct{})
		}
		wake := lo.wake
		lo.mu.Unlock()
		select {
		case <-wake:
		case <-ctx.Done():
		}
	}
}

// unknownAge is the age that is reported if the store has not confirmed
// anything yet.
const unknownAge = 24 * time.Hour

// update builds the answer to a query. The caller holds mu.
func (lo *Log) update(qu Query) Update {
	up := Update{
		Epoch: lo.Epoch, Sequence: lo.sequence, Direct: lo.direct, Silent: lo.storeUnresponsive, Zones: lo.zones, Version: lo.version,
		ConfigurationAge: unknownAge, EndpointsAge: unknownAge,
	}
	if age, confirmed := lo.State.Age(); confirmed {
		up.ConfigurationAge = age
	}
	if lo.lastAnswer > 0 {
		up.EndpointsAge = lo.Boot.Now() - lo.lastAnswer
	}
	missed := lo.sequence - qu.Sequence
	up.Full = qu.Epoch != lo.Epoch || qu.Sequence > lo.sequence || missed > uint64(len(lo.changed))
	if up.Full {
		for _, en := range lo.endpoints {
			up.Endpoints = append(up.Endpoints, lo.withRemainingColdTime(en))
		}
		return up
	}
	seen := make(map[string]bool)
	for _, id := range lo.changed[uint64(len(lo.changed))-missed:] {
		if id == "" || seen[id] {
			continue
		}
		seen[id] = true
		if en, found := lo.endpoints[id]; found {
			up.Endpoints = append(up.Endpoints, lo.withRemainingColdTime(en))
			continue
		}
		up.Removed = append(up.Removed, id)
	}
	return up
}

// withRemainingColdTime replaces the end of the cold start by its remaining
// time, because the clocks of two instances are not comparable.
func (lo *Log) withRemainingColdTime(en roster.Endpoint) roster.Endpoint {
	en.ColdFor = max(en.ColdUntil.Sub(lo.Now()), 0)
	en.ColdUntil = time.Time{}
	return en
}

// ServiceName is the name under which Service is registered with a peer.Server.
const ServiceName = "Relay"

// Service is the net/rpc service that other instances call.
type Service struct{ lo *Log }

// Service returns the net/rpc service of the log.
func (lo *Log) Service() *Service { return &Service{lo: lo} }

// maxWait is the upper limit for Query.Wait.
const maxWait = 2 * time.Second

// None is the argument of methods that need none.
type None struct{}

// Text is a configuration in the serialized form that the store holds.
type Text struct {
	Version int64
	Source  []byte
}

// Configuration returns the configuration in force; its version is zero if
// there is none.
func (se *Service) Configuration(_ None, te *Text) error {
	if cf := se.lo.State.Load(); cf != nil {
		te.Version, te.Source = cf.Version, cf.Source()
	}
	return nil
}

// Watch answers a query with Wait.
func (se *Service) Watch(qu Query, up *Update) error {
	qu.Wait = min(qu.Wait, maxWait)
	*up = se.lo.Wait(context.Background(), qu)
	return nil
}
