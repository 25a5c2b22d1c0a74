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

// LocalGranter is a Granter that chooses the endpoint with the fewest requests
// in flight. It counts only the requests of this instance. Set the exported
// fields before the first call.
type LocalGranter struct {
	Configuration *snapshot.Holder[kind.Configuration]

	mu sync.Mutex
	// inFlight counts the granted slots by the name of the endpoint.
	inFlight map[string]int
	// changed is closed and replaced at each Release.
	changed chan struct{}
}

// Acquire implements Granter.
func (lg *LocalGranter) Acquire(ctx context.Context, re Request) (*Grant, error) {
	for {
		en, changed, eligible := lg.take(re)
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
func (lg *LocalGranter) take(re Request) (en kind.Endpoint, wait chan struct{}, eligible bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if lg.inFlight == nil {
		lg.inFlight = make(map[string]int)
		lg.changed = make(chan struct{})
	}
	cf := lg.Configuration.Load()
	best, found := kind.Endpoint{}, false
	for _, it := range cf.ServiceEndpoints(re.Service) {
		if re.Only == it.Name {
			lg.inFlight[it.Name]++
			return it, nil, true
		}
		usable := re.Only == "" && cf.Eligible(it) && kind.Reachable(it.Half, re.Half) && !slices.Contains(re.Exclude, it.Name)
		if !usable {
			continue
		}
		eligible = true
		free := lg.inFlight[it.Name] < it.Capacity.Sequences
		if free && (!found || lg.inFlight[it.Name] < lg.inFlight[best.Name]) {
			best, found = it, true
		}
	}
	if !found {
		return best, lg.changed, eligible
	}
	lg.inFlight[best.Name]++
	return best, nil, true
}

// Release implements Granter.
func (lg *LocalGranter) Release(gr *Grant, _ Outcome) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.inFlight[gr.Endpoint.Name]--
	close(lg.changed)
	lg.changed = make(chan struct{})
}
