package roster

import (
	"cmp"
	"maps"
	"slices"
)

// View is an immutable snapshot of the known endpoints.
type View struct {
	// Listed reports whether the store has been listed at least once.
	Listed bool
	// ZonesListed reports whether the list of evacuated zones, of the store or of a reader,
	// is known.
	ZonesListed bool
	byService   map[string][]Endpoint
	byID        map[string]Endpoint
	evacuated   []string
}

// All returns all endpoints by ID, including leaving ones. The caller must not
// change the map.
func (vi *View) All() map[string]Endpoint { return vi.byID }

// Evacuated returns the sorted zones whose endpoints get no new requests.
func (vi *View) Evacuated() []string { return vi.evacuated }

// Ready returns the endpoints of a service that may get requests, sorted by ID.
func (vi *View) Ready(service string) []Endpoint { return vi.byService[service] }

// Len returns the number of endpoints, of all services, that may get requests.
func (vi *View) Len() int {
	count := 0
	for _, list := range vi.byService {
		count += len(list)
	}
	return count
}

// Usable returns the endpoint with this ID and whether it may get requests.
func (vi *View) Usable(id string) (Endpoint, bool) {
	en, found := vi.byID[id]
	_, evacuated := slices.BinarySearch(vi.evacuated, en.Zone)
	return en, found && !en.Leaving && !evacuated
}

// Get returns the endpoint with this ID, including a leaving one.
func (vi *View) Get(id string) (Endpoint, bool) {
	en, found := vi.byID[id]
	return en, found
}

// newView returns the view of the current endpoints. The caller must hold mu.
func (ro *Roster) newView() *View {
	vi := &View{Listed: ro.listed, ZonesListed: ro.evacuatedListed, evacuated: slices.Sorted(maps.Keys(ro.evacuated)), byService: make(map[string][]Endpoint), byID: make(map[string]Endpoint, len(ro.endpoints))}
	for _, en := range ro.endpoints {
		vi.byID[en.ID] = en
		if !en.Leaving && !ro.evacuated[en.Zone] {
			vi.byService[en.Service] = append(vi.byService[en.Service], en)
		}
	}
	for _, list := range vi.byService {
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return vi
}
