package call_test

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/refusal"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.shrinktime", "5s")
}

// schedule is the input of one test run: the calls and the faults, with the
// time of each.
type schedule struct {
	Calls  []plannedCall
	Faults []plannedFault
	// DieAt and PauseAt are the numbers of the boundaries at which each instance
	// crashes or pauses. Zero means never.
	DieAt, PauseAt []int
	PauseFor       []time.Duration
}

type plannedCall struct {
	At       time.Duration
	Instance int
	Key      string
	Body     string
	Timeout  time.Duration
}

type faultKind int

const (
	platformDown faultKind = iota
	platformLosesAnswers
	platformLosesSome
	platformSlow
	endpointFault
	endpointUnreachable
	faultKindCount
)

type plannedFault struct {
	At, For  time.Duration
	Kind     faultKind
	Instance int
	Endpoint int
	Mode     endpointMode
}

const fleetSize = 3

func drawSchedule(rt *rapid.T) schedule {
	millis := func(name string, list ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(list).Draw(rt, name)) * time.Millisecond
	}
	var sc schedule
	for range rapid.IntRange(1, 12).Draw(rt, "calls") {
		sc.Calls = append(sc.Calls, plannedCall{
			At:       millis("at", 0, 0, 0, 1, 5, 20, 100, 500, 2000),
			Instance: rapid.IntRange(0, fleetSize-1).Draw(rt, "instance"),
			Key:      rapid.SampledFrom([]string{"k1", "k1", "k2", "k3"}).Draw(rt, "key"),
			Body:     rapid.SampledFrom([]string{"loan", "loan", "loan", "loan", "other", "large"}).Draw(rt, "body"),
			Timeout:  millis("timeout", 150, 1000, 8000, 30000),
		})
	}
	for range rapid.IntRange(0, 5).Draw(rt, "faults") {
		sc.Faults = append(sc.Faults, plannedFault{
			At: millis("fault at", 0, 0, 2, 6, 50, 400), For: millis("for", 3, 100, 1500, 10000),
			Kind:     faultKind(rapid.IntRange(0, int(faultKindCount)-1).Draw(rt, "kind")),
			Instance: rapid.IntRange(0, fleetSize-1).Draw(rt, "fault instance"),
			Endpoint: rapid.IntRange(0, endpointCount-1).Draw(rt, "desk"),
			Mode:     endpointMode(rapid.IntRange(1, int(endpointModeCount)-1).Draw(rt, "mode")),
		})
	}
	for range fleetSize {
		sc.DieAt = append(sc.DieAt, rapid.SampledFrom([]int{0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 13}).Draw(rt, "die at"))
		sc.PauseAt = append(sc.PauseAt, rapid.SampledFrom([]int{0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 13}).Draw(rt, "pause at"))
		sc.PauseFor = append(sc.PauseFor, millis("pause for", 50, 1500, 40000))
	}
	return sc
}

func (fl *fleet) startFault(fa plannedFault) {
	in := fl.instances[fa.Instance]
	switch fa.Kind {
	case platformDown:
		in.link.SetFault(platformfake.Down)
	case platformLosesAnswers:
		in.link.SetFault(platformfake.LoseResponses)
	case platformLosesSome:
		in.link.SetFault(platformfake.LoseRandomly)
	case platformSlow:
		in.link.SetDelay(1200 * time.Millisecond)
		in.link.SetFault(platformfake.Slow)
	case endpointFault:
		fl.setMode(endpointURL(fa.Endpoint), fa.Mode)
	case endpointUnreachable:
		in.setUnreachable(endpointURL(fa.Endpoint), true)
	}
}

func (fl *fleet) endFault(fa plannedFault) {
	in := fl.instances[fa.Instance]
	switch fa.Kind {
	case endpointFault:
		fl.setMode(endpointURL(fa.Endpoint), endpointHealthy)
	case endpointUnreachable:
		in.setUnreachable(endpointURL(fa.Endpoint), false)
	default:
		in.link.SetFault(platformfake.None)
	}
}

func (fl *fleet) setMode(url string, mode endpointMode) {
	fl.endpoints.mu.Lock()
	defer fl.endpoints.mu.Unlock()
	fl.endpoints.modes[url] = mode
}

// runSchedule runs the schedule. It returns the observations of callers during
// the faults, and those of two resends of each key after all faults ended.
func (fl *fleet) runSchedule(sc schedule) (during, after []observation) {
	for ix, in := range fl.instances {
		in.dieAt, in.pauseAt, in.pauseFor = sc.DieAt[ix], sc.PauseAt[ix], sc.PauseFor[ix]
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for ix, pc := range sc.Calls {
		wg.Go(func() {
			time.Sleep(pc.At)
			ob := fl.instances[pc.Instance].post(fmt.Sprint("a", ix), pc.Key, pc.Body, pc.Timeout)
			mu.Lock()
			defer mu.Unlock()
			during = append(during, ob)
		})
	}
	for _, fa := range sc.Faults {
		wg.Go(func() {
			time.Sleep(fa.At)
			fl.startFault(fa)
			time.Sleep(fa.For)
			fl.endFault(fa)
		})
	}
	wg.Wait()
	for _, in := range fl.instances {
		in.link.SetFault(platformfake.None)
	}
	time.Sleep(settleTime)
	fresh := fl.start()
	for key, body := range fl.bodyByKey(during) {
		after = append(after, fresh.post("late1-"+key, key, body, time.Minute), fl.start().post("late2-"+key, key, body, time.Minute))
	}
	return during, after
}

// bodyByKey returns for each key the body of the run that an endpoint began
// first, or any body that was sent if none began.
func (fl *fleet) bodyByKey(during []observation) map[string]string {
	bodies := make(map[string]string)
	for _, ob := range during {
		bodies[ob.key] = ob.body
	}
	for key, runs := range fl.endpoints.history() {
		bodies[key] = runs[0].body
	}
	return bodies
}

// check compares what callers observed with what endpoints ran, and returns the
// violations.
func (fl *fleet) check(during, after []observation) []string {
	var violations []string
	runs := fl.endpoints.history()
	begun := make(map[string]bool)
	for key, list := range runs {
		if len(list) > 1 {
			violations = append(violations, fmt.Sprintf("key %s was begun %d times", key, len(list)))
		}
		for _, ru := range list {
			begun[ru.attempt] = true
		}
	}
	for _, ob := range append(during, after...) {
		if violation := ob.violation(runs[ob.key], begun[ob.attempt]); violation != "" && !ob.noResponse {
			violations = append(violations, fmt.Sprintf("attempt %s of key %s %s", ob.attempt, ob.key, violation))
		}
	}
	for ix := 0; ix+1 < len(after); ix += 2 {
		violations = append(violations, checkResends(runs[after[ix].key], after[ix], after[ix+1])...)
	}
	return violations
}

// violation describes what is wrong with one observation, given the runs of its
// key and whether an endpoint began this attempt. It is empty if nothing is.
func (ob observation) violation(runs []run, begun bool) string {
	if ob.refused == nil {
		if len(runs) == 0 || ob.answer != runs[0].answer || ob.body != runs[0].body {
			return "got an answer that does not belong to its call"
		}
		return ""
	}
	if begun && ob.refused.Rule().Outcome == refusal.NotRun {
		return "was begun and refused as not run: " + string(ob.refused.Reason)
	}
	// An earlier request with another body may have been recorded and withdrawn,
	// so the refusal is a violation only if the same body had already run.
	ranBefore := len(runs) > 0 && runs[0].at.Before(ob.sentAt)
	if ob.refused.Reason == refusal.KeyReused && ranBefore && runs[0].body == ob.body {
		return "was refused as reused although the same body had already run"
	}
	return ""
}

// checkResends compares two resends that were sent one after the other to new
// instances after all faults ended.
func checkResends(runs []run, first, second observation) []string {
	var violations []string
	large := len(runs) > 0 && strings.HasPrefix(runs[0].body, "large")
	switch {
	case second.refused == nil && first.answer != second.answer:
		violations = append(violations, fmt.Sprintf("resends of key %s got different answers", first.key))
	case first.refused == nil && second.refused != nil && !large:
		violations = append(violations, fmt.Sprintf("a resend of key %s got %s after another got the answer", first.key, second.refused.Reason))
	case second.refused != nil && second.refused.Reason == refusal.KeyReused && len(runs) == 0:
		// Allowed: an instance crashed after recording another body and before
		// sending it.
	case second.refused != nil && second.refused.Rule().Outcome == refusal.NotRun:
		violations = append(violations, fmt.Sprintf("a resend of key %s was refused as %s when nothing failed", first.key, second.refused.Reason))
	}
	return violations
}

// totals counts the calls, faults and results over all schedules.
type totals struct {
	schedules, calls, faults           int
	answered, notRun, unknown, resends int
}

func (to *totals) add(fl *fleet, during, after []observation) {
	to.schedules++
	to.calls += len(during) + len(after)
	to.faults += fl.faults()
	for _, ob := range during {
		switch {
		case ob.noResponse:
		case ob.refused == nil:
			to.answered++
		case ob.refused.Rule().Outcome == refusal.NotRun:
			to.notRun++
		default:
			to.unknown++
		}
	}
	for _, ob := range after {
		if ob.refused == nil {
			to.resends++
		}
	}
}

// faults returns the number of calls that met a fault, plus the number of
// crashes and pauses of instances.
func (fl *fleet) faults() int {
	total := fl.endpoints.faults
	for _, in := range fl.instances {
		total += in.link.Injected()
		if !in.isAlive() {
			total++
		}
		if in.pauseAt > 0 && in.crossed >= in.pauseAt {
			total++
		}
	}
	return total
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	var to totals
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawSchedule(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) {
			fl := newFleet(fleetSize)
			during, after := fl.runSchedule(sc)
			violations = fl.check(during, after)
			to.add(fl, during, after)
		})
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
	t.Logf("%+v", to)
}
