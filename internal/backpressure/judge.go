package backpressure

import "math/rand/v2"

// judgePermit returns an error if the call of a permit must not be sent any more: the
// permit has expired, or what is known of its endpoint has changed while the call waited
// for its turn.
func (ga *Gate) judgePermit(pe *Permit) error {
	if ga.Registry.Boot.Now() > pe.validUntil {
		return &Error{Op: "send", Endpoint: pe.endpoint.ID, Kind: Expired}
	}
	if pe.control {
		return nil
	}
	st, _ := ga.Registry.lookup(pe.endpoint)
	return ga.judge("send", pe, st)
}

// judge returns an error if the endpoint of a permit, in its present state, must not get
// the request, or not at the turn and with the slot that the permit stands for.
func (ga *Gate) judge(op string, pe *Permit, st state) error {
	if err := ga.judgeEndpoint(op, pe, st); err != nil {
		return err
	}
	switch {
	case st.brittle && !pe.hasSlot && !pe.terms.HasRoom:
		return &Error{Op: op, Endpoint: pe.endpoint.ID, Kind: Full}
	case ga.Limiter != nil && !keepsTurn(pe.limit, pe.terms.limitWith(st.limit)):
		return &Error{Op: op, Endpoint: pe.endpoint.ID, Kind: Limited}
	}
	return nil
}

// judgeEndpoint returns an error if an endpoint gets no requests at present: it has asked
// for a pause, has been removed, or is leaving.
func (ga *Gate) judgeEndpoint(op string, pe *Permit, st state) error {
	if left := st.pausedUntil - ga.Registry.Boot.Now(); left > 0 {
		return &Error{Op: op, Endpoint: pe.endpoint.ID, Kind: Paused, After: left}
	}
	if pe.terms.HasRoom || pe.terms.IsCheck {
		return nil
	}
	if st.leaving || ga.Usable != nil && !ga.Usable(pe.endpoint) {
		return &Error{Op: op, Endpoint: pe.endpoint.ID, Kind: Left}
	}
	return nil
}

// keepsTurn reports whether a request may be sent at the turn that it has under an earlier
// limit. After a limit was lowered, as many of the turns are kept, at random, as the
// present rate allows: those given out before would follow one another at the earlier rate.
func keepsTurn(before, now Limit) bool {
	switch {
	case !now.Named:
		return true
	case !before.Named:
		return false
	case now.Rate >= (1-toldRateChange)*before.Rate:
		return true
	}
	return rand.Float64()*before.Rate < now.Rate
}
