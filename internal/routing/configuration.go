package routing

import "time"

// Repeat says what may be done again for one request.
type Repeat int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Repeat = iota + 1
	// AtMostOnce requests may run once at most.
	AtMostOnce
	// Streaming requests run once at most and are answered by events.
	Streaming
)

// String implements fmt.Stringer.
func (re Repeat) String() string {
	switch re {
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

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Route says where the requests of a host and path go, and within which bounds.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Repeat     Repeat
	// Timeout bounds the time from the arrival of a request to its last byte.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, within
	// which the answer has its full value.
	Objective time.Duration
	// MaxGap is the longest pause between events within the objective.
	MaxGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Shares has one entry, or several where the route is split.
	Shares []Share
	// MaxAttempts bounds the endpoints that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many generations an engine runs at once.
	Slots int
	// MemoryTokens is how many tokens an engine's memory holds.
	MemoryTokens int
	// TokenBytes is what one token takes when it is copied.
	TokenBytes int
	// LinkBits is the bandwidth for copies, in bits a second.
	LinkBits float64
	// Migrates tells whether runs can be moved between engines.
	Migrates bool
	// Standbys tells whether engines keep copies of runs elsewhere.
	Standbys bool
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
	// HandleTimeout is how long a copy waits to be used.
	HandleTimeout time.Duration
}

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all callers to one endpoint.
	MaxConnections int
	// ColdStart is how long an endpoint is cold after its start.
	ColdStart time.Duration
	// ColdRate is how many requests a second a cold endpoint bears; zero means
	// that cold endpoints need no protection.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Team is a group of callers.
type Team struct {
	Name string
	Keys []string
	// Priority goes before that of the route, if HasPriority.
	Priority    int
	HasPriority bool
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators configured. It does not
// change after New.
type Configuration struct {
	Version  int64
	routes   map[string][]Route // by host, longest prefix first
	services map[string]Service
	teams    map[string]Team // by key
	teamed   bool
	limits   Limits
	source   []byte
}

// Spec is what a Configuration is made from.
type Spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
	// Source is the text that it was read from, to be handed on to instances
	// that can't reach the store.
	Source []byte
}
