package allocation

import (
	"strings"

	"filbertstall.example/filbertstall/pkg/kind"
)

// leasePrefix is the key prefix of all allocator leases in the platform's
// store.
const leasePrefix = "lease/allocator/"

const (
	// Holders never grant a quarter of an endpoint's cold capacity or an
	// eighth of its warm capacity, whichever is smaller. These fallback places
	// are left to instances that cannot reach a holder.
	coldFallbackDivisor = 4
	warmFallbackDivisor = 8
)

// Group identifies the endpoints of one service in one availability zone. Each
// group has its own lease and its own decision core.
type Group struct {
	Zone    string
	Service string
}

// String returns the group as "zone/service".
func (gr Group) String() string { return gr.Zone + "/" + gr.Service }

// Key returns the key of the group's lease in the platform's store.
func (gr Group) Key() string { return leasePrefix + gr.String() }

// parseKey returns the group of a lease key. It returns false if no slash
// separates a zone from a service.
func parseKey(key string) (Group, bool) {
	zone, service, ok := strings.Cut(strings.TrimPrefix(key, leasePrefix), "/")
	return Group{Zone: zone, Service: service}, ok
}

// groups returns the groups that have at least one endpoint in the
// configuration.
func groups(cf *kind.Configuration) []Group {
	var list []Group
	seen := make(map[Group]bool)
	for _, en := range cf.Endpoints() {
		gr := Group{Zone: en.Zone, Service: en.Service}
		if !seen[gr] {
			seen[gr] = true
			list = append(list, gr)
		}
	}
	return list
}

// endpoints returns the endpoints of the group.
func (gr Group) endpoints(cf *kind.Configuration) []kind.Endpoint {
	var list []kind.Endpoint
	for _, en := range cf.ServiceEndpoints(gr.Service) {
		if en.Zone == gr.Zone {
			list = append(list, en)
		}
	}
	return list
}

// fallbackPlaces returns how many places of an endpoint holders never grant,
// so that instances that cannot reach a holder can use them. The number also
// fits into the capacity of a cold endpoint.
func fallbackPlaces(ca kind.Capacity) int {
	return min(ca.ColdSequences/coldFallbackDivisor, ca.Sequences/warmFallbackDivisor)
}
