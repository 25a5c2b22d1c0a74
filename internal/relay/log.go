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

// Query asks for what changed since an update.
type Query struct {
	// Epoch and Sequence are those of the last update; zero asks for all.
	Epoch    int64
	Sequence uint64
	// Wait is how long to wait for a change.
	Wait time.Duration
}

// Update is what changed at a reader.
type Update struct {
	Epoch    int64
	Sequence uint64
	// Direct tells that the sender reads the store itself, and Silent that it got
	// no answer to its last call.
	Direct bool
	Silent bool
	// Full tells that Endpoints are all, not those that changed.
	Full      bool
	Endpoints []roster.Endpoint
	Removed   []string
	// Zones are all that operators want unused.
	Zones []string
	// Version is that of the configuration in force at the sender.
	Version int64
	// ConfigurationAge and EndpointsAge are how old the sender's proofs are.
	ConfigurationAge time.Duration
	EndpointsAge     time.Duration
	// Held is how long the sender waited for a change.
	Held time.Duration
}

// logChanges bounds the changes that are kept; who is further behind gets all.
const logChanges = 1024

// Log keeps what changed of the endpoints. Set the exported fields before use.
// It is safe for concurrent use.
type Log struct {
	Boot   boottime.Clock
	Roster *roster.Roster
	State  *routing.State
	// Now is the instance's clock, for what is left of cold times.
	Now func() time.Time
	// Epoch tells this start from others of the same instance.
	Epoch int64

	mu        sync.Mutex
	sequence  uint64
	endpoints map[string]roster.Endpoint
	zones     []string
	version   int64
	silent    bool
	// changed has the IDs of endpoints in the order of their changes; the last
	// one is number sequence.
	changed []string
	wake    chan struct{}
	direct  bool
	// heard is the boot time of the last answer about endpoints.
	heard time.Duration
}

// Observe takes in what the roster and the state hold now.
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
	silent := lo.Roster.Silent()
	if zones := vi.Evacuated(); version != lo.version || silent != lo.silent || !slices.Equal(zones, lo.zones) {
		lo.zones, lo.version, lo.silent = zones, version, silent
		lo.note("")
	}
	if lo.sequence != before && lo.wake != nil {
		close(lo.wake)
		lo.wake = nil
	}
}

// compare notes the endpoints that differ from those that are known.
func (lo *Log) compare(all map[string]roster.Endpoint) {
	if lo.endpoints == nil {
		lo.endpoints = make(map[string]roster.Endpoint)
	}
	for id, en := range all {
		if old, known := lo.endpoints[id]; !known || old != en {
			lo.endpoints[id] = en
			lo.note(id)
		}
	}
	for id := range lo.endpoints {
		if _, found := all[id]; !found {
			delete(lo.endpoints, id)
			lo.note(id)
		}
	}
}

func (lo *Log) note(id string) {
	lo.sequence++
	lo.changed = append(lo.changed, id)
	if len(lo.changed) > 2*logChanges {
		lo.changed = append([]string(nil), lo.changed[len(lo.changed)-logChanges:]...)
	}
}

// SetDirect notes whether this instance reads the store itself.
func (lo *Log) SetDirect(direct bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.direct = direct
}

// Contact notes that a call about endpoints that was begun at a boot time was
// answered.
func (lo *Log) Contact(begun time.Duration) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.heard = max(lo.heard, begun)
}

// Wait answers a query, at once if there is something new.
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

// unknownAge stands for a proof that does not exist.
const unknownAge = 24 * time.Hour

// update makes the update that follows a query; mu is held.
func (lo *Log) update(qu Query) Update {
	up := Update{
		Epoch: lo.Epoch, Sequence: lo.sequence, Direct: lo.direct, Silent: lo.silent, Zones: lo.zones, Version: lo.version,
		ConfigurationAge: unknownAge, EndpointsAge: unknownAge,
	}
	if age, proven := lo.State.Age(); proven {
		up.ConfigurationAge = age
	}
	if lo.heard > 0 {
		up.EndpointsAge = lo.Boot.Now() - lo.heard
	}
	missed := lo.sequence - qu.Sequence
	up.Full = qu.Epoch != lo.Epoch || qu.Sequence > lo.sequence || missed > uint64(len(lo.changed))
	if up.Full {
		for _, en := range lo.endpoints {
			up.Endpoints = append(up.Endpoints, lo.aged(en))
		}
		return up
	}
	done := make(map[string]bool)
	for _, id := range lo.changed[uint64(len(lo.changed))-missed:] {
		if id == "" || done[id] {
			continue
		}
		done[id] = true
		if en, found := lo.endpoints[id]; found {
			up.Endpoints = append(up.Endpoints, lo.aged(en))
			continue
		}
		up.Removed = append(up.Removed, id)
	}
	return up
}

// aged states for how long an endpoint is still cold; clocks are not compared.
func (lo *Log) aged(en roster.Endpoint) roster.Endpoint {
	en.ColdFor = max(en.ColdUntil.Sub(lo.Now()), 0)
	en.ColdUntil = time.Time{}
	return en
}

// ServiceName is the name under which Service is registered.
const ServiceName = "Relay"

// Service answers the calls of other instances.
type Service struct{ lo *Log }

// Service returns what other instances call.
func (lo *Log) Service() *Service { return &Service{lo: lo} }

// maxWait bounds the wait that a query may ask for.
const maxWait = 2 * time.Second

// None is the argument of calls that need none.
type None struct{}

// Text is a configuration as the store has it.
type Text struct {
	Version int64
	Source  []byte
}

// Configuration returns the configuration in force.
func (se *Service) Configuration(_ None, te *Text) error {
	if cf := se.lo.State.Load(); cf != nil {
		te.Version, te.Source = cf.Version, cf.Source()
	}
	return nil
}

// Watch answers a query.
func (se *Service) Watch(qu Query, up *Update) error {
	qu.Wait = min(qu.Wait, maxWait)
	*up = se.lo.Wait(context.Background(), qu)
	return nil
}
