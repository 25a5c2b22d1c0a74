package admission

// shortRiskFactor scales the safety margin on memory for short requests.
const shortRiskFactor = 0.5

// demand is what a request requires of an endpoint.
type demand struct {
	re             *Request
	kind           laneKind
	memoryForecast forecast
	risk           float64
}

// choose returns an endpoint with room for the request, or nil if it finds
// none among the maxInspected first accounts at each distance. It prefers the
// nearest endpoints, and among equally near ones the one with the highest
// score, unless another that holds the prefix of the prompt scores only
// slightly lower.
func (al *Allocator) choose(kind laneKind, qr *queuedRequest) *account {
	dm := al.demand(kind, qr)
	for ix := range al.indexes {
		if ac := al.indexes[ix].choose(&dm); ac != nil {
			return al.preferPrefixHolder(&dm, ac)
		}
	}
	return nil
}

func (al *Allocator) demand(kind laneKind, qr *queuedRequest) demand {
	dm := demand{re: &qr.re, kind: kind, risk: al.margin.risk}
	if kind == shortLane {
		dm.risk *= shortRiskFactor
	}
	se := sequence{re: qr.re, curve: qr.curve, tokens: qr.re.DoneTokens}
	se.computeForecast(al.knownLength(qr.re))
	dm.memoryForecast = se.memoryForecast
	return dm
}

// choose returns the account with the highest score among the inspected ones
// that have room for the request, or nil if none has.
func (in *index) choose(dm *demand) *account {
	var best *account
	in.each(func(ac *account) bool {
		if (best == nil || ac.score > best.score) && ac.fits(dm) {
			best = ac
		}
		// The heap is only partially sorted, but no account has a higher score
		// than the root.
		return best != in.list[0]
	})
	return best
}

// fits reports whether the endpoint has a slot and enough memory for the
// request. An endpoint without requests in flight accepts a request of any
// size.
func (ac *account) fits(dm *demand) bool {
	if ac.excluded(dm.re) || !ac.hasFreeSlot(dm.kind != longLane) {
		return false
	}
	if !ac.decodes() || len(ac.sequences) == 0 {
		return true
	}
	memory := ac.memory()
	if dm.kind == longLane {
		memory *= 1 - reservedMemoryShare
	}
	return ac.totalForecast.roomWith(&dm.memoryForecast, memory, dm.risk) >= 0
}
