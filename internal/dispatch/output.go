package dispatch

import "sync"

const (
	// outputWeight is how much one answer moves the average of its route.
	outputWeight = 0.05
	// firstShare is the share of the bound that answers are taken to have before
	// any was seen.
	firstShare = 0.35
	// meanFill is the share of its output that a generation holds in the mean
	// over its time: it grows from nothing.
	meanFill = 0.5
)

// outputs learns how many tokens the answers of routes have. Callers' own
// guesses are often off by a factor of ten, and the bound is far above most
// answers, so placement plans with the mean of the route. The zero value is
// ready. It is safe for concurrent use.
type outputs struct {
	mu    sync.Mutex
	means map[string]float64
}

// expect returns how many tokens of memory the answer to a request takes up in
// the mean over its time.
func (ou *outputs) expect(route string, pr Prompt) int {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	mean, known := ou.means[route]
	if !known {
		mean = firstShare * float64(pr.MaxOutput)
	}
	return int(meanFill * min(mean, float64(pr.MaxOutput)))
}

// learn takes in a whole answer.
func (ou *outputs) learn(route string, tokens int) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.means == nil {
		ou.means = make(map[string]float64)
	}
	mean, known := ou.means[route]
	if !known {
		mean = float64(tokens)
	}
	ou.means[route] = mean + outputWeight*(float64(tokens)-mean)
}
