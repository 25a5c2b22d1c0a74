package simulation

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// Capacity returns the arrival rate, in requests per second, that is defined as
// load 1.0: the highest rate at which the queue of the Oracle policy stays
// bounded. SearchCapacity determines it. It returns 0 for unknown lengths.
func Capacity(le Lengths) float64 {
	switch le {
	case LogNormal:
		return 18.5
	case Pareto:
		return 25.5
	case Bimodal:
		return 9
	default:
		return 0
	}
}

const (
	searchDuration  = 40 * time.Minute
	searchTolerance = 0.25
	searchSeeds     = 3
	// maxQueueSeconds is the longest mean queue, in seconds of arrivals, that
	// counts as bounded.
	maxQueueSeconds = 2.0
)

// SearchCapacity returns the highest arrival rate, in requests per second, at
// which the queue of the Oracle policy stays bounded, with a tolerance of 0.25.
func SearchCapacity(le Lengths) (float64, error) {
	low, high := 1.0, 64.0
	for high-low > searchTolerance {
		rate := (low + high) / 2
		bounded, err := QueueBounded(le, rate, searchDuration)
		if err != nil {
			return 0, err
		}
		if bounded {
			low = rate
		} else {
			high = rate
		}
	}
	return low, nil
}

// QueueBounded reports whether the queue of the Oracle policy stays bounded at a
// rate over a run of length du, averaged over searchSeeds seeds.
func QueueBounded(le Lengths, rate float64, du time.Duration) (bool, error) {
	var queues [searchSeeds]float64
	var gr errgroup.Group
	for ix := range queues {
		gr.Go(func() (err error) {
			queues[ix], err = meanQueue(le, uint64(ix)+1, rate, du)
			return err
		})
	}
	if err := gr.Wait(); err != nil {
		return false, err
	}
	sum := 0.0
	for _, queue := range queues {
		sum += queue
	}
	return sum/searchSeeds/rate <= maxQueueSeconds, nil
}

// meanQueue returns the mean queue length of the Oracle policy over the second
// half of a run in which no request is refused and no caller hangs up.
func meanQueue(le Lengths, seed uint64, rate float64, du time.Duration) (float64, error) {
	op := Options{Policy: Oracle, Seed: seed, Lengths: le, Duration: du, noAbandonment: true}
	ru, err := newRun(op, rate)
	if err != nil {
		return 0, err
	}
	sum, count := 0.0, 0.0
	ru.every(time.Second, func() {
		if ru.now > du/2 {
			sum += float64(ru.di.(*allocatedDispatcher).al.Statistics().Queued)
			count++
		}
	})
	ru.loop()
	return sum / max(count, 1), nil
}
