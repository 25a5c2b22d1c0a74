package outlier

import (
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/placement"
)

const (
	// window is the time for which a failure or success counts.
	window = 5 * time.Second
	// maxTimes limits the failures, and the successes, of one process that one instance
	// keeps and tells. The newest are kept.
	maxTimes = 8
)

// Report is what one instance has seen of one endpoint process: the ages of its failures
// and of the successes since the first one known.
type Report struct {
	Endpoint            string
	Started             int64
	Failures, Successes []time.Duration
}

// sightings are the times of failures and successes that one instance of a zone has seen
// at one endpoint process, oldest first.
type sightings struct {
	zone                string
	failures, successes []time.Time
}

// after returns the sightings newer than a time.
func (si sightings) after(at time.Time) sightings {
	si.failures, si.successes = timesAfter(si.failures, at), timesAfter(si.successes, at)
	return si
}

// timesAfter returns the times newer than a given one, without a copy.
func timesAfter(times []time.Time, at time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(at) {
		times = times[1:]
	}
	return times
}

// newest returns the time of the newest failure or success, or the zero time.
func (si sightings) newest() time.Time { return latest(last(si.failures), last(si.successes)) }

// isFailing reports whether the instance has seen failures and no success since.
func (si sightings) isFailing() bool {
	return len(si.failures) > 0 && last(si.failures).After(last(si.successes))
}

func (si sightings) isEmpty() bool { return len(si.failures) == 0 && len(si.successes) == 0 }

// last returns the newest of some times, or the zero time.
func last(times []time.Time) time.Time {
	if len(times) == 0 {
		return time.Time{}
	}
	return times[len(times)-1]
}

// appendTime returns a copy of some times with one more, without the oldest if there are too
// many.
func appendTime(times []time.Time, at time.Time) []time.Time {
	next := append(slices.Clone(times), at)
	slices.SortFunc(next, time.Time.Compare)
	return next[max(len(next)-maxTimes, 0):]
}

func ages(times []time.Time, now time.Time) []time.Duration {
	list := make([]time.Duration, len(times))
	for ix, at := range times {
		list[ix] = max(now.Sub(at), 0)
	}
	return list
}

// times returns the times of some ages, oldest first. Those that no longer count are left
// out.
func times(list []time.Duration, now time.Time) []time.Time {
	var all []time.Time
	for _, age := range list[:min(len(list), maxTimes)] {
		if age >= 0 && age < window {
			all = append(all, now.Add(-age))
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// sign is what an outcome says of an endpoint.
type sign int

const (
	noSign sign = iota
	success
	failure
)

// signOf returns what an outcome says of an endpoint. An endpoint that is full is no
// outlier.
func signOf(ou placement.Outcome) sign {
	switch ou {
	case placement.Done:
		return success
	case placement.Failed, placement.Lost, placement.Unreachable:
		return failure
	default:
		return noSign
	}
}
