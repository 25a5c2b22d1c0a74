package plan

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/peer"
)

// InForce tells on how many instances a configuration version is in force. Total
// is the number of instances that were asked.
type InForce struct {
	Version int64 `json:"version"`
	Count   int   `json:"on"`
	Total   int   `json:"of"`
	// Missing lists the instances on which the version is not in force, each with
	// the reason.
	Missing []string `json:"missing,omitempty"`
}

// String returns a text such as "version 12 in force on 6 of 7; not on entry-4
// (suspected, no answer)".
func (in InForce) String() string {
	text := fmt.Sprintf("version %d in force on %d of %d", in.Version, in.Count, in.Total)
	if len(in.Missing) > 0 {
		text += "; not on " + strings.Join(in.Missing, ", ")
	}
	return text
}

// CountInForce counts the instances that answer with the version or a higher
// one.
func CountInForce(version int64, answers []Answer) InForce {
	in := InForce{Version: version, Total: len(answers)}
	for _, an := range answers {
		switch {
		case an.Err != nil:
			in.Missing = append(in.Missing, an.Member.Name+" ("+string(an.Member.State)+", no answer)")
		case an.Report.Standing.Version < version:
			in.Missing = append(in.Missing, fmt.Sprintf("%s (has version %d)", an.Member.Name, an.Report.Standing.Version))
		default:
			in.Count++
		}
	}
	return in
}

func (ex *Executor) awaitInForce(ctx context.Context, st *Step) bool {
	in := CountInForce(st.Version, ex.Fleet.Reports(ctx))
	st.Note = in.String()
	return in.Count == in.Total
}

// versionBefore returns the configuration version of the last change before the
// step at index ix, or the base version of the plan if there is none.
func versionBefore(pl Plan, ix int) int64 {
	for _, st := range slices.Backward(pl.Steps[:ix]) {
		if st.Version > 0 {
			return st.Version
		}
	}
	return pl.Base.Version
}

// countRequests counts the requests in flight at the endpoints that include
// selects. The count is complete only if coverage.Missing is empty, since the
// instances that do not answer or have an older version in force may have more.
func countRequests(answers []Answer, version int64, include func(endpoint string) bool) (requests int, coverage InForce) {
	coverage = CountInForce(version, answers)
	for _, an := range answers {
		for endpoint, number := range an.Report.InFlight {
			if include(endpoint) {
				requests += number
			}
		}
	}
	return requests, coverage
}

func (ex *Executor) awaitEndpointsIdle(ctx context.Context, re record, ix int, st *Step) bool {
	requests, coverage := countRequests(ex.Fleet.Reports(ctx), versionBefore(re.Plan, ix), func(endpoint string) bool {
		return slices.Contains(st.Endpoints, endpoint)
	})
	st.Note = fmt.Sprintf("%d requests left", requests)
	if coverage.Count < coverage.Total {
		st.Note += "; unknown on " + strings.Join(coverage.Missing, ", ")
	}
	return requests == 0 && coverage.Count == coverage.Total
}

func (ex *Executor) awaitZonesIdle(ctx context.Context, re record, ix int, st *Step) bool {
	cf := ex.State.Bundle().Configuration()
	requests, coverage := countRequests(ex.Fleet.Reports(ctx), versionBefore(re.Plan, ix), func(endpoint string) bool {
		en, found := cf.Endpoint(endpoint)
		return found && slices.Contains(st.Zones, en.Zone)
	})
	st.Note = fmt.Sprintf("%d requests left", requests)
	if requests == 0 && coverage.Count == coverage.Total {
		return true
	}
	if ex.Clock.Since(st.Started) > zonesIdleTimeout {
		st.Note += " at the timeout; they go on"
		return true
	}
	return false
}

// stopInstance asks the instance to stop. It reports true once the instance is
// gone, another instance has its name, or the instance is not live in the member
// view and no connection to its address can be made.
func (ex *Executor) stopInstance(ctx context.Context, st *Step) bool {
	me, found := ex.Fleet.View().Member(st.Instance)
	if !found || !me.Present() || me.Started.After(st.InstanceStarted) && !st.InstanceStarted.IsZero() {
		st.Note = "stopped"
		return true
	}
	err := ex.Fleet.StopMember(ctx, me)
	if me.State != member.Live && peer.IsKind(err, peer.Unreachable) {
		st.Note = "stopped"
		return true
	}
	st.Note = "finishing its requests"
	return false
}

func (ex *Executor) awaitReplacement(st *Step, stop Step) bool {
	for _, me := range ex.Fleet.View().In(st.Zone, member.Live) {
		if me.Started.After(stop.Started) {
			st.Note = me.Name + " took its place"
			return true
		}
	}
	st.Note = "no new instance in zone " + st.Zone + " yet"
	return false
}
