// Package warmup limits the concurrency of endpoints in cold start.
//
// An endpoint is cold when it is first seen, when its boot ID changes, and when
// it becomes unexpectedly slow. A cold endpoint takes as many concurrent
// requests as its configured cold limit. The limit doubles each time the
// endpoint has proved itself: it has completed enough work at normal speed,
// with as many concurrent requests as the limit allows. It returns to the cold
// limit in one step.
//
// # Usage
//
//	st := warmup.New(4, 256)
//	st = st.WithProof(float64(tokens) / warmup.ProofTokens) // work done at normal speed
//	if inFlight < st.Allowed() { ... }
//	st = st.WithBoot(bootID)        // cold again if it differs
//	st = st.WithCold()              // unexpectedly slow
package warmup

const (
	// ProofTokens is the number of output tokens at normal speed after which the
	// limit grows, for endpoints that generate tokens.
	ProofTokens = 2000
	// ProofCalls is the number of completed calls after which the limit grows, for
	// plain services.
	ProofCalls   = 8
	growthFactor = 2
)

// State is the warm-up of one endpoint. It is immutable.
type State struct {
	// cold and full are the configured limits of concurrent requests in cold start
	// and when warm. allowed is the current limit.
	cold, full int
	allowed    int
	// progress is the completed part of the next step, in [0, 1).
	progress float64
	boot     string
	// reported is the limit that another allocator has seen proved for the boot ID
	// reportedBoot. It applies once the endpoint is seen under that boot ID.
	reported     int
	reportedBoot string
}

// New returns the state of an endpoint that is seen for the first time. The
// limits cold and full are in concurrent requests.
func New(cold, full int) State {
	return State{cold: cold, full: full, allowed: min(cold, full)}
}

// Allowed returns the current limit of concurrent requests.
func (st State) Allowed() int { return st.allowed }

// Warm reports whether the current limit has reached the full limit.
func (st State) Warm() bool { return st.allowed >= st.full }

// WithLimits returns a copy with other configured limits. A warm endpoint stays
// warm.
func (st State) WithLimits(cold, full int) State {
	warm := st.Warm()
	st.cold, st.full = cold, full
	st.allowed = min(st.allowed, full)
	if warm {
		st.allowed = full
	}
	return st
}

// WithWarm returns a copy that is warm and has the boot ID. It is for an
// endpoint that still has the boot ID under which another allocator has seen its
// full limit proved.
func (st State) WithWarm(boot string) State {
	st.allowed, st.boot = st.full, boot
	return st
}

// WithAllowed returns a copy with the limit that another allocator has seen
// proved under the boot ID. That limit applies as soon as the endpoint is seen
// under the same boot ID, and it never lowers the current limit.
func (st State) WithAllowed(boot string, allowed int) State {
	st.reported, st.reportedBoot = allowed, boot
	return st.applyReported()
}

// applyReported applies the reported limit if it was proved under the current
// boot ID, and discards it otherwise. It does nothing until both boot IDs are
// known.
func (st State) applyReported() State {
	if st.boot == "" || st.reportedBoot == "" {
		return st
	}
	if st.boot == st.reportedBoot {
		st.allowed = max(st.allowed, min(st.reported, st.full))
	}
	st.reportedBoot = ""
	return st
}

// Boot returns the boot ID that was seen last. It is empty if none was seen.
func (st State) Boot() string { return st.boot }

// WithProof returns a copy with part added to the progress towards the next
// step, where 1 is a whole step. Callers must only add work that was done while
// the endpoint ran as many concurrent requests as the limit allows: other work
// does not prove the limit.
func (st State) WithProof(part float64) State {
	if st.Warm() {
		return st
	}
	st.progress += part
	if st.progress < 1 {
		return st
	}
	st.progress = 0
	st.allowed = min(st.allowed*growthFactor, st.full)
	return st
}

// WithBoot returns a copy with the boot ID. The copy is cold if the endpoint
// has restarted, that is, if another boot ID was seen before. The first boot ID
// that is seen does not make it cold. A limit that WithAllowed has reported for
// this boot ID applies at once.
func (st State) WithBoot(boot string) State {
	changed := st.boot != "" && boot != st.boot
	st.boot = boot
	if changed {
		st = st.WithCold()
	}
	return st.applyReported()
}

// WithCold returns a copy with the cold limit and no progress.
func (st State) WithCold() State {
	st.allowed, st.progress = min(st.cold, st.full), 0
	return st
}
