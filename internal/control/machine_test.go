package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/plan"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
)

// action is one step of a drawn scenario.
type action struct {
	// Kind is one of kinds. A and B select the instances, zones, intents and
	// store faults. B also selects the time to wait after the action.
	Kind string
	A, B int
}

var kinds = []string{"race", "race", "race", "fault", "outage", "cut", "kill", "start", "backup", "restore", "wait", "heal"}

func drawActions(rt *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
		return action{
			Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			A:    rapid.IntRange(0, 999).Draw(rt, "a"), B: rapid.IntRange(0, 999).Draw(rt, "b"),
		}
	}), 4, 16).Draw(rt, "actions")
}

// machine executes a drawn scenario on a fleet.
type machine struct {
	*fleet
	hi         *history
	backup     map[string]platform.Object
	restored   bool
	confirmed  map[string]bool
	races      [][2]string
	violations []string
}

func (ma *machine) reportViolation(format string, args ...any) {
	ma.violations = append(ma.violations, fmt.Sprintf(format, args...))
}

// elapse lets virtual time pass and samples the history every 50 ms.
func (ma *machine) elapse(du time.Duration) {
	const step = 50 * time.Millisecond
	for ; du > 0; du -= step {
		time.Sleep(step)
		ma.hi.sample()
	}
}

func intentOf(number int) string {
	endpoint := fmt.Sprintf("engine-%d", number%8)
	switch number % 6 {
	case 0:
		return weight(1 + number)
	case 1:
		return fmt.Sprintf(`{"actions": [{"take_zone_out": %q}]}`, zones[number%len(zones)])
	case 2:
		return fmt.Sprintf(`{"actions": [{"bring_zone_back": %q}]}`, zones[number%len(zones)])
	case 3:
		return fmt.Sprintf(`{"actions": [{"assign": {"endpoint": %q, "half": "east"}}]}`, endpoint)
	case 4:
		return fmt.Sprintf(`{"actions": [{"drain_endpoint": %q}]}`, endpoint)
	default:
		return fmt.Sprintf(`{"actions": [{"undrain_endpoint": %q}]}`, endpoint)
	}
}

// race makes two plans and confirms them concurrently on two instances.
func (ma *machine) race(a, b int) {
	nodes := ma.up()
	first, second := nodes[a%len(nodes)], nodes[b%len(nodes)]
	ctx, cancel := context.WithTimeout(ma.t.Context(), 5*time.Second)
	defer cancel()
	one, errOne := first.Plans.Make(ctx, "operators", "intent", []byte(intentOf(a)))
	two, errTwo := second.Plans.Make(ctx, "operators", "intent", []byte(intentOf(b)))
	if errOne != nil || errTwo != nil {
		return
	}
	ma.races = append(ma.races, [2]string{one.ID, two.ID})
	var wg sync.WaitGroup
	var okOne, okTwo bool
	wg.Go(func() { okOne = confirm(ctx, first, one) })
	wg.Go(func() { okTwo = confirm(ctx, second, two) })
	wg.Wait()
	if okOne && okTwo && one.Base.Version == two.Base.Version {
		ma.reportViolation("plans %s and %s with base version %d were both confirmed", one.ID, two.ID, one.Base.Version)
	}
	ma.confirmed[one.ID] = okOne
	ma.confirmed[two.ID] = okTwo
}

func confirm(ctx context.Context, no *node, pl plan.Plan) bool {
	_, err := no.Plans.Confirm(ctx, pl.ID, "operators")
	return err == nil
}

func (ma *machine) perform(ac action) {
	nodes := ma.up()
	no := nodes[ac.A%len(nodes)]
	switch ac.Kind {
	case "race":
		ma.race(ac.A, ac.B)
	case "fault":
		no.store.SetRandom(rand.New(rand.NewPCG(uint64(ac.A), uint64(ac.B))))
		no.store.SetFault([]platformfake.Fault{platformfake.Down, platformfake.LoseResponses, platformfake.LoseRandomly}[ac.B%3])
	case "outage":
		for _, it := range nodes {
			it.store.SetFault(platformfake.Down)
		}
	case "cut":
		ma.net.SetIsolated(zones[ac.A%len(zones)], true)
	case "kill":
		if len(nodes) > 3 {
			ma.kill(no)
		}
	case "start":
		ma.start()
	case "backup":
		ma.backup = ma.store.Snapshot()
	case "restore":
		ma.restored = true
		ma.store.Restore(ma.backup)
	case "heal":
		ma.heal()
	}
	ma.elapse(time.Duration(ac.B%40) * 100 * time.Millisecond)
}

func (ma *machine) heal() {
	for _, no := range ma.nodes {
		no.store.SetFault(platformfake.None)
	}
	for _, zone := range zones {
		ma.net.SetIsolated(zone, false)
	}
}

// finish removes all faults, waits, and checks the final state of the fleet.
func (ma *machine) finish() {
	ma.heal()
	ma.elapse(40 * time.Second)
	version := ma.hi.highest()
	for _, no := range ma.up() {
		if no.State.Version() != version {
			ma.reportViolation("%s ends at version %d, the highest in force was %d", no.Self.Name, no.State.Version(), version)
		}
	}
	bu, _, err := configuration.Read(ma.t.Context(), ma.store, nil)
	if err != nil || bu.Head.Version != version {
		ma.reportViolation("the platform does not end with version %d: %v", version, err)
	}
	for _, pair := range ma.races {
		ma.checkRace(pair)
	}
	if !ma.restored {
		ma.checkPlans()
	}
	ma.violations = append(ma.violations, ma.hi.foundViolations()...)
}

// checkRace checks that at most one of two concurrent plans with the same base
// version was applied.
func (ma *machine) checkRace(pair [2]string) {
	began := 0
	for _, id := range ma.hi.applied() {
		if id == pair[0] || id == pair[1] {
			began++
		}
	}
	one, errOne := ma.up()[0].Plans.Get(ma.t.Context(), pair[0])
	two, errTwo := ma.up()[0].Plans.Get(ma.t.Context(), pair[1])
	if errOne == nil && errTwo == nil && one.Base.Version == two.Base.Version && began > 1 {
		ma.reportViolation("plans %s and %s with the same base version were both applied", pair[0], pair[1])
	}
}

// checkPlans checks that confirmed plans are done, and that each object is in the
// state that the last plan that changed it requires.
func (ma *machine) checkPlans() {
	no := ma.up()[0]
	for id, ok := range ma.confirmed {
		if pl, err := no.Plans.Get(ma.t.Context(), id); ok && (err != nil || pl.State != plan.Done) {
			ma.reportViolation("confirmed plan %s ends as %s: %v: %s", id, pl.State, err, pl.Steps[min(pl.Current(), len(pl.Steps)-1)].Note)
		}
	}
	var plans []plan.Plan
	for _, id := range ma.hi.applied() {
		pl, err := no.Plans.Get(ma.t.Context(), id)
		if err != nil {
			ma.reportViolation("plan %s: %v", id, err)
			return
		}
		plans = append(plans, pl)
	}
	cf := no.State.Bundle().Configuration()
	for object, ch := range lastChanges(plans) {
		if current := objectOf(cf, ch); current != string(ch.After) {
			ma.reportViolation("%s ends as %s, want %s", object, current, ch.After)
		}
	}
}

// Random sequences of concurrent plans, store faults, partitions, restored
// backups, and instances that are killed or started must not violate the
// guarantees that history and finish check.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 6, 8)
			ma := &machine{fleet: fl, hi: newHistory(fl), confirmed: make(map[string]bool)}
			ctx, cancel := context.WithCancel(t.Context())
			go ma.hi.run(ctx)
			fl.settle()
			ma.backup = fl.store.Snapshot()
			for _, ac := range actions {
				ma.perform(ac)
			}
			ma.finish()
			violations = ma.violations
			cancel()
			fl.stop()
		})
		if len(violations) > 0 {
			rt.Fatalf("%d violations: %q", len(violations), violations)
		}
	})
}
