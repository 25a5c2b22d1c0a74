package ratelimit

import (
	"math"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/peer"
)

// Allocator gives out the requests of the endpoints for which this instance is the
// allocator. Set the exported fields before use. It is safe for concurrent use.
type Allocator struct {
	Peers *Peers
	Boot  boottime.Clock

	mu      sync.Mutex
	buckets map[key]*bucket
}

// key identifies a process of an endpoint.
type key struct {
	endpoint string
	started  int64
}

// TakeArgs asks for one request to an endpoint.
type TakeArgs struct {
	Endpoint string
	// Started is the start time of the endpoint's process.
	Started int64
	// Zone is the availability zone of the endpoint.
	Zone string
	// Rate is the limit that the endpoint named, in requests per second.
	Rate float64
	// Paced is backpressure.Limit.Paced.
	Paced bool
	// MaxWait is how long the request can wait.
	MaxWait time.Duration
}

func (ar TakeArgs) key() key { return key{endpoint: ar.Endpoint, started: ar.Started} }

// burst returns how many requests may follow one another at once.
func (ar TakeArgs) burst() int {
	if ar.Paced {
		return 1
	}
	return maxBurst
}

// Decision is the answer to TakeArgs.
type Decision int

// The decisions.
const (
	// Denied means that the limit is reached.
	Denied Decision = iota
	// Taken means that the request may be sent after TakeReply.Wait.
	Taken
	// NotAllocator means that the asked instance does not divide this limit, or not
	// yet.
	NotAllocator
)

// TakeReply is the answer to TakeArgs.
type TakeReply struct {
	Decision Decision
	// Wait is the time until the request may be sent, or until it is worth asking
	// again.
	Wait time.Duration
}

// Take gives out one request, if this instance is the allocator and there is one.
func (al *Allocator) Take(ar TakeArgs) TakeReply {
	vi := al.Peers.View(ar.Endpoint, ar.Zone)
	if !vi.Settled || vi.Allocator == nil || vi.Allocator.Name != al.Peers.Self.Name {
		return TakeReply{Decision: NotAllocator}
	}
	now := al.Boot.Now()
	rate := ar.Rate * float64(vi.Alive) / float64(vi.Total)
	if math.IsNaN(rate) || rate < minRate {
		rate = minRate
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	if al.buckets == nil {
		al.buckets = make(map[key]*bucket)
	}
	ke := ar.key()
	bu := al.buckets[ke]
	if bu == nil {
		bu = newBucket(now, rate, ar.burst())
		al.buckets[ke] = bu
	}
	wait, taken := bu.take(now, rate, ar.burst(), min(ar.MaxWait, maxBacklog))
	if !taken {
		return TakeReply{Decision: Denied, Wait: wait}
	}
	return TakeReply{Decision: Taken, Wait: wait}
}

// Prune drops the buckets of endpoints that have had no requests recently.
func (al *Allocator) Prune() {
	now := al.Boot.Now()
	al.mu.Lock()
	defer al.mu.Unlock()
	for ke, bu := range al.buckets {
		if now-bu.next > forgetAfter {
			delete(al.buckets, ke)
		}
	}
}

// ServiceName is the name of the net/rpc service of an Allocator.
const ServiceName = "RateLimit"

// methodTake is the net/rpc method of Service.Take.
const methodTake = ServiceName + ".Take"

// Service serves an Allocator over net/rpc.
type Service struct{ al *Allocator }

// Service returns the net/rpc service.
func (al *Allocator) Service() *Service { return &Service{al: al} }

// Take is Allocator.Take as net/rpc requires it.
func (se *Service) Take(ar TakeArgs, re *TakeReply) (err error) {
	defer peer.Recover(&err)
	*re = se.al.Take(ar)
	return nil
}
