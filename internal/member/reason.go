package member

// Reason is an event that a Table counts.
type Reason string

// The values of the reason label of the metric member_events.
const (
	// ListFailed counts failed reads of the platform's list.
	ListFailed Reason = "list_failed"
	// SeedFailed counts seeds that did not answer.
	SeedFailed Reason = "seed_failed"
	// ProbeFailed counts probes without a valid answer.
	ProbeFailed Reason = "probe_failed"
	// The remaining reasons count transitions of members to a state.
	BecameJoining   Reason = "became_joining"
	BecameLive      Reason = "became_live"
	BecameLeaving   Reason = "became_leaving"
	BecameSuspected Reason = "became_suspected"
	BecameGone      Reason = "became_gone"
)

var reasons = []Reason{
	ListFailed, SeedFailed, ProbeFailed, BecameJoining, BecameLive, BecameLeaving, BecameSuspected, BecameGone,
}

var stateReasons = map[State]Reason{
	Joining: BecameJoining, Live: BecameLive, Leaving: BecameLeaving, Suspected: BecameSuspected, Gone: BecameGone,
}

func (ta *Table) count(re Reason) { ta.events.Count(ta.Scope, "member_events", reasons, re) }
