package admission

import "time"

// Statistics describes the state of an allocator.
type Statistics struct {
	// Queued and InFlight count requests.
	Queued   int `json:"queued"`
	InFlight int `json:"in_flight"`
	// Risk is the safety margin in standard deviations of the memory forecast.
	Risk float64 `json:"risk"`
	// Unused is the free share of the memory of all eligible endpoints.
	Unused float64 `json:"unused"`
	// Cold counts the endpoints that are limited to their cold capacity.
	Cold int `json:"cold"`
}

// Statistics returns the current state.
func (al *Allocator) Statistics() Statistics {
	st := Statistics{InFlight: len(al.running), Risk: al.margin.risk, Unused: al.unused()}
	for ix := range al.lanes {
		st.Queued += al.lanes[ix].queue.Len()
	}
	for _, ac := range al.order {
		limits := ac.Endpoint.Capacity
		if ac.warm.Allowed() <= limits.ColdSequences && limits.ColdSequences < limits.Sequences {
			st.Cold++
		}
	}
	return st
}

// unused returns the share of the memory that is currently free.
func (al *Allocator) unused() float64 {
	used, memory := 0.0, 0.0
	for _, ac := range al.order {
		if ac.Eligible && ac.decodes() {
			used += ac.used
			memory += ac.memory()
		}
	}
	if memory <= 0 {
		return 0
	}
	return max(1-used/memory, 0)
}

// unusedMaxAge is how long a computed share of unused memory is reused.
const unusedMaxAge = 250 * time.Millisecond

// cachedUnused returns a value of unused that is less than unusedMaxAge old.
func (al *Allocator) cachedUnused(now time.Time) float64 {
	if now.Sub(al.unusedAt) >= unusedMaxAge {
		al.unusedShare, al.unusedAt = al.unused(), now
	}
	return al.unusedShare
}
