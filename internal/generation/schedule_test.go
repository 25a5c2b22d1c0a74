package generation

import (
	"context"
	"flag"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/refusal"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "500")
}

// checkFaults fails the test if the caller or the granter recorded a violation.
func checkFaults(rt *rapid.T, ca *caller) {
	for _, observed := range append(ca.faults, ca.dp.granter.faults...) {
		rt.Fatal(observed)
	}
}

// scheduleStats counts the schedules of one test, the faults injected, the tokens
// received and the completed responses.
type scheduleStats struct{ schedules, faults, tokens, completed int }

func (ss *scheduleStats) log(t *testing.T) {
	t.Logf("%d schedules, %d faults, %d tokens received, %d responses completed", ss.schedules, ss.faults, ss.tokens, ss.completed)
}

func (ss *scheduleStats) add(ca *caller) {
	ss.schedules++
	ss.faults += ca.dp.injected
	ss.tokens += ca.tokens
	ss.completed += ca.doneEvents
}

// actions returns the steps of a random schedule: faults, repeated requests and
// reads.
func actions(ca *caller) map[string]func(*rapid.T) {
	dp := ca.dp
	drawEngine := func(rt *rapid.T) *engine { return rapid.SampledFrom(dp.engines).Draw(rt, "engine") }
	resend := func(rt *rapid.T) {
		method := http.MethodPost
		if ca.tokens > 0 {
			method = rapid.SampledFrom([]string{http.MethodPost, http.MethodGet}).Draw(rt, "method")
		}
		ca.send(method)
	}
	return map[string]func(*rapid.T){
		"": func(rt *rapid.T) { checkFaults(rt, ca) },
		"read": func(rt *rapid.T) {
			if ca.body == nil && ca.doneEvents == 0 {
				resend(rt)
			}
			ca.readOnce()
		},
		"fault": func(rt *rapid.T) {
			en := drawEngine(rt)
			fa := rapid.SampledFrom(faults).Draw(rt, "fault")
			for range rapid.IntRange(1, 5).Draw(rt, "times") {
				en.faults = append(en.faults, fa)
				dp.injected++
			}
		},
		"crash": func(rt *rapid.T) {
			drawEngine(rt).up = false
			dp.injected++
		},
		"restart": func(rt *rapid.T) {
			drawEngine(rt).restart()
			dp.injected++
		},
		"entry_dies": func(*rapid.T) {
			dp.injected++
			ca.abandonStream()
			ca.entry = 1 - ca.entry
		},
		"caller_moves": func(rt *rapid.T) {
			if ca.doneEvents == 0 {
				ca.hangUp()
				ca.entry = 1 - ca.entry
				resend(rt)
			}
		},
		"grace_passes": func(*rapid.T) { dp.clock.Advance(2 * DefaultResumeGrace) },
	}
}

// TestScheduleContinuation: with engines that support continuation, no schedule of
// faults may lose, duplicate or mix up tokens. Once the faults end, the caller must
// receive the rest of the response.
func TestScheduleContinuation(t *testing.T) {
	var ss scheduleStats
	defer ss.log(t)
	rapid.Check(t, func(rt *rapid.T) {
		dp := newDeployment(4, allEngines)
		ca := &caller{dp: dp}
		rt.Repeat(actions(ca))
		for _, en := range dp.engines {
			en.up, en.faults = true, nil
		}
		for try := 0; try < 4 && ca.doneEvents == 0; try++ {
			ca.send(http.MethodPost)
			for ca.body != nil && ca.doneEvents == 0 {
				ca.readOnce()
			}
			checkFaults(rt, ca)
		}
		if ca.doneEvents != 1 {
			rt.Fatalf("the response ended after %d tokens with problem %+v", ca.tokens, ca.problem)
		}
		ss.add(ca)
	})
}

// TestScheduleWithoutContinuation: if some or all engines do not support
// continuation, a lost generation must end with an error and never with tokens of
// another generation.
func TestScheduleWithoutContinuation(t *testing.T) {
	var ss scheduleStats
	defer ss.log(t)
	rapid.Check(t, func(rt *rapid.T) {
		continuing := rapid.SampledFrom([]int{0, 1, 2}).Draw(rt, "capable")
		engines := rapid.IntRange(1, 4).Draw(rt, "engines")
		ca := &caller{dp: newDeployment(engines, func(ix int) bool { return ix < continuing })}
		rt.Repeat(actions(ca))
		ss.add(ca)
	})
}

func allEngines(int) bool { return true }

// TestScheduleGrants: after any schedule, each grant must have been released exactly
// once when all callers have left and the grace period has passed.
func TestScheduleGrants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dp := newDeployment(3, allEngines)
		ca := &caller{dp: dp}
		steps := actions(ca)
		delete(steps, "entry_dies") // a crashed instance releases no grants; their leases expire
		rt.Repeat(steps)
		ca.hangUp()
		dp.clock.Advance(2 * DefaultResumeGrace)
		checkFaults(rt, ca)
		if held := len(dp.granter.held); held != 0 {
			rt.Fatalf("%d grants were not released", held)
		}
	})
}

// TestEndedWait: a place that is granted after the wait was canceled must not be
// used, because the refusal says not_run.
func TestEndedWait(t *testing.T) {
	dp := newDeployment(2, allEngines)
	ca := &caller{dp: dp}
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(refusal.New(refusal.Stopping, "this instance stops"))
	ca.sendWithin(ctx, http.MethodPost)
	if ca.problem == nil || ca.problem.Reason != refusal.Stopping || ca.problem.Outcome != refusal.NotRun {
		t.Errorf("got problem %+v, want reason stopping and outcome not_run", ca.problem)
	}
	if dp.starts != 0 || len(dp.granter.held) != 0 || len(ca.faults) != 0 {
		t.Errorf("got %d starts, %d grants held and faults %v, want none", dp.starts, len(dp.granter.held), ca.faults)
	}
}

// TestRestartMovesToken: if a generation restarts at another engine before its
// first token, it must be resumed only at the engine that made that token, although
// the first engine still runs a generation of the same ID.
func TestRestartMovesToken(t *testing.T) {
	dp := newDeployment(2, func(ix int) bool { return ix == 0 })
	dp.engines[0].faults = []fault{faultCut, faultCut, faultCut, faultCut}
	ca := &caller{dp: dp}
	ca.send(http.MethodPost)
	ca.readOnce()
	if ca.tokens == 0 || len(dp.engines[0].running) != 1 || len(dp.engines[1].running) != 1 {
		t.Fatalf("got %d tokens, want at least 1 and one generation at each of the two engines", ca.tokens)
	}
	ca.abandonStream()
	ca.entry = 1
	ca.send(http.MethodPost)
	for ca.body != nil {
		ca.readOnce()
	}
	if ca.doneEvents != 1 || len(ca.faults) != 0 {
		t.Errorf("got [DONE] %d times and faults %v, want once and no faults", ca.doneEvents, ca.faults)
	}
}
