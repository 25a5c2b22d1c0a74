package control

import (
	"context"
	"slices"
	"sync"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Counter is a Granter that counts the grants in use by endpoint, so that a
// plan can wait until an endpoint is idle. Set the fields before the first
// call.
type Counter struct {
	admission.Granter
	Configuration *snapshot.Holder[kind.Configuration]

	mu       sync.Mutex
	inFlight map[string]int
}

// Acquire implements admission.Granter. It counts a grant first and then checks
// it against the configuration in force. It releases a grant that is no longer
// allowed and tries another endpoint. If InFlight reports zero for a drained
// endpoint after the drain is in force, no grant that was decided on an older
// configuration is used later. This does not cover requests with Only, which
// stillEligible always allows.
func (co *Counter) Acquire(ctx context.Context, re admission.Request) (*admission.Grant, error) {
	for {
		gr, err := co.Granter.Acquire(ctx, re)
		if err != nil {
			return nil, err
		}
		co.add(gr.Endpoint.Name, 1)
		if co.stillEligible(gr) {
			return gr, nil
		}
		co.Release(gr, admission.Outcome{Result: admission.NotBegun})
		// A granter with an older configuration would return this endpoint again.
		re.Exclude = append(slices.Clone(re.Exclude), gr.Endpoint.Name)
	}
}

// stillEligible reports whether the configuration in force still allows the
// grant. A request with Only, which continues a generation at its endpoint, is
// always allowed.
func (co *Counter) stillEligible(gr *admission.Grant) bool {
	if gr.Request.Only != "" {
		return true
	}
	cf := co.Configuration.Load()
	en, found := cf.Endpoint(gr.Endpoint.Name)
	return found && cf.Eligible(en) && en.URL == gr.Endpoint.URL && kind.Reachable(en.Half, gr.Request.Half)
}

// Release implements admission.Granter.
func (co *Counter) Release(gr *admission.Grant, ou admission.Outcome) {
	co.Granter.Release(gr, ou)
	co.add(gr.Endpoint.Name, -1)
}

func (co *Counter) add(endpoint string, number int) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.inFlight == nil {
		co.inFlight = make(map[string]int)
	}
	co.inFlight[endpoint] += number
	if co.inFlight[endpoint] == 0 {
		delete(co.inFlight, endpoint)
	}
}

// InFlight returns the number of grants in use by endpoint. Endpoints without any
// are left out.
func (co *Counter) InFlight() map[string]int {
	co.mu.Lock()
	defer co.mu.Unlock()
	counts := make(map[string]int, len(co.inFlight))
	for endpoint, number := range co.inFlight {
		counts[endpoint] = number
	}
	return counts
}
