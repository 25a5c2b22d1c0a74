package configuration

// Reason is a label value of the metric configuration_events.
type Reason string

// The values of Reason.
const (
	// AppliedPlatform, AppliedZone and AppliedOtherZone count the versions that
	// were put in force, by source.
	AppliedPlatform  Reason = "applied_platform"
	AppliedZone      Reason = "applied_zone"
	AppliedOtherZone Reason = "applied_elsewhere"
	// LowerVersion counts versions refused because a higher one is in force.
	LowerVersion Reason = "refused_lower_version"
	// Diverged counts refusals of a configuration that has the version in force
	// but different content.
	Diverged Reason = "refused_diverged"
	// Repaired counts writes of the version in force to a platform that had an
	// older head or none.
	Repaired Reason = "repaired_platform"
	// NoticeUnanswered counts attempts to send a notice that were not
	// acknowledged.
	NoticeUnanswered Reason = "retry_notice"
	// FetchFailed counts failed attempts to fetch a version from another
	// instance.
	FetchFailed Reason = "retry_fetch"
)

var reasons = []Reason{
	AppliedPlatform, AppliedZone, AppliedOtherZone, LowerVersion, Diverged, Repaired, NoticeUnanswered, FetchFailed,
}

var appliedReasons = map[Source]Reason{FromPlatform: AppliedPlatform, FromZone: AppliedZone, FromOtherZone: AppliedOtherZone}

func (st *State) count(re Reason) { st.events.Count(st.Scope, "configuration_events", reasons, re) }
