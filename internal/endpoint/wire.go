package endpoint

import "time"

// Header names of the HTTP protocol of endpoints.
const (
	// GenerationHeader carries the ID of the generation.
	GenerationHeader = "Generation-Id"
	// PriorityHeader carries the priority of a generation. A higher number is
	// served first.
	PriorityHeader = "Request-Priority"
	// SeedHeader carries the sampling seed.
	SeedHeader = "Generation-Seed"
	// ForcedPrefixHeader carries the number of tokens that have already been
	// delivered. The endpoint continues the generation after them.
	ForcedPrefixHeader = "Generation-Forced-Prefix"
	// UnreadHeader makes a cancellation conditional: the engine cancels the
	// generation only if no client is reading it. An engine that does not support
	// the header cancels unconditionally.
	UnreadHeader = "Generation-If-Unread"
	// KeyHeader carries the idempotency key of a call.
	KeyHeader = "Idempotency-Key"
	// FencingHeader carries the fencing token of an order.
	FencingHeader = "Fencing-Number"
)

// Generation is a request to start a generation.
type Generation struct {
	// ID is unique and chosen by the entry instance.
	ID string
	// Path is the path of the caller's request, for example "/v1/completions".
	Path string
	// Body is the JSON body of the caller's request.
	Body []byte
	// Seed is the sampling seed. It makes the generation reproducible if the
	// engine supports this.
	Seed uint64
	// Priority is ignored by endpoints without the capability
	// kind.Capabilities.Priorities.
	Priority int
	// ForcedPrefix is the number of tokens that have already been delivered. The
	// generation continues after them.
	ForcedPrefix int64
}

// Event is one event of a generation.
type Event struct {
	// Offset is the index of the token in the generation, starting at zero. It is
	// -1 if the event has no ID.
	Offset int64
	// Data is the JSON of the event. It is valid until the next call of Next.
	Data []byte
	// Done marks the end of the generation. Data is empty.
	Done bool
	// Waiting marks a keep-alive without a token. Data is empty.
	Waiting bool
}

// Load is the load report of an engine. It lags behind the actual load.
type Load struct {
	// BootID changes with each start of the engine process.
	BootID string `json:"boot_id"`
	// Running and Waiting are current numbers of generations.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// StartedTotal and PreemptedTotal are counters of generations.
	StartedTotal   int64 `json:"started_total"`
	PreemptedTotal int64 `json:"preempted_total"`
	// MemoryUsed and MemoryTotal are amounts of KV-cache memory in tokens.
	MemoryUsed  int `json:"memory_used"`
	MemoryTotal int `json:"memory_total"`
}

// CacheEvent reports that an engine has cached or evicted a prompt prefix.
type CacheEvent struct {
	// Sequence is the sequence number of the event at the engine.
	Sequence int64 `json:"sequence"`
	// Prefix is the hash of the prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Evicted is true if the engine has dropped the prefix.
	Evicted bool `json:"evicted,omitempty"`
}

// Order tells an endpoint to load a model, adapter or version, or to change its
// role.
type Order struct {
	Action  string `json:"action"`
	Subject string `json:"subject"`
	// Fencing is the fencing token of the order, sent as a header. It increases
	// with each new lease holder.
	Fencing int64 `json:"-"`
}

// Header is one end-to-end header line of a request or response of a plain
// service.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Request is a request to a plain service.
type Request struct {
	Method string
	// Path is the path relative to the base address of the endpoint, with the
	// query, unchanged from the caller's request.
	Path        string
	ContentType string
	Headers     []Header
	// Key is the idempotency key. If it is empty, none is sent.
	Key  string
	Body []byte
	// Timeout limits the wait for the complete response. It must be positive.
	Timeout time.Duration
}

// Response is the response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Headers     []Header
	Body        []byte
}
