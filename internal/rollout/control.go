package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// controlTime is the age up to which a step of the promotion counts as recent.
	controlTime = 1500 * time.Millisecond
	// controlLevel is the level of the binomial test that confirms a verdict: the greatest
	// probability of as few bad answers as the old version gave, at the target's rate.
	controlLevel = 0.05
)

// control has the answers of one step of the promotion. A small part of the requests still
// goes to the old version as a control group, which shows failures that both versions
// have.
type control struct {
	at                 time.Time
	oldFails, newFails part
	oldSlows, newSlows part
}

// enterControl enters a step and forgets old ones.
func (rj *routeJudge) enterControl(old Totals, news map[string]Totals, now time.Time, from int) {
	co := control{at: now, oldFails: part{int(old.Answers), int(old.Failures)}, oldSlows: part{old.measured(), old.slow(from)}}
	for _, to := range news {
		co.newFails.add(part{int(to.Answers), int(to.Failures)})
		co.newSlows.add(part{to.measured(), to.slow(from)})
	}
	rj.controls = slices.DeleteFunc(rj.controls, func(other control) bool { return now.Sub(other.at) >= controlTime })
	rj.controls = append(rj.controls, co)
}

// confirms reports whether the recent answers show that the old version does not give
// bad ones at the target's rate.
func (rj *routeJudge) confirms(choose func(control) (old, target part)) bool {
	var old, target part
	for _, co := range rj.controls {
		of, tf := choose(co)
		old.add(of)
		target.add(tf)
	}
	if target.bad == 0 || old.answers == 0 {
		return false
	}
	rate := min(float64(target.bad)/float64(target.answers), 0.99)
	probability := 0.0
	for bad := range old.bad + 1 {
		probability += math.Exp(logChoose(old.answers, bad) + float64(bad)*math.Log(rate) + float64(old.answers-bad)*math.Log(1-rate))
	}
	return probability <= controlLevel
}

func (pa *part) add(other part) {
	pa.answers += other.answers
	pa.bad += other.bad
}
