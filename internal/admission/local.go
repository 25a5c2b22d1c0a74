package admission

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Local is a Granter that chooses the endpoint with the fewest requests in
// flight. It counts only the requests of this instance. Set the exported
// fields before the first call.
type Local struct {
	Configuration *snapshot.Holder[kind.Configuration]

	mu sync.Mutex
	// inFlight counts the granted slots by the name of the endpoint.
	inFlight map[string]int
	// changed is closed and replaced at each Release.
	changed chan struct{}
}

// Acquire implements Granter.
func (lo *Local) Acquire(ctx context.Context, re Request) (*Grant, error) {
	for {
		en, changed, eligible := lo.take(re)
		if !eligible {
			return nil, refusal.New(refusal.NoCapacity, "no endpoint of service "+re.Service+" takes new work")
		}
		if changed == nil {
			return &Grant{Request: re, Endpoint: en, Tokens: new(atomic.Int64)}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, refusal.Wrap(refusal.DeadlinePassed, "no endpoint was free before the deadline", ctx.Err())
		}
	}
}

// take reserves a slot and returns its endpoint, with a nil channel. If all
// eligible endpoints are full, it returns a channel that is closed when a slot
// is released. If no endpoint is eligible for the request, eligible is false.
func (lo *Local) take(re Request) (en kind.Endpoint, wait chan struct{}, eligible bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.inFlight == nil {
		lo.inFlight = make(map[string]int)
		lo.changed = make(chan struct{})
	}
	cf := lo.Configuration.Load()
	best, found := kind.Endpoint{}, false
	for _, it := range cf.ServiceEndpoints(re.Service) {
		if re.Only == it.Name {
			lo.inFlight[it.Name]++
			return it, nil, true
		}
		usable := re.Only == "" && cf.Eligible(it) && kind.Reachable(it.Half, re.Half) && !slices.Contains(re.Exclude, it.Name)
		if !usable {
			continue
		}
		eligible = true
		free := lo.inFlight[it.Name] < it.Capacity.Sequences
		if free && (!found || lo.inFlight[it.Name] < lo.inFlight[best.Name]) {
			best, found = it, true
		}
	}
	if !found {
		return best, lo.changed, eligible
	}
	lo.inFlight[best.Name]++
	return best, nil, true
}

// Release implements Granter.
func (lo *Local) Release(gr *Grant, _ Outcome) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.inFlight[gr.Endpoint.Name]--
	close(lo.changed)
	lo.changed = make(chan struct{})
}
