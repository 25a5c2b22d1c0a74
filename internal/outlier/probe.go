package outlier

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// probeStep is the time after which twice as many instances may send probes to an endpoint
// that is set aside.
const probeStep = 100 * time.Millisecond

// judged is what Standing needs to know of an endpoint that fails.
type judged struct {
	started int64
	// doubtedUntil is the end of the time for which the endpoint is doubted.
	doubtedUntil time.Time
	ejected      bool
	// opensAt is when this instance may send a request to an ejected endpoint.
	opensAt time.Time
	probing bool
}

// Standing implements placement.Outliers.
func (de *Detector) Standing(en roster.Endpoint) placement.Standing {
	ju, found := de.lookup(en)
	if !found {
		return placement.Sound
	}
	now := de.Clock.Now()
	switch {
	case ju.ejected && (ju.probing || now.Before(ju.opensAt)):
		return placement.SetAside
	case !ju.ejected && now.Before(ju.doubtedUntil):
		return placement.Doubted
	default:
		return placement.Sound
	}
}

// lookup returns the published judgement on an endpoint's process.
func (de *Detector) lookup(en roster.Endpoint) (judged, bool) {
	all := de.published.Load()
	if all == nil {
		return judged{}, false
	}
	ju, found := (*all)[en.ID]
	return ju, found && ju.started == en.Started
}

// publish publishes the judgements on endpoints that fail. The caller must hold mu.
func (de *Detector) publish() {
	next := make(map[string]judged)
	for id, pr := range de.processes {
		if !pr.ejected && !pr.doubtedUntil.IsZero() {
			next[id] = judged{started: pr.endpoint.Started, doubtedUntil: pr.doubtedUntil}
		}
	}
	for _, pr := range de.withinBounds() {
		next[pr.endpoint.ID] = judged{started: pr.endpoint.Started, ejected: true, opensAt: pr.reopensAt.Add(de.probeDelay(pr)), probing: pr.probing}
	}
	de.published.Store(&next)
}

// probeDelay returns how long after the first instance this one may send a probe. By a
// hash, about one instance may at once, two after one probeStep, four after two, and so on.
// An endpoint that only this instance has set aside is probed by this instance alone.
func (de *Detector) probeDelay(pr *process) time.Duration {
	instances := de.Instances()
	if pr.own || instances <= 1 {
		return 0
	}
	const steps = 1 << 32
	key := de.Instance + "/" + pr.endpoint.ID + "/" + strconv.FormatInt(pr.endpoint.Started, 10) + "/" + strconv.Itoa(pr.ejections)
	rank := float64(instances) * float64(xxhash.Sum64String(key)%steps) / steps
	return probeStep * time.Duration(math.Ceil(math.Log2(max(rank, 1))))
}
