package dispatch

import "sync"

const (
	// ewmaWeight is the weight of one answer in the moving average of its
	// route.
	ewmaWeight = 0.05
	// initialOutputShare is the assumed ratio of an answer's length to its
	// limit before any answer of the route has been observed.
	initialOutputShare = 0.35
	// meanMemoryShare is the memory that a generation's output occupies on
	// average over its duration, as a share of the memory at its end. The
	// output grows from zero.
	meanMemoryShare = 0.5
)

// outputEstimator estimates the number of tokens in the answers of each route
// by an exponentially weighted moving average. Placement uses this estimate
// because callers' own estimates are often wrong by a factor of ten, and the
// limit is far above the length of most answers. The zero value is ready to
// use. It is safe for concurrent use.
type outputEstimator struct {
	mu    sync.Mutex
	means map[string]float64
}

// estimate returns how many tokens of engine memory the answer to a request
// occupies, averaged over the duration of the generation.
func (ou *outputEstimator) estimate(route string, pr Prompt) int {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	mean, known := ou.means[route]
	if !known {
		mean = initialOutputShare * float64(pr.MaxOutput)
	}
	return int(meanMemoryShare * min(mean, float64(pr.MaxOutput)))
}

// observe records the length of a complete answer.
func (ou *outputEstimator) observe(route string, tokens int) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.means == nil {
		ou.means = make(map[string]float64)
	}
	mean, known := ou.means[route]
	if !known {
		mean = float64(tokens)
	}
	ou.means[route] = mean + ewmaWeight*(float64(tokens)-mean)
}
