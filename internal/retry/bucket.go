package retry

import "sync"

const (
	// depositPerRequest is the number of tokens that each caller's request adds.
	// It is less than 0.1, so that from 500 requests on the initial tokens fit
	// within the bound of 1.1 times the callers' load.
	depositPerRequest = 0.09
	// initialTokens lets services with few calls retry.
	initialTokens = 5
	// maxTokens is the capacity of a bucket. It bounds the burst of retries after
	// a period without failures.
	maxTokens = 50
)

// bucket is a token bucket that is filled by requests, not by time. The zero
// value is ready to use.
type bucket struct {
	mu          sync.Mutex
	tokens      float64
	initialized bool
}

func (bu *bucket) initialize() {
	if !bu.initialized {
		bu.initialized, bu.tokens = true, initialTokens
	}
}

// deposit adds the tokens of one caller's request, up to maxTokens.
func (bu *bucket) deposit() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.initialize()
	bu.tokens = min(bu.tokens+depositPerRequest, maxTokens)
}

// withdraw takes one token. It returns false if less than one is left.
func (bu *bucket) withdraw() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.initialize()
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}
