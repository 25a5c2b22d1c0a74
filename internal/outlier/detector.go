package outlier

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/snapshot"
)

// Change is a change of the judgement on an endpoint.
type Change string

// The changes, which are counted.
const (
	ChangeEjected     Change = "ejected"
	ChangeProbeFailed Change = "probe_failed"
	ChangeReturned    Change = "returned"
)

var changes = []Change{ChangeEjected, ChangeProbeFailed, ChangeReturned}

const (
	// The time for which a process is set aside doubles from initialEjection up to
	// maxEjection with each failed probe.
	initialEjection = 250 * time.Millisecond
	maxEjection     = 8 * time.Second
	// ejectionMemory is the time without a failure after which a process is forgotten.
	ejectionMemory = 30 * time.Second
	// doubtPeriod is the time for which an endpoint is doubted after a failure, unless a
	// success follows.
	doubtPeriod = time.Second
)

// Detector judges endpoints by the outcomes of requests. Set the exported fields before
// use. It is safe for concurrent use. Standing takes no lock.
type Detector struct {
	// Instance and Zone are those of this instance.
	Instance, Zone string
	Roster         *roster.Roster
	// Instances returns the number of instances.
	Instances func() int
	Clock     clockwork.Clock
	Log       zerolog.Logger
	// Scope receives the counters. Nil counts nothing.
	Scope tally.Scope
	// Changes receives a value when there is something to tell other instances. The
	// send does not block: it is skipped if the channel is full. It may be nil.
	Changes chan<- struct{}

	counters metric.Events[Change]
	// tracked is the number of processes.
	tracked   atomic.Int64
	published snapshot.Holder[map[string]judged]
	mu        sync.Mutex
	processes map[string]*process
	// unsent is set while there is something to tell that doesn't wait for the next
	// regular message, waking while a signal on Changes is scheduled.
	unsent, waking bool
	// sentAt is when the last message that was not a regular one was sent.
	sentAt time.Time
}

// process is what is known of an endpoint process that has failed.
type process struct {
	endpoint roster.Endpoint
	// seen has what instances saw, by name.
	seen map[string]sightings
	// since is the time before which nothing counts: the end of the last ejection.
	since time.Time
	// ejected is set while the process is judged to be failing; own if only by what this
	// instance saw.
	ejected, own bool
	// ejections counts the ejections and failed probes; a return doesn't reset it.
	ejections int
	ejectedAt time.Time
	// reopensAt is when the first probe may be sent.
	reopensAt   time.Time
	lastFailure time.Time
	// doubtedUntil is zero if the last request known of succeeded.
	doubtedUntil time.Time
	// unsent is set while other instances have not been told what this one saw.
	unsent bool
	// probing is set while a request of this instance is at the process.
	probing bool
}

// isDoubtful reports whether a success changes the judgement on a process.
func (pr *process) isDoubtful() bool { return pr.ejected || !pr.doubtedUntil.IsZero() }

// Record implements placement.Outliers. A success counts from when its request was sent: one
// that was under way before a failure doesn't show that the endpoint works again.
func (de *Detector) Record(en roster.Endpoint, ou placement.Outcome, sent time.Time) {
	sg := signOf(ou)
	if de.tracked.Load() == 0 && sg != failure {
		return
	}
	now := de.Clock.Now()
	de.mu.Lock()
	defer de.mu.Unlock()
	pr := de.process(en, sg == failure)
	if pr == nil {
		return
	}
	wasProbe := pr.probing
	pr.probing = false
	if sg == noSign {
		if wasProbe {
			de.publish()
		}
		return
	}
	de.addOwn(pr, sg, now, sent)
	isUrgent := sg == failure || pr.isDoubtful()
	de.review(pr, now)
	if isUrgent {
		// Other successes are told with the next regular message.
		de.unsent, pr.unsent = true, true
		de.wake()
	}
}

// addOwn adds a failure, or else a success, to what this instance saw of a process. The
// caller must hold mu.
func (de *Detector) addOwn(pr *process, sg sign, now, sent time.Time) {
	si := pr.seen[de.Instance]
	si.zone = de.Zone
	if sg == failure {
		si.failures = appendTime(si.failures, now)
	} else {
		si.successes = appendTime(si.successes, sent)
	}
	pr.seen[de.Instance] = si
}

// Begin records that a request is sent to an endpoint. If the endpoint is set aside, it is
// the only one of this instance until its outcome is known.
func (de *Detector) Begin(en roster.Endpoint) {
	if _, found := de.lookup(en); !found {
		return
	}
	de.mu.Lock()
	defer de.mu.Unlock()
	if pr := de.process(en, false); pr != nil && pr.ejected {
		pr.probing = true
		de.publish()
	}
}

// process returns what is known of an endpoint's process. What is known of an earlier one
// is forgotten. It returns nil for an earlier process, and for an unknown one unless create
// is set. The caller must hold mu.
func (de *Detector) process(en roster.Endpoint, create bool) *process {
	pr := de.processes[en.ID]
	if pr != nil && pr.endpoint.Started == en.Started {
		return pr
	}
	if pr != nil && pr.endpoint.Started > en.Started || !create {
		return nil
	}
	if de.processes == nil {
		de.processes = make(map[string]*process)
	}
	next := &process{endpoint: en, seen: make(map[string]sightings)}
	de.processes[en.ID] = next
	de.tracked.Store(int64(len(de.processes)))
	if pr != nil {
		de.publish()
	}
	return next
}

// review judges a process again after something new was seen. The caller must hold mu.
func (de *Detector) review(pr *process, now time.Time) {
	ve := de.judge(pr, latest(pr.since, now.Add(-window)))
	pr.lastFailure = latest(pr.lastFailure, ve.lastFailure)
	pr.own = pr.own && (!ve.failing || ve.own)
	switch {
	case pr.ejected && de.hasRecovered(pr, ve):
		pr.ejected, pr.since, pr.probing = false, now, false
		de.logChange(pr, ChangeReturned, ve, now)
	case pr.ejected && ve.lastFailure.After(pr.reopensAt):
		de.eject(pr, ve, now, ChangeProbeFailed)
	case !pr.ejected && ve.failing:
		pr.ejectedAt = now
		de.eject(pr, ve, now, ChangeEjected)
	}
	de.doubt(pr, ve)
	de.publish()
}

// doubt marks a process as doubted if its newest known requests failed. The caller must
// hold mu.
func (de *Detector) doubt(pr *process, ve verdict) {
	pr.doubtedUntil = time.Time{}
	if ve.inRow > 0 {
		pr.doubtedUntil = ve.lastFailure.Add(doubtPeriod)
	}
}

// hasRecovered reports whether a request has succeeded at a process since it was set aside.
// If this instance alone did so, the success must be its own.
func (de *Detector) hasRecovered(pr *process, ve verdict) bool {
	success, failure := ve.lastSuccess, ve.lastFailure
	if pr.own {
		si := pr.seen[de.Instance]
		success, failure = last(si.successes), last(si.failures)
	}
	return !success.Before(pr.ejectedAt) && success.After(failure)
}

// eject sets a process aside, for longer each time. The caller must hold mu.
func (de *Detector) eject(pr *process, ve verdict, now time.Time, ch Change) {
	pr.ejected, pr.own = true, ve.own || pr.ejected && pr.own
	pr.reopensAt = now.Add(min(initialEjection<<min(pr.ejections, 8), maxEjection))
	pr.ejections++
	de.logChange(pr, ch, ve, now)
}

// logChange logs and counts a change of the judgement, with what decided.
func (de *Detector) logChange(pr *process, ch Change, ve verdict, now time.Time) {
	de.counters.Count(de.Scope, "outliers", changes, ch)
	line := de.Log.Info().Str("endpoint", pr.endpoint.ID).Str("zone", pr.endpoint.Zone).Int64("started", pr.endpoint.Started).
		Int("failures", ve.failures).Int("successes", ve.successes).Int("in_row", ve.inRow).Int("reporters", ve.reporters).Bool("own", pr.own).Int("ejections", pr.ejections)
	if ch == ChangeReturned {
		line.Str("event", "endpoint_returned").Dur("lasted", now.Sub(pr.ejectedAt)).Msg("outlier: a request succeeded at an endpoint that was set aside; it gets requests again")
		return
	}
	line.Str("event", "endpoint_ejected").Str("why", string(ch)).Dur("until_probe", pr.reopensAt.Sub(now)).Msg("outlier: requests at an endpoint fail; it is set aside")
}

// Forget drops what is known of endpoints for which known returns false, and of those
// without a failure for ejectionMemory.
func (de *Detector) Forget(known func(id string) bool) {
	now := de.Clock.Now()
	de.mu.Lock()
	defer de.mu.Unlock()
	for id, pr := range de.processes {
		if !known(id) || now.Sub(pr.lastFailure) > ejectionMemory {
			delete(de.processes, id)
		}
	}
	de.tracked.Store(int64(len(de.processes)))
	de.publish()
}
