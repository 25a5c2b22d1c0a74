package plan

// Reason is a label value of the metric plan_events.
type Reason string

// The values of the label. The Count constants count the plans that reached a
// state.
const (
	CountPlanned   Reason = "planned"
	CountConfirmed Reason = "confirmed"
	CountRefused   Reason = "refused"
	CountCanceled  Reason = "canceled"
	CountDone      Reason = "done"
	// RefusedUnsettled counts operations that were refused because this instance
	// has not compared its member view with the other instances yet, and
	// RefusedBehind those refused because the platform shows an older
	// configuration than the one in force.
	RefusedUnsettled Reason = "refused_unsettled"
	RefusedBehind    Reason = "refused_platform_behind"
	// SweptShard and SweptPlan count objects that the Sweeper removed from the
	// platform.
	SweptShard Reason = "swept_shard"
	SweptPlan  Reason = "swept_plan"
	// RetryMoved counts retries of a step because a concurrent writer changed the
	// head.
	RetryMoved Reason = "retry_head_moved"
	// RetryStep counts steps that failed and are retried at the next poll.
	RetryStep Reason = "retry_step"
)

var reasons = []Reason{
	CountPlanned, CountConfirmed, CountRefused, CountCanceled, CountDone, RefusedUnsettled, RefusedBehind, SweptShard, SweptPlan,
	RetryMoved, RetryStep,
}

func (se *Service) count(re Reason) { se.events.Count(se.Scope, "plan_events", reasons, re) }
