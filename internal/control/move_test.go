package control_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/plan"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
)

const handOver = `{"actions": [{"assign": {"endpoint": "engine-0", "half": "east"}}]}`

// get reads a plan directly from the platform's store, without its delay.
func (fl *fleet) get(id string) plan.Plan {
	ob, err := fl.store.Get(fl.t.Context(), plan.Prefix+id)
	if err != nil {
		fl.t.Fatal(err)
	}
	var pl plan.Plan
	if err := json.Unmarshal(ob.Value, &pl); err != nil {
		fl.t.Fatal(err)
	}
	return pl
}

// A plan that moves an endpoint must finish when the instance that executes it is
// killed at any step. The hand-over must wait until the request at the endpoint
// has finished.
func TestMoveKilledAtEveryStep(t *testing.T) {
	for killAt := range 5 {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 7, 8)
			defer fl.stop()
			for _, no := range fl.nodes {
				no.store.SetDelay(platformDelay)
				no.store.SetFault(platformfake.Slow)
			}
			fl.settle()
			user := fl.nodes[6]
			gr, err := user.granter.Acquire(t.Context(), admission.Request{ID: "r", Service: "filbert-pool", Only: "engine-0"})
			if err != nil {
				t.Fatal(err)
			}
			pl := makePlan(t, fl.nodes[0], handOver)
			confirmPlan(t, fl.nodes[0], pl)
			released := fl.clock.Now().Add(2 * time.Second)
			killed := false
			took := fl.until(2*time.Minute, 4*time.Millisecond, func() bool {
				now := fl.get(pl.ID)
				if !killed && now.Current() >= killAt && now.Owner != "" {
					killed = fl.killOwner(now.Owner, user)
				}
				if gr != nil && fl.clock.Now().After(released) {
					user.granter.Release(gr, admission.Outcome{Result: admission.Completed})
					gr = nil
				}
				en, _ := user.holder.Load().Endpoint("engine-0")
				if gr != nil && en.Half == "east" {
					t.Errorf("killed at step %d: handed over while a request was running", killAt)
				}
				return now.State == plan.Done
			})
			if !killed {
				t.Errorf("no instance was killed at step %d", killAt)
			}
			time.Sleep(5 * time.Second)
			for _, no := range fl.up() {
				en, _ := no.holder.Load().Endpoint("engine-0")
				if en.Half != "east" || !en.Serving() {
					t.Errorf("killed at step %d: %s has %+v", killAt, no.Self.Name, en)
				}
			}
			t.Logf("killed at step %d: done after %v", killAt, took)
		})
	}
}

// killOwner kills the instance that executes a plan, unless it is the protected
// one, which holds the request. It reports whether it killed an instance.
func (fl *fleet) killOwner(name string, protected *node) bool {
	for _, no := range fl.up() {
		if no.Self.Name == name && no != protected {
			fl.kill(no)
			return true
		}
	}
	return false
}

// A grant that was decided before a drain is in force and counted after it must
// not be used. Otherwise the endpoint would receive a request after it has been
// reported as idle.
func TestLateGrantIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 8)
		defer fl.stop()
		fl.settle()
		no := fl.nodes[0]
		inner := &admission.LocalGranter{Configuration: &no.holder}
		pl := makePlan(t, no, `{"actions": [{"drain_endpoint": "engine-0"}]}`)
		late := no.CountGrants(lateGranter{LocalGranter: inner, before: func() {
			if no.State.Version() == 1 {
				confirmPlan(t, no, pl)
			}
		}})
		gr, err := late.Acquire(t.Context(), admission.Request{ID: "r", Service: "filbert-pool"})
		if err != nil {
			t.Fatal(err)
		}
		if gr.Endpoint.Name == "engine-0" {
			t.Error("the request was granted a draining endpoint")
		}
	})
}

// lateGranter calls before after a grant has been decided and before it is
// returned.
type lateGranter struct {
	*admission.LocalGranter
	before func()
}

// A plan that rolls an instance must stop it and end only after a replacement is
// live in the same zone.
func TestStopAndRoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 7, 8)
		defer fl.stop()
		fl.settle()
		pl := makePlan(t, fl.nodes[0], `{"actions": [{"roll_instance": "entry-2"}]}`)
		confirmPlan(t, fl.nodes[0], pl)
		fl.until(time.Minute, 100*time.Millisecond, func() bool { return fl.get(pl.ID).Current() == 1 })
		if fl.nodes[2].up {
			t.Fatal("entry-2 still runs")
		}
		time.Sleep(10 * time.Second)
		if st := fl.get(pl.ID).State; st != plan.Confirmed {
			t.Fatalf("the plan is %s without a replacement", st)
		}
		zone := fl.nodes[2].Self.Zone
		for no := fl.start(); no.Self.Zone != zone; {
			no = fl.start()
		}
		took := fl.until(time.Minute, 100*time.Millisecond, func() bool { return fl.get(pl.ID).State == plan.Done })
		t.Logf("done %v after the replacement started", took)
		if st := fl.get(pl.ID).State; st != plan.Done {
			t.Fatalf("the plan is %s with a replacement", st)
		}
	})
}

// A new instance must obtain the configuration in force from its peers while the
// platform is down. An instance that starts after the platform was restored from
// an old backup must neither keep the old version nor make a plan that reverts
// the accepted one.
func TestStartWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 7, 8)
		defer fl.stop()
		fl.settle()
		old := fl.store.Snapshot()
		pl := makePlan(t, fl.nodes[0], weight(9))
		confirmPlan(t, fl.nodes[0], pl)
		fl.until(time.Minute, 50*time.Millisecond, func() bool { return fl.get(pl.ID).State == plan.Done })
		fl.store.SetFault(platformfake.Down)
		for _, no := range fl.nodes {
			no.store.SetFault(platformfake.Down)
		}
		no := fl.start()
		no.store.SetFault(platformfake.Down)
		took := fl.until(time.Minute, 10*time.Millisecond, func() bool { return no.State.Version() >= 2 })
		t.Logf("in force on a new instance after %v without the platform", took)
		if te, _ := no.holder.Load().Team("analysts"); te.Weight != 9 {
			t.Fatalf("the new instance has weight %d", te.Weight)
		}
		fl.store.Restore(old)
		late := fl.start()
		if _, err := late.Plans.Make(t.Context(), "operators", "intent", []byte(weight(3))); !plan.IsKind(err, plan.Unavailable) {
			t.Errorf("a plan was made from the old backup: %v", err)
		}
		for _, it := range fl.nodes {
			it.store.SetFault(platformfake.None)
		}
		time.Sleep(15 * time.Second)
		for _, it := range fl.up() {
			if te, _ := it.holder.Load().Team("analysts"); te.Weight != 9 {
				t.Errorf("%s has weight %d after the platform was restored", it.Self.Name, te.Weight)
			}
		}
		next := makePlan(t, late, weight(3))
		if next.Base.Version < 2 {
			t.Errorf("a plan has base version %d of the old backup", next.Base.Version)
		}
	})
}

// The members of an isolated zone must be suspected, but not gone, while the
// platform lists them, and live again after the partition has healed. The count
// of the instances that have a version in force must list them as missing.
func TestCutOffZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 7, 8)
		defer fl.stop()
		fl.settle()
		fl.net.SetIsolated(zones[1], true)
		for _, no := range []*node{fl.nodes[1], fl.nodes[5]} {
			no.store.SetFault(platformfake.Down)
		}
		confirmPlan(t, fl.nodes[0], makePlan(t, fl.nodes[0], weight(9)))
		time.Sleep(30 * time.Second)
		for _, me := range fl.nodes[0].View().In(zones[1], member.Live, member.Gone) {
			t.Errorf("%s is %s while its zone is isolated", me.Name, me.State)
		}
		in := plan.CountInForce(2, fl.nodes[0].Reports(t.Context()))
		if in.Count != 5 || in.Total != 7 || len(in.Missing) != 2 {
			t.Errorf("unexpected count: %v", in)
		}
		for no, want := range map[*node]string{fl.nodes[0]: "dalseo", fl.nodes[1]: "buk-gu gyeongsan suseong"} {
			status, err := no.Status(t.Context())
			if got := strings.Join(status.IsolatedZones, " "); err != nil || got != want {
				t.Errorf("%s reports isolated zones %q, want %q: %v", no.Self.Name, got, want, err)
			}
			if said := strings.Contains(status.Platform, "has not answered"); said != (no == fl.nodes[1]) {
				t.Errorf("%s reports an unexpected platform status: %s", no.Self.Name, status.Platform)
			}
		}
		for _, me := range fl.nodes[1].View().In(zones[1], member.Suspected) {
			t.Errorf("%s is suspected inside its own zone", me.Name)
		}
		fl.net.SetIsolated(zones[1], false)
		took := fl.until(time.Minute, 10*time.Millisecond, func() bool { return fl.inForce(2) })
		t.Logf("in force in the zone %v after the partition healed", took)
		time.Sleep(3 * member.ProbeInterval)
		if live := fl.nodes[0].View().In(zones[1], member.Live); len(live) != 2 {
			t.Errorf("%d of 2 are live after the partition healed", len(live))
		}
	})
}

// Acquire implements admission.Granter.
func (la lateGranter) Acquire(ctx context.Context, re admission.Request) (*admission.Grant, error) {
	gr, err := la.LocalGranter.Acquire(ctx, re)
	la.before()
	return gr, err
}
