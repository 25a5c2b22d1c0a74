package routing

import "time"

// RetryClass is the retry class of a route: whether its requests may run more
// than once, and whether event streams answer them.
type RetryClass int

// The retry classes of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RetryClass = iota + 1
	// AtMostOnce requests must not run more than once.
	AtMostOnce
	// Streaming requests must not run more than once and are answered by an
	// event stream.
	Streaming
)

// String implements fmt.Stringer.
func (rc RetryClass) String() string {
	switch rc {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at_most_once"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// Share is the fraction of a route's requests that goes to one service, as a
// weight relative to the other shares of the route.
type Share struct {
	Service string
	Weight  float64
}

// Route maps a host and path prefix to services, with the limits for its
// requests.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	RetryClass RetryClass
	// Timeout bounds the time from the arrival of a request to the last byte of
	// its answer.
	Timeout time.Duration
	// Objective is the target time to the answer, or to the first event of a
	// stream. A later answer is worth less.
	Objective time.Duration
	// MaxGap is the target for the longest time between two events of a stream.
	MaxGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Shares holds the traffic split; it has one entry if the route is not
	// split.
	Shares []Share
	// MaxAttempts is the maximum number of endpoints that may run one request.
	MaxAttempts int
	// Public routes accept requests without a key.
	Public bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of generations that an engine runs concurrently.
	Slots int
	// MemoryTokens is the capacity of an engine's KV cache in tokens.
	MemoryTokens int
	// TokenBytes is the size of the KV cache of one token in bytes.
	TokenBytes int
	// LinkBits is the bandwidth for KV-cache copies in bits per second.
	LinkBits float64
	// Migrates reports whether running generations can migrate between engines.
	Migrates bool
	// KeepsStandbyCopies reports whether engines keep standby copies of running
	// generations on other engines.
	KeepsStandbyCopies bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// HandleTimeout is how long an unused KV-cache copy is kept.
	HandleTimeout time.Duration
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the configured limit on the connections to one endpoint
	// from all instances together. No code enforces it.
	MaxConnections int
	// ColdStart is the duration of an endpoint's cold start.
	ColdStart time.Duration
	// ColdRate is the maximum rate of requests per second to an endpoint in its
	// cold start; zero means no limit.
	ColdRate float64
	// Engine is nil for services that run no model engines.
	Engine *Engine
}

// Team is a group of callers that share keys and a priority.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits holds the configured limits for incoming requests. That of bodies is enforced by
// packages ingress and dispatch, HeaderTimeout by package intake; zero means no limit.
// Package ingress has fixed limits in place of the others.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// NoBodies is set if the limit of bodies is there, and zero.
	NoBodies      bool
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Body returns the limit for the body of a request, in bytes, and whether there is one.
func (li Limits) Body() (bytes int, limited bool) {
	return li.BodyBytes, li.BodyBytes > 0 || li.NoBodies
}

// Configuration is one immutable version of the operators' configuration,
// indexed for lookups.
type Configuration struct {
	Version  int64
	routes   map[string][]Route // by host, longest prefix first
	services map[string]Service
	teams    map[string]Team // by key
	hasTeams bool
	limits   Limits
	source   []byte
}

// Spec is the input of New.
type Spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	// HasTeams is set if the configuration has a list of teams. The list may be empty: then
	// no key is valid.
	HasTeams bool
	Limits   Limits
	// Source is the serialized configuration, which other instances fetch through
	// package relay and decode.
	Source []byte
}
