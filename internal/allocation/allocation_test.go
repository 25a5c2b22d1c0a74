package allocation

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/refusal"
)

// historyChecks limits the test to a few seconds. The flag -rapid.checks
// overrides it.
const historyChecks = "8"

// event is one step of a random history: what happens, to which instance or
// endpoint, and how many milliseconds of load follow.
type event struct {
	Kind  int
	Index int
	Other int
	Wait  int
}

const (
	eventRequests = iota
	eventInterruptPath
	eventOffline
	eventPlatform
	eventPause
	eventLoss
	eventZone
	eventEndpoint
	eventCrash
	eventIsolate
	eventMember
	eventKinds
)

// events generates random histories of 8 to 20 events.
func events() *rapid.Generator[[]event] {
	one := rapid.Custom(func(t *rapid.T) event {
		return event{
			Kind: rapid.IntRange(0, eventKinds-1).Draw(t, "kind"), Index: rapid.IntRange(0, 11).Draw(t, "index"),
			Other: rapid.IntRange(0, 11).Draw(t, "other"), Wait: rapid.SampledFrom([]int{50, 500, 2000, 5000}).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(one, 8, 20)
}

// apply carries out an event. Other selects the second instance, the kind of
// fault, the rate of loss or the length of a pause in seconds.
func (wo *world) apply(ev event) {
	in, other := wo.instances[ev.Index%len(wo.instances)], wo.instances[ev.Other%len(wo.instances)]
	wo.mu.Lock()
	switch ev.Kind {
	case eventInterruptPath:
		wo.interrupted[pathKey(in.name, other.name)] = !wo.interrupted[pathKey(in.name, other.name)]
	case eventIsolate:
		wo.offline[in.name] = ev.Other%2 == 0
		for _, it := range wo.instances {
			wo.interrupted[pathKey(in.name, it.name)] = it != in
		}
	case eventOffline:
		wo.offline[in.name] = !wo.offline[in.name]
	case eventPlatform:
		wo.store.SetFault(platformfake.Fault(ev.Other % 3))
	case eventLoss:
		wo.loss = float64(ev.Other%3) * 0.2
	}
	wo.mu.Unlock()
	switch ev.Kind {
	case eventMember:
		wo.toggleUnreachableMember(ev.Index)
	case eventPause:
		wo.pause(in.name, time.Duration(ev.Other)*time.Second)
	case eventZone, eventEndpoint:
		wo.toggle(ev.Index, ev.Kind == eventZone)
	case eventCrash:
		wo.machines[wo.document.Endpoints[ev.Index%len(wo.document.Endpoints)].Name].crash()
	}
}

// runHistory applies events under constant load, ends all faults, and returns
// the invariants that were violated.
func runHistory(list []event, seed uint64) []string {
	wo := newWorld(seed, []string{"a", "b"}, 2, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wo.start(ctx)
	var wg sync.WaitGroup
	number := 0
	request := func(in *instance, runs time.Duration) {
		number++
		id, fingerprint := fmt.Sprint("r", number), uint64(number)
		wg.Go(func() { _, _ = wo.serve(ctx, in, id, fingerprint, runs) })
	}
	for _, ev := range list {
		wo.apply(ev)
		for passed := 0; passed < ev.Wait; passed += 50 {
			for _, in := range wo.instances {
				if wo.randomInt(4) == 0 {
					runs := time.Duration(wo.randomInt(maxRunTime)) * time.Millisecond
					if wo.randomInt(10) == 0 {
						runs = longRun
					}
					request(in, runs)
				}
			}
			time.Sleep(50 * time.Millisecond)
			for _, zone := range wo.document.Zones {
				if count := wo.holders(Group{zone.Name, service}); count > 1 {
					wo.mu.Lock()
					wo.recordViolation("%d instances hold the lease in zone %s", count, zone.Name)
					wo.mu.Unlock()
				}
			}
		}
	}
	wo.clearFaults()
	wg.Wait()
	time.Sleep(20 * time.Second)
	wo.checkReleased()
	wo.checkServes(ctx)
	cancel()
	time.Sleep(10 * time.Second)
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.violations
}

func (wo *world) randomInt(n int64) int64 {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.rn.Int64N(n)
}

// checkReleased records a violation if a holder still counts a place that is
// not in use.
func (wo *world) checkReleased() {
	for _, in := range wo.instances {
		for _, ho := range in.gt.activeHolders() {
			ho.mu.Lock()
			left := len(ho.requests)
			ho.mu.Unlock()
			if left > 0 {
				wo.mu.Lock()
				wo.recordViolation("%s still counts %d requests of %s", in.name, left, ho.group)
				wo.mu.Unlock()
			}
		}
	}
}

// checkServes records a violation if an instance is not served although there
// is no fault and every zone and endpoint is serving.
func (wo *world) checkServes(ctx context.Context) {
	for ix := range wo.document.Zones {
		if !wo.document.Zones[ix].Serving() {
			wo.toggle(ix, true)
		}
	}
	for ix := range wo.document.Endpoints {
		if !wo.document.Endpoints[ix].Serving() {
			wo.toggle(ix, false)
		}
	}
	time.Sleep(5 * time.Second)
	for _, in := range wo.instances {
		if _, err := wo.serve(ctx, in, "last", 1<<30, time.Millisecond); err != nil {
			wo.mu.Lock()
			wo.recordViolation("%s is not served: %v", in.name, err)
			wo.mu.Unlock()
		}
	}
}

// Checks that under pauses, network partitions, lost replies, platform
// outages, configuration changes, changes of the lease holder and crashes: no
// endpoint runs more than it has the capacity for, no endpoint gets work after
// it was closed, there is at most one holder, and every place is released.
func TestHistories(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	if checks.Value.String() == checks.DefValue {
		_ = checks.Value.Set(historyChecks)
		defer func() { _ = checks.Value.Set(checks.DefValue) }()
	}
	rapid.Check(t, func(rt *rapid.T) {
		list := events().Draw(rt, "events")
		seed := rapid.Uint64().Draw(rt, "seed")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runHistory(list, seed) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations[:min(len(violations), 10)], "\n"))
		}
	})
}

// Guards against a request that crashes every endpoint it runs at. It and its
// resends crash at most two endpoints, and the requests that run beside it
// finish.
func TestCulprit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := NewWithT(t)
		wo := newWorld(1, []string{"a"}, 3, 4)
		ctx, cancel := context.WithCancel(t.Context())
		wo.start(ctx)
		time.Sleep(12 * time.Second)
		var wg sync.WaitGroup
		var whole atomic.Int64
		const bystanders = 12
		for ix := range bystanders {
			wg.Go(func() {
				result, err := wo.serve(ctx, wo.instances[ix%3], fmt.Sprint("i", ix), uint64(ix+1), 2*time.Second)
				if err != nil {
					t.Log(time.Now(), err)
				}
				if result == admission.Completed {
					whole.Add(1)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		for resend := range 6 {
			_, err := wo.serve(ctx, wo.instances[resend%3], fmt.Sprint("c", resend), crashFlag|7, 0)
			gm.Expect(err).To(HaveOccurred())
			if resend > 0 {
				gm.Expect(refusal.From(err).Reason).To(Equal(refusal.CrashSuspect))
			}
		}
		wg.Wait()
		crashes := 0
		for _, ma := range wo.machines {
			crashes += ma.crashes
		}
		gm.Expect(crashes).To(BeNumerically("<=", 2))
		gm.Expect(whole.Load()).To(Equal(int64(bystanders)))
		gm.Expect(wo.violations).To(BeEmpty())
		cancel()
		time.Sleep(10 * time.Second)
	})
}
