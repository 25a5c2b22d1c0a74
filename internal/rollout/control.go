package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// controlTime is the time for which steps of the promotion are recent.
	controlTime = 1500 * time.Millisecond
	// controlChance is the probability of as few bad answers of the old version as there
	// were, if it gave them at the target's rate, up to which these answers confirm that
	// the target is worse.
	controlChance = 0.05
)

// control has the answers of one step of the promotion, in which a small part of the
// requests still goes to the old version. A failure that hits both versions shows there.
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
	chance := 0.0
	for bad := range old.bad + 1 {
		chance += math.Exp(logChoose(old.answers, bad) + float64(bad)*math.Log(rate) + float64(old.answers-bad)*math.Log(1-rate))
	}
	return chance <= controlChance
}

func (pa *part) add(other part) {
	pa.answers += other.answers
	pa.bad += other.bad
}
