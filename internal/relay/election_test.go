package relay

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261205") }

// changeBound is the age that the state of an instance in touch may have: operators'
// changes and endpoints' notices must be in force within it. contactTime is how
// long an instance and the store must have been undisturbed for that.
const (
	changeBound = 2 * time.Second
	contactTime = 3 * time.Second
)

var (
	lossFaults  = []string{"freeze", "cut", "kill"}
	storeFaults = []string{"refused", "busy", "silent", "slow"}
)

// broken plays a zone for the given time and returns what broke the guarantee: the
// state of an instance in touch is not older than changeBound. A reader notices
// after maxSilence that its own path to the store is cut; if the zone loses anything
// else meanwhile, the bound is the age up to which keys are accepted.
func (sz *simZone) broken(du time.Duration) string {
	bound := changeBound
	isPath := func(fa simFault) bool { return fa.Kind == "path" }
	if slices.ContainsFunc(sz.faults, isPath) && len(sz.faults) > 1 {
		bound = servableAge
	}
	for end := sz.now + du; sz.now < end; {
		sz.step()
		for ix, in := range sz.instances {
			if age := sz.now - in.knows; sz.now-max(in.disturbed, sz.storeDisturbed) > contactTime && age > bound {
				return fmt.Sprintf("instance %d at %s: its state is %s old", ix, sz.now-simStart, age)
			}
		}
	}
	return ""
}

// Every pair of disturbances of a zone of two and of three, at several distances.
func TestElectionOfSmallZones(t *testing.T) {
	for _, count := range []int{2, 3} {
		var single []simFault
		for target := range count {
			for _, kind := range slices.Concat(lossFaults, []string{"path", "busy"}) {
				single = append(single, simFault{Kind: kind, Target: target, For: 3500 * time.Millisecond})
			}
		}
		for _, kind := range storeFaults {
			single = append(single, simFault{Kind: kind, Target: -1, For: 3 * time.Second})
		}
		for ix, first := range single {
			for _, second := range single {
				for _, second.At = range []time.Duration{0, 700 * time.Millisecond, 1400 * time.Millisecond, 3600 * time.Millisecond} {
					sz := newSimZone(count, ix%2 == 0, []simFault{first, second})
					if what := sz.broken(14 * time.Second); what != "" {
						t.Errorf("%d instances, %+v: %s", count, sz.faults, what)
					}
				}
			}
		}
	}
}

func drawFault(rt *rapid.T) simFault {
	fa := simFault{Target: rapid.IntRange(-1, 11).Draw(rt, "target")}
	kinds := storeFaults
	if fa.Target >= 0 {
		kinds = slices.Concat(storeFaults, lossFaults, []string{"path"})
	}
	fa.Kind = rapid.SampledFrom(kinds).Draw(rt, "kind")
	fa.At = time.Duration(rapid.IntRange(0, 500).Draw(rt, "at")) * simTick
	fa.For = time.Duration(rapid.IntRange(1, 300).Draw(rt, "for")) * simTick
	return fa
}

// Drawn disturbances of zones of two to twelve, up to five at once.
func TestElection(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(rt, "instances")
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 5).Draw(rt, "faults")
		if what := newSimZone(count, rapid.Bool().Draw(rt, "changing"), faults).broken(25 * time.Second); what != "" {
			rt.Fatalf("%s", what)
		}
	})
}
