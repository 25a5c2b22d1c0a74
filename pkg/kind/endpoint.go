package kind

import "net/url"

// EndpointState says whether an endpoint takes new work.
type EndpointState string

// The states of an endpoint.
const (
	// EndpointServing takes new work.
	EndpointServing EndpointState = "serving"
	// EndpointDraining takes no new work. Running work is completed.
	EndpointDraining EndpointState = "draining"
)

// Capabilities lists the optional parts of the protocol that an endpoint
// supports.
type Capabilities struct {
	// ChecksFencing means that the endpoint refuses orders with an outdated
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Continuation means that the endpoint can continue a generation from a forced
	// prefix with the same seed.
	Continuation bool `json:"continuation,omitempty"`
	// Priorities means that the endpoint takes the priority of a request into
	// account.
	Priorities bool `json:"priorities,omitempty"`
}

// Capacity holds the limits of the work that an endpoint can do at the same time.
type Capacity struct {
	// MemoryTokens is the size of the KV-cache memory in tokens. It is zero for
	// plain services.
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// Sequences is the maximum number of concurrent requests.
	Sequences int `json:"sequences"`
	// ColdSequences is the maximum number of concurrent requests after a cold
	// start. It is at least 1 and at most Sequences.
	ColdSequences int `json:"cold_sequences"`
}

// Endpoint is a back end: one model engine or one replica of a plain service.
type Endpoint struct {
	Name string `json:"name"`
	// Service, Zone and Half are names of objects in the same configuration. An
	// empty Half means that the endpoint is shared by all halves.
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Half    string `json:"half,omitempty"`
	// URL is the base address with scheme, IP address and port.
	URL          string        `json:"url"`
	State        EndpointState `json:"state"`
	Capabilities Capabilities  `json:"capabilities"`
	Capacity     Capacity      `json:"capacity"`
}

// Serving reports whether the state of the endpoint allows new work. The state
// of its zone is not considered.
func (en Endpoint) Serving() bool { return en.State == EndpointServing }

// WithState returns a copy of the endpoint in state st.
func (en Endpoint) WithState(st EndpointState) Endpoint {
	en.State = st
	return en
}

// WithHalf returns a copy of the endpoint assigned to the half.
func (en Endpoint) WithHalf(half string) Endpoint {
	en.Half = half
	return en
}

// Validate checks the fields of the endpoint. References to other objects are
// checked by NewConfiguration.
func (en Endpoint) Validate() error {
	if err := checkName("endpoint", en.Name); err != nil {
		return err
	}
	if ur, err := url.Parse(en.URL); err != nil || ur.Host == "" {
		return &Error{Op: "endpoint", Name: en.Name, Field: "url", Kind: Invalid, Detail: `must be like "http://127.0.0.1:8000"`}
	}
	if en.State != EndpointServing && en.State != EndpointDraining {
		return &Error{Op: "endpoint", Name: en.Name, Field: "state", Kind: Invalid, Detail: `allowed are "serving" and "draining"`}
	}
	if en.Capacity.Sequences < 1 {
		return &Error{Op: "endpoint", Name: en.Name, Field: "capacity.sequences", Kind: Invalid, Detail: "must be at least 1"}
	}
	if en.Capacity.ColdSequences < 1 || en.Capacity.ColdSequences > en.Capacity.Sequences {
		return &Error{Op: "endpoint", Name: en.Name, Field: "capacity.cold_sequences", Kind: Invalid, Detail: "allowed are 1 to capacity.sequences"}
	}
	if en.Capacity.MemoryTokens < 0 {
		return &Error{Op: "endpoint", Name: en.Name, Field: "capacity.memory_tokens", Kind: Invalid, Detail: "must not be negative"}
	}
	return nil
}

// UnmarshalJSON decodes and validates an endpoint. Absent fields have the values
// of DefaultEndpoint: the state is serving, and the capacity is one concurrent
// request.
func (en *Endpoint) UnmarshalJSON(data []byte) error {
	next, err := DefaultEndpoint.WithFields(data)
	*en = next
	return err
}

// WithFields returns a validated copy in which the fields of a JSON object
// replace those of the endpoint. Fields that the JSON lacks keep their values.
func (en Endpoint) WithFields(data []byte) (Endpoint, error) {
	type plain Endpoint
	pl := plain(en)
	if err := decode("endpoint", data, &pl); err != nil {
		return Endpoint{}, err
	}
	next := Endpoint(pl)
	return next, next.Validate()
}
