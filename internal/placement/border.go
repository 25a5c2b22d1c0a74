package placement

import "time"

const (
	// borderCost is for each endpoint of another zone that could not be reached
	// just now, and borderMost bounds it: full engines at home come first then.
	borderCost = 700.0
	borderMost = 3.0
	// borderHalfLife is how soon that is forgotten: a path that has healed is tried
	// again within seconds.
	borderHalfLife = 2 * time.Second
)

// border is what an instance knows of the way to another zone. Each endpoint
// that can't be reached costs a caller the time of one attempt; after a cut the
// others of its zone can't be reached either.
type border struct {
	failures float64
	at       time.Time
}

// failing returns the average of failures as of now.
func (bd *border) failing(now time.Time) float64 {
	if bd == nil || bd.failures == 0 {
		return 0
	}
	return bd.failures * decay(now.Sub(bd.at), borderHalfLife)
}

// settle takes in how an attempt across the border ended.
func (bd *border) settle(ou Outcome, now time.Time) {
	switch ou {
	case Unreachable:
		bd.failures, bd.at = min(bd.failing(now)+1, borderMost), now
	case Done, Failed, Refused:
		bd.failures = 0
	case Lost:
	}
}

// crossed notes how an attempt in a zone ended; mu is held.
func (bo *Board) crossed(zone string, ou Outcome) {
	if zone == bo.Zone {
		return
	}
	if bo.borders == nil {
		bo.borders = make(map[string]*border)
	}
	bd := bo.borders[zone]
	if bd == nil {
		bd = &border{}
		bo.borders[zone] = bd
	}
	bd.settle(ou, bo.Clock.Now())
}
