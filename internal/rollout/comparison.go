package rollout

// counts are the answers of one step.
type counts struct {
	old, oldBad int
	targets     map[string]part
}

type part struct{ answers, bad int }

// comparison is a sequential test of one kind of bad answer on one route. One endpoint
// that fails is not a bad version: there must be some evidence also without the answers
// of the endpoint that contributes most.
type comparison struct {
	full    evidence
	without map[string]evidence
}

// step enters the answers since the last step.
func (co *comparison) step(cs counts) {
	var all part
	for _, ta := range cs.targets {
		all.answers += ta.answers
		all.bad += ta.bad
	}
	if all.answers == 0 || cs.old == 0 {
		return
	}
	for id, ta := range cs.targets {
		if _, known := co.without[id]; ta.bad > 0 && !known && id != otherEndpoints {
			if co.without == nil {
				co.without = make(map[string]evidence)
			}
			co.without[id] = co.full
		}
	}
	for id, ev := range co.without {
		ta := cs.targets[id]
		ev.add(cs.old, all.answers-ta.answers, cs.oldBad+all.bad-ta.bad, all.bad-ta.bad)
		co.without[id] = ev
	}
	co.full.add(cs.old, all.answers, cs.oldBad+all.bad, all.bad)
}

// valueWithout returns the evidence without the answers of an endpoint.
func (co *comparison) valueWithout(id string) float64 {
	if ev, found := co.without[id]; found {
		return ev.value()
	}
	return co.full.value()
}

// outliers adds the endpoints that contribute more than a limit.
func (co *comparison) outliers(set map[string]bool, limit float64) {
	full := co.full.value()
	for id, ev := range co.without {
		if full-ev.value() >= limit {
			set[id] = true
		}
	}
}
