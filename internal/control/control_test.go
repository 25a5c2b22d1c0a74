package control_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"filbertstall.example/filbertstall/internal/plan"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
)

// Targets for the fleet, and the assumptions under which they are checked.
const (
	// inForceTarget is the time within which a confirmed change must be in force
	// on every instance.
	inForceTarget = 3 * time.Second
	// bytesTarget limits the traffic of membership and configuration, sent and
	// received, in bytes per second and instance in a fleet of targetInstances.
	bytesTarget     = 27_000
	targetInstances = 340
	// headerBytes is the size of the IP and TCP headers of a message and of its
	// acknowledgement.
	headerBytes = 2 * 52
	// platformDelay is the duration of a call to the platform.
	platformDelay = 5 * time.Millisecond
)

const zoneOut = `{"actions": [{"take_zone_out": "suseong"}]}`

func quantile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(share*float64(len(sorted)-1))]
}

func weight(value int) string {
	return fmt.Sprintf(`{"actions": [{"set_team": {"name": "analysts", "weight": %d}}]}`, value)
}

func makePlan(t testing.TB, no *node, text string) plan.Plan {
	t.Helper()
	pl, err := no.Plans.Make(t.Context(), "operators", "intent", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return pl
}

func confirmPlan(t testing.TB, no *node, pl plan.Plan) {
	t.Helper()
	if _, err := no.Plans.Confirm(t.Context(), pl.ID, "operators"); err != nil {
		t.Fatal(err)
	}
}

// costs are the times and rates measured with one size of fleet. The rates are
// per second and instance.
type costs struct {
	instances     int
	p50, p99      time.Duration
	messages      float64
	bytes         float64
	reads, writes float64
}

// perInstance converts a count over a duration to a rate per second and instance.
// Callers double it for messages and their bytes, which one instance sends and
// another receives.
func perInstance(count int, du time.Duration, instances int) float64 {
	return float64(count) / du.Seconds() / float64(instances)
}

func measure(t *testing.T, instances int) costs {
	co := costs{instances: instances}
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, instances, 20)
		defer fl.stop()
		for _, no := range fl.nodes {
			no.store.SetDelay(platformDelay)
			no.store.SetFault(platformfake.Slow)
		}
		fl.settle()
		messages, bytes := fl.net.Traffic()
		reads, writes := fl.store.Calls()
		const idlePeriod = 40 * time.Second
		time.Sleep(idlePeriod)
		messagesNow, bytesNow := fl.net.Traffic()
		readsNow, writesNow := fl.store.Calls()
		co.messages = 2 * perInstance(messagesNow-messages, idlePeriod, instances)
		co.bytes = 2 * perInstance(bytesNow-bytes, idlePeriod, instances)
		co.reads = perInstance(readsNow-reads, idlePeriod, instances)
		co.writes = perInstance(writesNow-writes, idlePeriod, instances)
		var times []time.Duration
		for ix := range 20 {
			no := fl.nodes[ix%instances]
			pl := makePlan(t, no, weight(2+ix))
			begin := fl.clock.Now()
			confirmPlan(t, no, pl)
			fl.until(time.Minute, time.Millisecond, func() bool { return fl.inForce(pl.Base.Version + 1) })
			times = append(times, fl.clock.Since(begin))
			fl.until(time.Minute, 50*time.Millisecond, func() bool { return no.State.Bundle().Head.ReservedBy("team/analysts") == "" })
		}
		slices.Sort(times)
		co.p50, co.p99 = quantile(times, 0.5), quantile(times, 0.99)
	})
	return co
}

// A change must be in force on all instances within the target in each size of
// fleet. The traffic per instance, extrapolated to targetInstances, must stay
// within its limit.
func TestCostBySize(t *testing.T) {
	var list []costs
	for _, instances := range []int{7, 20, 40} {
		co := measure(t, instances)
		list = append(list, co)
		t.Logf("%d instances: in force p50 %v, p99 %v; each sends and receives %.1f messages/s, %.0f bytes/s; platform reads %.3f/s, writes %.3f/s",
			instances, co.p50, co.p99, co.messages, co.bytes, co.reads, co.writes)
		t.Logf("slope: control instances=%d messages_per_s=%.2f bytes_per_s=%.1f wire_bytes_per_s=%.1f fleet_reads_per_s=%.2f fleet_writes_per_s=%.3f",
			instances, co.messages, co.bytes, co.bytes+headerBytes*co.messages, co.reads*float64(instances), co.writes*float64(instances))
		if co.p99 > inForceTarget {
			t.Errorf("in force after %v on %d instances, target %v", co.p99, instances, inForceTarget)
		}
	}
	// Probes inside a zone grow linearly with the fleet and those between zones
	// do not, so the last two sizes determine the slope of the extrapolation.
	le, ri := list[1], list[2]
	extrapolate := func(of func(costs) float64) float64 {
		slope := (of(ri) - of(le)) / float64(ri.instances-le.instances)
		return of(ri) + slope*float64(targetInstances-ri.instances)
	}
	total := extrapolate(func(co costs) float64 { return co.bytes + headerBytes*co.messages })
	t.Logf("extrapolated to %d instances in 4 zones: %.0f bytes/s of payload, %.0f with headers", targetInstances, extrapolate(func(co costs) float64 { return co.bytes }), total)
	if total > bytesTarget {
		t.Errorf("%.0f bytes/s at %d instances, target %d", total, targetInstances, bytesTarget)
	}
}

// A zone that is taken out must receive no new work after three seconds. The
// platform answers only the instance that confirms the plan, and a third of all
// calls between instances is lost.
func TestZoneOutUnderLoss(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 7, 20)
			defer fl.stop()
			fl.settle()
			fl.net.SetLossRate(0.33, rand.New(rand.NewPCG(seed, 1)))
			for _, no := range fl.nodes[1:] {
				no.store.SetFault(platformfake.Down)
			}
			time.Sleep(time.Second)
			confirmPlan(t, fl.nodes[0], makePlan(t, fl.nodes[0], zoneOut))
			took := fl.until(time.Minute, 10*time.Millisecond, func() bool {
				return !slices.ContainsFunc(fl.up(), func(no *node) bool {
					zo, _ := no.holder.Load().Zone("suseong")
					return zo.Serving()
				})
			})
			t.Logf("seed %d: zone out of service on all instances after %v", seed, took)
			if took > inForceTarget {
				t.Errorf("seed %d: zone out of service on all instances after %v, target %v", seed, took, inForceTarget)
			}
		})
	}
}
