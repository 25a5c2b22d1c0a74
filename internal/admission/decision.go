package admission

import (
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Candidate is an endpoint that the allocator may choose.
type Candidate struct {
	Endpoint kind.Endpoint
	// Eligible endpoints get new work. The others get none, but the requests
	// in flight there still count.
	Eligible bool
	// Distance is 0 in the same zone, 1 in the same region and 2 elsewhere.
	Distance int
}

// Decision is the answer to one submitted request.
type Decision struct {
	ID       string
	Endpoint string
	// Priority is passed on to the engine; higher values go first.
	Priority int
	// Refusal is nil for a grant.
	Refusal *refusal.Error
}
