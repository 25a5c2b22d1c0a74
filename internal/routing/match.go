package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// New indexes a specification.
func New(sp Spec) *Configuration {
	cf := &Configuration{
		Version: sp.Version, limits: sp.Limits, source: sp.Source, teamed: len(sp.Teams) > 0,
		routes: make(map[string][]Route), services: make(map[string]Service), teams: make(map[string]Team),
	}
	for _, ro := range sp.Routes {
		host := strings.ToLower(ro.Host)
		cf.routes[host] = append(cf.routes[host], ro)
	}
	for _, list := range cf.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, se := range sp.Services {
		cf.services[se.Name] = se
	}
	for _, te := range sp.Teams {
		for _, key := range te.Keys {
			cf.teams[key] = te
		}
	}
	return cf
}

// Match returns the route with the longest prefix of path at host. A port in
// host is ignored, and so is its case.
func (cf *Configuration) Match(host, path string) (Route, bool) {
	list, found := cf.routes[host]
	if !found {
		list = cf.routes[bareHost(host)]
	}
	for _, ro := range list {
		if strings.HasPrefix(path, ro.PathPrefix) {
			return ro, true
		}
	}
	return Route{}, false
}

func bareHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Team returns the team that holds a key.
func (cf *Configuration) Team(key string) (Team, bool) {
	te, found := cf.teams[key]
	return te, found
}

// NeedsKey tells whether requests of a route must carry a key.
func (cf *Configuration) NeedsKey(ro Route) bool { return cf.teamed && !ro.Public }

// HasTeams tells whether any team is configured.
func (cf *Configuration) HasTeams() bool { return cf.teamed }

// Service returns a service by name.
func (cf *Configuration) Service(name string) (Service, bool) {
	se, found := cf.services[name]
	return se, found
}

// Source returns the text that the configuration was read from. It must not be
// changed.
func (cf *Configuration) Source() []byte { return cf.source }

// Limits returns the bounds on what callers send.
func (cf *Configuration) Limits() Limits { return cf.limits }

// ServiceOf returns the service that a request goes to. The same request goes
// to the same service on every instance.
func (ro Route) ServiceOf(request string) string {
	if len(ro.Shares) == 1 {
		return ro.Shares[0].Service
	}
	total := 0.0
	for _, sh := range ro.Shares {
		total += sh.Weight
	}
	const steps = 1 << 20
	point := float64(xxhash.Sum64String(request)%steps) / steps * total
	last := ""
	for _, sh := range ro.Shares {
		if sh.Weight <= 0 {
			continue
		}
		last = sh.Service
		if point -= sh.Weight; point < 0 {
			break
		}
	}
	return last
}
