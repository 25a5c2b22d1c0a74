package kind

import "encoding/json"

// Document is the JSON representation of a Configuration.
type Document struct {
	// Version increases by one with each accepted change.
	Version   int64      `json:"version"`
	Halves    []Half     `json:"halves,omitempty"`
	Zones     []Zone     `json:"zones,omitempty"`
	Teams     []Team     `json:"teams,omitempty"`
	Services  []Service  `json:"services,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
}

// Configuration is one version of all objects that operators have configured. It
// is immutable and safe for concurrent use.
type Configuration struct {
	version   int64
	halves    table[Half]
	zones     table[Zone]
	teams     table[Team]
	services  table[Service]
	endpoints table[Endpoint]

	teamByHash map[string]Team
	byService  map[string][]Endpoint
	byModel    map[servedModel]Service
}

// NewConfiguration builds a configuration from a document. It checks that names
// and tokens are unique and that each referenced object exists. It also checks,
// in name order, that the half of each service of type "model" differs from that
// of the preceding service of the same model. It does not validate the other
// fields of the objects. An error is an *Error of kind Duplicate or Dangling.
func NewConfiguration(doc Document) (*Configuration, error) {
	cf := &Configuration{version: doc.Version}
	var err error
	if cf.halves, err = newTable("half", func(it Half) string { return it.Name }, doc.Halves); err != nil {
		return nil, err
	}
	if cf.zones, err = newTable("zone", func(it Zone) string { return it.Name }, doc.Zones); err != nil {
		return nil, err
	}
	if cf.teams, err = newTable("team", func(it Team) string { return it.Name }, doc.Teams); err != nil {
		return nil, err
	}
	if cf.services, err = newTable("service", func(it Service) string { return it.Name }, doc.Services); err != nil {
		return nil, err
	}
	if cf.endpoints, err = newTable("endpoint", func(it Endpoint) string { return it.Name }, doc.Endpoints); err != nil {
		return nil, err
	}
	if err := cf.index(); err != nil {
		return nil, err
	}
	return cf, nil
}

// index builds the lookup tables and checks the references between objects.
func (cf *Configuration) index() error {
	cf.teamByHash = make(map[string]Team, len(cf.teams.sorted))
	cf.byService = make(map[string][]Endpoint, len(cf.services.sorted))
	cf.byModel = make(map[servedModel]Service, len(cf.services.sorted))
	for _, zo := range cf.zones.sorted {
		if err := cf.checkHalf("zone", zo.Name, zo.Half); err != nil {
			return err
		}
	}
	for _, te := range cf.teams.sorted {
		if err := cf.indexTeam(te); err != nil {
			return err
		}
	}
	for _, se := range cf.services.sorted {
		if err := cf.indexService(se); err != nil {
			return err
		}
	}
	for _, en := range cf.endpoints.sorted {
		if err := cf.indexEndpoint(en); err != nil {
			return err
		}
	}
	return nil
}

func (cf *Configuration) checkHalf(op, name, half string) error {
	if half == "" {
		return nil
	}
	if _, found := cf.halves.byName[half]; !found {
		return &Error{Op: op, Name: name, Field: "half", Kind: Dangling, Detail: "no half is named " + half}
	}
	return nil
}

func (cf *Configuration) indexTeam(te Team) error {
	if err := cf.checkHalf("team", te.Name, te.Half); err != nil {
		return err
	}
	for _, hash := range te.TokenHashes {
		if other, found := cf.teamByHash[hash]; found {
			return &Error{Op: "team", Name: te.Name, Field: "token_hashes", Kind: Duplicate, Detail: "team " + other.Name + " has the same token"}
		}
		cf.teamByHash[hash] = te
	}
	return nil
}

func (cf *Configuration) indexService(se Service) error {
	if err := cf.checkHalf("service", se.Name, se.Half); err != nil {
		return err
	}
	if se.Type != ServiceModel {
		return nil
	}
	served := servedModel{model: se.Model, half: se.Half}
	if other, found := cf.byModel[served]; found {
		return &Error{Op: "service", Name: se.Name, Field: "model", Kind: Duplicate, Detail: "service " + other.Name + " of the same half serves it"}
	}
	cf.byModel[served] = se
	return nil
}

// servedModel is a model as one half serves it. At most one service does.
type servedModel struct {
	model string
	half  string
}

func (cf *Configuration) indexEndpoint(en Endpoint) error {
	if err := cf.checkHalf("endpoint", en.Name, en.Half); err != nil {
		return err
	}
	if _, found := cf.services.byName[en.Service]; !found {
		return &Error{Op: "endpoint", Name: en.Name, Field: "service", Kind: Dangling, Detail: "no service is named " + en.Service}
	}
	if _, found := cf.zones.byName[en.Zone]; !found {
		return &Error{Op: "endpoint", Name: en.Name, Field: "zone", Kind: Dangling, Detail: "no zone is named " + en.Zone}
	}
	cf.byService[en.Service] = append(cf.byService[en.Service], en)
	return nil
}

// Version returns the version number, which increases with each accepted change.
func (cf *Configuration) Version() int64 { return cf.version }

// Halves returns the halves in name order. The caller must not modify the slice.
func (cf *Configuration) Halves() []Half { return cf.halves.sorted }

// Zones returns the zones in name order. The caller must not modify the slice.
func (cf *Configuration) Zones() []Zone { return cf.zones.sorted }

// Teams returns the teams in name order. The caller must not modify the slice.
func (cf *Configuration) Teams() []Team { return cf.teams.sorted }

// Services returns the services in name order. The caller must not modify the
// slice.
func (cf *Configuration) Services() []Service { return cf.services.sorted }

// Endpoints returns the endpoints in name order. The caller must not modify the
// slice.
func (cf *Configuration) Endpoints() []Endpoint { return cf.endpoints.sorted }

// Team returns the team with the given name, and whether it exists.
func (cf *Configuration) Team(name string) (Team, bool) {
	te, found := cf.teams.byName[name]
	return te, found
}

// Zone returns the availability zone with the given name, and whether it exists.
func (cf *Configuration) Zone(name string) (Zone, bool) {
	zo, found := cf.zones.byName[name]
	return zo, found
}

// Service returns the service with the given name, and whether it exists.
func (cf *Configuration) Service(name string) (Service, bool) {
	se, found := cf.services.byName[name]
	return se, found
}

// Endpoint returns the endpoint with the given name, and whether it exists.
func (cf *Configuration) Endpoint(name string) (Endpoint, bool) {
	en, found := cf.endpoints.byName[name]
	return en, found
}

// TeamByToken returns the team that a bearer token belongs to, and whether there
// is one. The token is given in clear text, not as a hash. An empty one belongs to
// no team.
func (cf *Configuration) TeamByToken(token string) (Team, bool) {
	if token == "" {
		return Team{}, false
	}
	te, found := cf.teamByHash[HashToken(token)]
	return te, found
}

// ModelService returns the first service by name that serves a model and is
// reachable for the team, and whether there is one.
func (cf *Configuration) ModelService(model string, te Team) (Service, bool) {
	for _, se := range cf.services.sorted {
		if se.Type == ServiceModel && se.Model == model && Reachable(se.Half, te.Half) {
			return se, true
		}
	}
	return Service{}, false
}

// Reachable reports whether a caller of one half may use an object. Both
// arguments are names of halves. An object with an empty half is shared by all
// callers, and a caller with an empty half may use all objects.
func Reachable(object, caller string) bool {
	return object == "" || caller == "" || object == caller
}

// ServiceEndpoints returns the endpoints of a service in name order. The caller
// must not modify the slice.
func (cf *Configuration) ServiceEndpoints(service string) []Endpoint { return cf.byService[service] }

// Eligible reports whether an endpoint may receive new work, which requires that
// both the endpoint and its zone are serving.
func (cf *Configuration) Eligible(en Endpoint) bool {
	return en.Serving() && cf.zones.byName[en.Zone].Serving()
}

// Document returns the JSON representation. It shares its slices with the
// configuration, so the caller must not modify them.
func (cf *Configuration) Document() Document {
	return Document{
		Version:   cf.version,
		Halves:    cf.halves.sorted,
		Zones:     cf.zones.sorted,
		Teams:     cf.teams.sorted,
		Services:  cf.services.sorted,
		Endpoints: cf.endpoints.sorted,
	}
}

// MarshalJSON encodes the configuration as a Document.
func (cf *Configuration) MarshalJSON() ([]byte, error) { return json.Marshal(cf.Document()) }

// UnmarshalJSON decodes a Document and validates it as NewConfiguration does.
func (cf *Configuration) UnmarshalJSON(data []byte) error {
	var doc Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return err
	}
	next, err := NewConfiguration(doc)
	if err != nil {
		return err
	}
	*cf = *next
	return nil
}

func (cf *Configuration) derive(change func(next *Configuration)) (*Configuration, error) {
	next := *cf
	change(&next)
	if err := next.index(); err != nil {
		return nil, err
	}
	return &next, nil
}

// WithVersion returns a copy with another version number.
func (cf *Configuration) WithVersion(version int64) *Configuration {
	next := *cf
	next.version = version
	return &next
}

// WithHalf returns a copy in which the half is added, or replaces the one of the
// same name. The errors are those of NewConfiguration.
func (cf *Configuration) WithHalf(ha Half) (*Configuration, error) {
	return cf.derive(func(next *Configuration) { next.halves = cf.halves.with(ha) })
}

// WithZone returns a copy in which the zone is added, or replaces the one of the
// same name. The errors are those of NewConfiguration.
func (cf *Configuration) WithZone(zo Zone) (*Configuration, error) {
	return cf.derive(func(next *Configuration) { next.zones = cf.zones.with(zo) })
}

// WithTeam returns a copy in which the team is added, or replaces the one of the
// same name. The errors are those of NewConfiguration.
func (cf *Configuration) WithTeam(te Team) (*Configuration, error) {
	return cf.derive(func(next *Configuration) { next.teams = cf.teams.with(te) })
}

// WithService returns a copy in which the service is added, or replaces the one
// of the same name. The errors are those of NewConfiguration.
func (cf *Configuration) WithService(se Service) (*Configuration, error) {
	return cf.derive(func(next *Configuration) { next.services = cf.services.with(se) })
}

// WithEndpoint returns a copy in which the endpoint is added, or replaces the one
// of the same name. The errors are those of NewConfiguration.
func (cf *Configuration) WithEndpoint(en Endpoint) (*Configuration, error) {
	return cf.derive(func(next *Configuration) { next.endpoints = cf.endpoints.with(en) })
}

// WithoutEndpoint returns a copy without the endpoint of that name.
func (cf *Configuration) WithoutEndpoint(name string) (*Configuration, error) {
	return cf.derive(func(next *Configuration) { next.endpoints = cf.endpoints.without(name) })
}

// DefaultZone, DefaultTeam and DefaultEndpoint hold the values of fields that are
// absent from the JSON of an object.
var (
	DefaultZone     = Zone{State: ZoneServing}
	DefaultTeam     = Team{Weight: 1, Role: RoleCaller}
	DefaultEndpoint = Endpoint{State: EndpointServing, Capacity: Capacity{Sequences: 1, ColdSequences: 1}}
)
