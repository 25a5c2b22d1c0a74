package simulation

import (
	"fmt"
	"slices"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
)

// Policy names an algorithm that selects engines for requests.
type Policy string

// The policies. Filbertstall is the allocator of this system, and Oracle is the
// same allocator with the length of each answer known in advance.
const (
	RoundRobin    Policy = "round_robin"
	LeastInFlight Policy = "least_in_flight"
	Filbertstall  Policy = "filbertstall"
	Oracle        Policy = "oracle"
)

// AllPolicies returns the policies in the order in which rows are printed.
func AllPolicies() []Policy { return []Policy{RoundRobin, LeastInFlight, Filbertstall, Oracle} }

// dispatcher selects engines for jobs. The run calls it at each event.
type dispatcher interface {
	// submit dispatches, queues or refuses a job.
	submit(jo *job)
	// abandoned handles a caller that hung up before the first token.
	abandoned(jo *job)
	// ended handles the end of a job on an engine, complete or not.
	ended(jo *job, re admission.Result)
	// progress handles the periodic reports of generated tokens.
	progress()
	// report handles a load report of an engine.
	report(en *engine, lo endpoint.Load)
	// state returns a description for traces.
	state() string
}

func newDispatcher(po Policy, ru *run) (dispatcher, error) {
	switch po {
	case RoundRobin, LeastInFlight:
		return &directDispatcher{ru: ru, leastInFlight: po == LeastInFlight, inFlight: make(map[*engine]int)}, nil
	case Filbertstall, Oracle:
		return newAllocatedDispatcher(ru, po == Oracle), nil
	default:
		return nil, fmt.Errorf("simulation: unknown policy %q", po)
	}
}

// directDispatcher dispatches each job immediately, in round-robin order or to
// the engine with the fewest jobs in flight. Jobs queue at the engines.
type directDispatcher struct {
	ru            *run
	leastInFlight bool
	next          int
	inFlight      map[*engine]int
}

func (di *directDispatcher) submit(jo *job) {
	var best *engine
	for range di.ru.engines {
		di.next = (di.next + 1) % len(di.ru.engines)
		en := di.ru.engines[di.next]
		if !en.alive || slices.Contains(jo.excluded, en.name) {
			continue
		}
		if best == nil || di.inFlight[en] < di.inFlight[best] {
			best = en
		}
		if !di.leastInFlight {
			break
		}
	}
	if best == nil {
		di.ru.endUnanswered(jo)
		return
	}
	di.inFlight[best]++
	di.ru.dispatch(jo, best)
}

func (di *directDispatcher) abandoned(jo *job) {
	di.inFlight[jo.engine]--
	jo.engine.cancel(jo)
}

func (di *directDispatcher) ended(jo *job, _ admission.Result) { di.inFlight[jo.engine]-- }

func (di *directDispatcher) progress() {}

func (di *directDispatcher) report(*engine, endpoint.Load) {}

func (di *directDispatcher) state() string { return "" }
