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
	// must have one failure: an endpoint that serves many has such rows by chance.
	successesPerFailureInRow = 8
	// minFailures is the number of failures after which a process is set aside that
	// fails at least as often as it succeeds.
	minFailures = 5
	// minReporters is the number of instances that must have seen the failures, unless
	// they are the instance's own.
	minReporters = 2
	// maxShare is the share of a service's endpoints that may be set aside. One always
	// may, if there are others.
	maxShare = 1.0 / 3
	// maxZoneShare is the share of the endpoints of a service in one zone that may be set
	// aside. One always may.
	maxZoneShare = 1.0 / 2
	// minBlind is the least number of failing endpoints for which an instance is left
	// out, if they are more than maxShare of the service.
	minBlind = 3
)

// evidence is the sum of sightings of one process, by which it is judged.
type evidence struct {
	failures, successes int
	// inRow counts the failures since the newest success.
	inRow                    int
	reporters                int
	lastFailure, lastSuccess time.Time
}

func evidenceOf(list []sightings) evidence {
	var ta evidence
	for _, si := range list {
		ta.failures += len(si.failures)
		ta.successes += len(si.successes)
		if len(si.failures) > 0 {
			ta.reporters++
		}
		ta.lastFailure = latest(ta.lastFailure, last(si.failures))
		ta.lastSuccess = latest(ta.lastSuccess, last(si.successes))
	}
	for _, si := range list {
		for _, at := range si.failures {
			if at.After(ta.lastSuccess) {
				ta.inRow++
			}
		}
	}
	return ta
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (ta evidence) isFailing() bool {
	return ta.inRow >= max(failuresInRow, ta.successes/successesPerFailureInRow) || ta.failures >= minFailures && ta.failures >= ta.successes
}

// verdict is the judgement on one process.
type verdict struct {
	evidence
	failing bool
	// own is set if only what this instance saw itself speaks against the process.
	own bool
}

// judge judges a process by what this instance and others saw since a time. The caller
// must hold mu.
func (de *Detector) judge(pr *process, since time.Time) verdict {
	all := evidenceOf(de.relevant(pr, since, nil))
	if all.speaksAgainst() {
		all = evidenceOf(de.relevant(pr, since, de.blindInstances(pr.endpoint.Service)))
	}
	if all.speaksAgainst() {
		return verdict{evidence: all, failing: true}
	}
	own := evidenceOf([]sightings{pr.seen[de.Instance].after(since)})
	if own.isFailing() {
		return verdict{evidence: own, failing: true, own: true}
	}
	return verdict{evidence: all}
}

// speaksAgainst reports whether several instances have seen an endpoint failing.
func (ta evidence) speaksAgainst() bool { return ta.reporters >= minReporters && ta.isFailing() }

// relevant returns the sightings that count for this instance: those of instances of its
// zone and of the endpoint's, and all if instances of two zones saw failures. Those of blind
// instances don't count. The caller must hold mu.
func (de *Detector) relevant(pr *process, since time.Time, blind map[string]bool) []sightings {
	var near, far []sightings
	zones := make(map[string]bool)
	for name, si := range pr.seen {
		si = si.after(since)
		if si.isEmpty() || blind[name] {
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

// blindInstances returns the instances that fail at so many endpoints of a service that their
// own links are the likelier cause. The caller must hold mu.
func (de *Detector) blindInstances(service string) map[string]bool {
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
	blind := make(map[string]bool)
	for name, count := range failing {
		if count >= min(minBlind, ready) && float64(count) > maxShare*float64(ready) {
			blind[name] = true
		}
	}
	return blind
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

func isWithin(count, total int, share float64) bool {
	return count <= 1 || float64(count) <= share*float64(total)
}
