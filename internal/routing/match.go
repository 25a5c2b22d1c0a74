package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// New indexes a specification. It compares host names in lower case. A route without a path
// prefix matches no path.
func New(sp Spec) *Configuration {
	cf := &Configuration{
		Version: sp.Version, limits: sp.Limits, source: sp.Source, hasTeams: sp.HasTeams || len(sp.Teams) > 0,
		routes: make(map[string][]Route), services: make(map[string]Service), teams: make(map[string]Team),
	}
	for _, ro := range sp.Routes {
		if ro.PathPrefix == "" {
			continue
		}
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
			if key != "" {
				cf.teams[key] = te
			}
		}
	}
	return cf
}

// Match returns the route with the longest matching path prefix at a host. It
// ignores the port and the case of the host.
func (cf *Configuration) Match(host, path string) (Route, bool) {
	list, found := cf.routes[host]
	if !found {
		list = cf.routes[normalizeHost(host)]
	}
	for _, ro := range list {
		if strings.HasPrefix(path, ro.PathPrefix) {
			return ro, true
		}
	}
	return Route{}, false
}

func normalizeHost(host string) string {
	if portStart := strings.LastIndexByte(host, ':'); portStart >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:portStart]
	}
	return strings.ToLower(host)
}

// Team returns the team that the key belongs to. An empty key belongs to no team.
func (cf *Configuration) Team(key string) (Team, bool) {
	te, found := cf.teams[key]
	return te, found
}

// NeedsKey reports whether requests of a route must carry a key by the configuration. No route
// needs one if it has no list of teams; with an empty list, no key is valid.
func (cf *Configuration) NeedsKey(ro Route) bool { return cf.hasTeams && !ro.Public }

// HasTeams reports whether the configuration has a list of teams, if an empty one.
func (cf *Configuration) HasTeams() bool { return cf.hasTeams }

// Keys returns the number of keys that are valid.
func (cf *Configuration) Keys() int { return len(cf.teams) }

// Service returns a service by name.
func (cf *Configuration) Service(name string) (Service, bool) {
	se, found := cf.services[name]
	return se, found
}

// Objectives returns the shortest objective of the routes to each service; zero if
// none of them has one.
func (cf *Configuration) Objectives() map[string]time.Duration {
	shortest := make(map[string]time.Duration, len(cf.services))
	for name := range cf.services {
		shortest[name] = 0
	}
	for _, list := range cf.routes {
		for _, ro := range list {
			for _, sh := range ro.Shares {
				if old := shortest[sh.Service]; ro.Objective > 0 && (old == 0 || ro.Objective < old) {
					shortest[sh.Service] = ro.Objective
				}
			}
		}
	}
	return shortest
}

// Source returns the serialized configuration. The caller must not change it.
func (cf *Configuration) Source() []byte { return cf.source }

// Limits returns the limits for incoming requests.
func (cf *Configuration) Limits() Limits { return cf.limits }

// ServiceOf returns the service for a request ID. It hashes the ID, so that all
// instances choose the same service. It returns an empty name if no service has a weight
// above zero.
func (ro Route) ServiceOf(request string) string {
	if len(ro.Shares) == 1 && ro.Shares[0].Weight > 0 {
		return ro.Shares[0].Service
	}
	total := 0.0
	for _, sh := range ro.Shares {
		total += sh.Weight
	}
	const buckets = 1 << 20
	remaining := float64(xxhash.Sum64String(request)%buckets) / buckets * total
	last := ""
	for _, sh := range ro.Shares {
		if sh.Weight <= 0 {
			continue
		}
		last = sh.Service
		if remaining -= sh.Weight; remaining < 0 {
			break
		}
	}
	return last
}
