package plan

import (
	"cmp"
	"slices"

	"filbertstall.example/filbertstall/pkg/kind"
)

// Capacity is the total capacity of the endpoints of a service in a zone that
// belong to one half, or that both halves share.
type Capacity struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Half is the half of the endpoints; it is empty for shared endpoints.
	Half string `json:"half,omitempty"`
	// Endpoints is the number of endpoints that accept new work. Sequences and
	// MemoryTokens are sums over these endpoints.
	Endpoints    int `json:"endpoints"`
	Sequences    int `json:"sequences"`
	MemoryTokens int `json:"memory_tokens"`
}

// CapacityOf returns the capacity of a configuration by service, zone and half.
// An entry with zeros stands for endpoints of which none accepts new work.
func CapacityOf(cf *kind.Configuration) []Capacity {
	type key struct{ service, zone, half string }
	sums := make(map[key]Capacity)
	for _, en := range cf.Endpoints() {
		ke := key{en.Service, en.Zone, en.Half}
		ca := sums[ke]
		ca.Service, ca.Zone, ca.Half = ke.service, ke.zone, ke.half
		if cf.Eligible(en) {
			ca.Endpoints++
			ca.Sequences += en.Capacity.Sequences
			ca.MemoryTokens += en.Capacity.MemoryTokens
		}
		sums[ke] = ca
	}
	list := make([]Capacity, 0, len(sums))
	for _, ca := range sums {
		list = append(list, ca)
	}
	slices.SortFunc(list, func(le, ri Capacity) int {
		return cmp.Or(cmp.Compare(le.Service, ri.Service), cmp.Compare(le.Zone, ri.Zone), cmp.Compare(le.Half, ri.Half))
	})
	return list
}
