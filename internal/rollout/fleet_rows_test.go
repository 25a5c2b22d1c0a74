package rollout

import (
	"fmt"
	"testing"
	"time"
)

// row sums the outcomes of one kind at one size.
type row struct {
	plays, wrong, unfinished int
	worst, exposure          float64
	over                     int
	verdict, late            time.Duration
}

func playRow(kd kind, instances, plays int, first uint64) row {
	var ro row
	for seed := range uint64(plays) {
		out := newPlayFleet(kd, instances, first+seed).play()
		ro.plays++
		switch {
		case !out.state.Final():
			ro.unfinished++
		case kd.bad != (out.state == RolledBack):
			ro.wrong++
		}
		ro.verdict += out.at
		if kd.bad {
			ro.worst = max(ro.worst, out.exposure)
			ro.exposure += out.exposure
			if out.exposure > 0.5 {
				ro.over++
			}
			ro.late = max(ro.late, out.sentAfter50)
		}
	}
	return ro
}

func (ro row) String() string {
	mean := ro.exposure / float64(ro.plays)
	return fmt.Sprintf("%5d plays, %3d wrong, %3d unfinished, exposure of allowed %.2f mean %.2f worst, %3d over half, verdict at %.1f s, sent %.1f s after 50 bad",
		ro.plays, ro.wrong, ro.unfinished, mean, ro.worst, ro.over, ro.verdict.Seconds()/float64(ro.plays), ro.late.Seconds())
}

func TestTrial(t *testing.T) {
	for _, instances := range []int{6} {
		for _, kd := range kinds {
			start := time.Now()
			ro := playRow(kd, instances, 40, 1)
			t.Logf("%3d %-34s %v (%.2f s)", instances, kd.name, ro, time.Since(start).Seconds())
		}
	}
}
