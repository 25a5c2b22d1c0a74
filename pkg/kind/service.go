package kind

import "strings"

// ServiceType is the protocol of a service.
type ServiceType string

// The types of service.
const (
	// ServiceModel serves language-model generations.
	ServiceModel ServiceType = "model"
	// ServicePlain serves ordinary HTTP requests.
	ServicePlain ServiceType = "plain"
)

// Route declares whether calls of one HTTP method and path are idempotent.
type Route struct {
	Method string `json:"method"`
	// Path is matched against the whole path of a call. A segment in braces, for
	// example "{id}", matches any one segment that is not empty.
	Path string `json:"path"`
	// Idempotent allows retries and hedged requests.
	Idempotent bool `json:"idempotent"`
}

// Service is a named group of endpoints that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// Half is the name of the half that the service belongs to. If it is empty,
	// the service is shared by all halves.
	Half string      `json:"half,omitempty"`
	Type ServiceType `json:"type"`
	// Model is the model name that callers request. It is set for type "model"
	// only.
	Model string `json:"model,omitempty"`
	// Routes declares which calls are idempotent. The first match applies. A call
	// that matches none is not idempotent.
	Routes []Route `json:"routes,omitempty"`
}

// Idempotent reports whether a call is declared as idempotent and may be retried.
// A call that matches no route is not idempotent.
func (se Service) Idempotent(method, path string) bool {
	for _, ro := range se.Routes {
		if ro.Method == method && matchPath(ro.Path, path) {
			return ro.Idempotent
		}
	}
	return false
}

func matchPath(pattern, path string) bool {
	for {
		pa, restPattern, morePattern := strings.Cut(strings.TrimPrefix(pattern, "/"), "/")
		se, restPath, morePath := strings.Cut(strings.TrimPrefix(path, "/"), "/")
		wild := strings.HasPrefix(pa, "{") && strings.HasSuffix(pa, "}") && se != ""
		if !wild && pa != se {
			return false
		}
		if morePattern != morePath {
			return false
		}
		if !morePattern {
			return true
		}
		pattern, path = restPattern, restPath
	}
}

// WithHalf returns a copy of the service assigned to the half.
func (se Service) WithHalf(half string) Service {
	se.Half = half
	return se
}

// Validate checks the fields of the service.
func (se Service) Validate() error {
	if err := checkName("service", se.Name); err != nil {
		return err
	}
	switch se.Type {
	case ServiceModel:
		if se.Model == "" {
			return &Error{Op: "service", Name: se.Name, Field: "model", Kind: Missing, Detail: `required for type "model"`}
		}
	case ServicePlain:
		if se.Model != "" {
			return &Error{Op: "service", Name: se.Name, Field: "model", Kind: Invalid, Detail: `only allowed for type "model"`}
		}
	default:
		return &Error{Op: "service", Name: se.Name, Field: "type", Kind: Invalid, Detail: `allowed are "model" and "plain"`}
	}
	for _, ro := range se.Routes {
		if ro.Method == "" || !strings.HasPrefix(ro.Path, "/") {
			return &Error{Op: "service", Name: se.Name, Field: "routes", Kind: Invalid, Detail: `each needs a method and a path that begins with "/"`}
		}
	}
	return nil
}

// UnmarshalJSON decodes and validates a service.
func (se *Service) UnmarshalJSON(data []byte) error {
	next, err := Service{}.WithFields(data)
	*se = next
	return err
}

// WithFields returns a validated copy in which the fields of a JSON object
// replace those of the service. Fields that the JSON lacks keep their values.
func (se Service) WithFields(data []byte) (Service, error) {
	type plain Service
	pl := plain(se)
	pl.Routes = replaceable(pl.Routes, data, "routes")
	if err := decode("service", data, &pl); err != nil {
		return Service{}, err
	}
	next := Service(pl)
	return next, next.Validate()
}
