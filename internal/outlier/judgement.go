package outlier

import (
	"slices"
	"time"
)

const (
	// failuresInRow is the number of failures without a success between them after which
	// a process is set aside.
	failuresInRow = 3
	// successesPerFailureInRow is the number of successes in the window for which the row
	// must have one failure: an endpoint that serves many requests has a few consecutive
	// failures by chance.
	successesPerFailureInRow = 8
	// minFailures is the number of failures after which a process is set aside that
	// fails at least as often as it succeeds.
	minFailures = 5
	// minReporters is the number of instances that must have seen the failures, unless
	// they are the instance's own.
	minReporters = 2
	// maxShare is the share of a service's endpoints that may be set aside. One always
	// may: if there is no other, it gets the requests all the same, at a higher cost.
	maxShare = 1.0 / 3
	// maxZoneShare is the share of the endpoints of a service in one zone that may be set
	// aside. One always may.
	maxZoneShare = 1.0 / 2
	// minUnreliable is the least number of failing endpoints for which the reports of an
	// instance don't count, if they are more than maxShare of the service. In a service
	// with fewer endpoints, all of them must fail.
	minUnreliable = 3
)

// evidence is the sum of sightings of one process, by which it is judged.
type evidence struct {
	failures, successes int
	// inRow counts the consecutive failures since the newest success.
	inRow                    int
	reporters                int
	lastFailure, lastSuccess time.Time
}

// evidenceOf sums up the sightings of one process.
func evidenceOf(list []sightings) evidence {
	var ev evidence
	for _, si := range list {
		ev.failures += len(si.failures)
		ev.successes += len(si.successes)
		if len(si.failures) > 0 {
			ev.reporters++
		}
		ev.lastFailure = latest(ev.lastFailure, last(si.failures))
		ev.lastSuccess = latest(ev.lastSuccess, last(si.successes))
	}
	for _, si := range list {
		for _, at := range si.failures {
			if at.After(ev.lastSuccess) {
				ev.inRow++
			}
		}
	}
	return ev
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isFailing reports whether the evidence suffices to set a process aside.
func (ev evidence) isFailing() bool {
	return ev.inRow >= max(failuresInRow, ev.successes/successesPerFailureInRow) || ev.failures >= minFailures && ev.failures >= ev.successes
}

// verdict is the judgement on one process.
type verdict struct {
	evidence
	failing bool
	// own is set if only the failures that this instance saw itself decide.
	own bool
}

// judge judges a process by what this instance and others saw since a time. The caller
// must hold mu.
func (de *Detector) judge(pr *process, since time.Time) verdict {
	all := evidenceOf(de.relevant(pr, since, nil))
	if all.isConfirmed() {
		all = evidenceOf(de.relevant(pr, since, de.unreliableInstances(pr.endpoint.Service)))
	}
	if all.isConfirmed() {
		return verdict{evidence: all, failing: true}
	}
	own := evidenceOf([]sightings{pr.seen[de.Instance].after(since)})
	if own.isFailing() {
		return verdict{evidence: own, failing: true, own: true}
	}
	return verdict{evidence: all}
}

// isConfirmed reports whether an endpoint is failing and several instances saw failures.
func (ev evidence) isConfirmed() bool { return ev.reporters >= minReporters && ev.isFailing() }

// relevant returns the sightings that count for this instance: those of instances of its
// zone and of the endpoint's, and all if instances of two zones saw failures. Those of
// unreliable instances don't count. The caller must hold mu.
func (de *Detector) relevant(pr *process, since time.Time, unreliable map[string]bool) []sightings {
	var near, far []sightings
	zones := make(map[string]bool)
	for name, si := range pr.seen {
		si = si.after(since)
		if si.isEmpty() || unreliable[name] {
			continue
		}
		if len(si.failures) > 0 {
			zones[si.zone] = true
		}
		if si.zone == de.Zone || si.zone == pr.endpoint.Zone {
			near = append(near, si)
		} else {
			far = append(far, si)
		}
	}
	if len(zones) > 1 {
		return append(near, far...)
	}
	return near
}

// unreliableInstances returns the instances that fail at so many endpoints of a service
// that their own links are the likelier cause. The caller must hold mu.
func (de *Detector) unreliableInstances(service string) map[string]bool {
	failing := make(map[string]int)
	for _, pr := range de.processes {
		if pr.endpoint.Service != service {
			continue
		}
		for name, si := range pr.seen {
			if si.isFailing() {
				failing[name]++
			}
		}
	}
	ready := len(de.Roster.View().Ready(service))
	unreliable := make(map[string]bool)
	for name, count := range failing {
		if count >= min(minUnreliable, ready) && float64(count) > maxShare*float64(ready) {
			unreliable[name] = true
		}
	}
	return unreliable
}

// group is the endpoints of a service in one zone, or in all if zone is empty.
type group struct{ service, zone string }

// withinBounds returns the processes that are set aside. Where too many endpoints of a
// service or of a zone fail, there is another cause, and none of them is. The caller must
// hold mu.
func (de *Detector) withinBounds() []*process {
	var list []*process
	failing, ready := make(map[group]int), make(map[group]int)
	for _, pr := range de.processes {
		if !pr.ejected {
			continue
		}
		list = append(list, pr)
		service, zone := pr.groups()
		failing[service]++
		failing[zone]++
		if ready[service] == 0 {
			de.countReady(ready, pr.endpoint.Service)
		}
	}
	return slices.DeleteFunc(list, func(pr *process) bool {
		service, zone := pr.groups()
		return !isWithin(failing[service], ready[service], maxShare) || !isWithin(failing[zone], ready[zone], maxZoneShare)
	})
}

// groups returns the groups whose bounds hold for a process.
func (pr *process) groups() (service, zone group) {
	return group{service: pr.endpoint.Service}, group{pr.endpoint.Service, pr.endpoint.Zone}
}

// countReady counts the endpoints of a service by group.
func (de *Detector) countReady(ready map[group]int, service string) {
	for _, en := range de.Roster.View().Ready(service) {
		ready[group{service: service}]++
		ready[group{service, en.Zone}]++
	}
}

// isWithin reports whether count is at most a share of total, or at most one.
func isWithin(count, total int, share float64) bool {
	return count <= 1 || float64(count) <= share*float64(total)
}
