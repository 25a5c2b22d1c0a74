package outlier

import (
	"time"

	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// maxReports limits the processes in one message.
	maxReports = 16
	// minSendInterval is the least time between two messages, and sendIntervalPerInstance
	// what each instance that gets them adds to it.
	minSendInterval         = 20 * time.Millisecond
	sendIntervalPerInstance = 2 * time.Millisecond
	// tellPeriod is the time for which a sighting is repeated to other instances.
	// Messages between instances may get lost.
	tellPeriod = 2500 * time.Millisecond
	// maxReporters limits the instances of which sightings of one process are kept: those
	// with the newest ones.
	maxReporters = 32
	// repeatTolerance is the difference of two times of the same sighting, by the delay of
	// the messages that tell its age.
	repeatTolerance = 50 * time.Millisecond
)

// Changed returns what to tell the other instances now. Unless due is set, it returns
// nothing until there is something new and some time has passed since the last message, and
// then only the processes that have something new.
func (de *Detector) Changed(due bool) []Report {
	if de.tracked.Load() == 0 {
		return nil
	}
	now := de.Clock.Now()
	de.mu.Lock()
	defer de.mu.Unlock()
	if !due && (!de.unsent || now.Before(de.nextSend())) {
		return nil
	}
	de.unsent = false
	var list []Report
	for _, pr := range de.processes {
		if !pr.unsent && (!due || !de.isRecent(pr, now)) {
			continue
		}
		if len(list) == maxReports {
			de.unsent = true
			break
		}
		pr.unsent = false
		si := pr.seen[de.Instance].after(now.Add(-window))
		list = append(list, Report{Endpoint: pr.endpoint.ID, Started: pr.endpoint.Started, Failures: ages(si.failures, now), Successes: ages(si.successes, now)})
	}
	if len(list) > 0 && !due {
		de.sentAt = now
	}
	return list
}

// isRecent reports whether what this instance saw of a process is repeated to others. The
// caller must hold mu.
func (de *Detector) isRecent(pr *process, now time.Time) bool {
	return now.Sub(pr.seen[de.Instance].newest()) < tellPeriod && now.Sub(pr.lastFailure) < window
}

// nextSend returns when the next message may be sent. The caller must hold mu.
func (de *Detector) nextSend() time.Time {
	return de.sentAt.Add(max(minSendInterval, time.Duration(de.Instances())*sendIntervalPerInstance))
}

// wake signals on Changes that there is something to tell, once it may be sent. The caller
// must hold mu.
func (de *Detector) wake() {
	if de.Changes == nil || de.waking {
		return
	}
	wait := de.nextSend().Sub(de.Clock.Now())
	if wait <= 0 {
		de.signal()
		return
	}
	de.waking = true
	de.Clock.AfterFunc(wait, func() {
		de.mu.Lock()
		defer de.mu.Unlock()
		de.waking = false
		de.signal()
	})
}

// signal sends on Changes, or does nothing if the channel is full.
func (de *Detector) signal() {
	select {
	case de.Changes <- struct{}{}:
	default:
	}
}

// Merge records what another instance has seen. It replaces what it said before of the
// same processes. Reports on processes that this instance does not know are ignored.
func (de *Detector) Merge(instance, zone string, list []Report) {
	now := de.Clock.Now()
	de.mu.Lock()
	defer de.mu.Unlock()
	for _, re := range list[:min(len(list), maxReports)] {
		en, known := de.Roster.View().Get(re.Endpoint)
		if !known || en.Started != re.Started {
			continue
		}
		de.mergeReport(instance, en, sightings{zone: zone, failures: times(re.Failures, now), successes: times(re.Successes, now)}, now)
	}
}

// mergeReport records what another instance has seen of one process. The caller must hold mu.
func (de *Detector) mergeReport(instance string, en roster.Endpoint, si sightings, now time.Time) {
	pr := de.process(en, len(si.failures) > 0)
	if pr == nil {
		return
	}
	before, known := pr.seen[instance]
	pr.seen[instance] = si
	if len(pr.seen) > maxReporters {
		pr.dropOldest(de.Instance)
	}
	if known && before.repeats(si) || !pr.isDoubtful() && !si.isFailing() {
		return
	}
	de.review(pr, now)
}

// repeats reports whether other sightings of the same instance have nothing new.
func (si sightings) repeats(other sightings) bool {
	return len(other.failures) <= len(si.failures) && len(other.successes) <= len(si.successes) && other.newest().Sub(si.newest()).Abs() < repeatTolerance
}

// dropOldest drops the sightings of the instance, other than this one, that saw nothing for
// the longest time.
func (pr *process) dropOldest(self string) {
	oldest := ""
	for name, si := range pr.seen {
		if name != self && (oldest == "" || si.newest().Before(pr.seen[oldest].newest())) {
			oldest = name
		}
	}
	delete(pr.seen, oldest)
}
