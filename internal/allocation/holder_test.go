package allocation

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/pkg/kind"
)

// bench is one holder with one endpoint, without a network.
type bench struct {
	ho   *holder
	now  time.Time
	held bool
	// listed is the platform's list of instances.
	listed []string
}

func newBench(t interface{ Fatal(...any) }, members ...string) *bench {
	cf, err := kind.NewConfiguration(kind.Document{
		Version: 1, Zones: []kind.Zone{{Name: "a", State: kind.ZoneServing}},
		Services: []kind.Service{{Name: service, Type: kind.ServiceModel, Model: "m"}},
		Endpoints: []kind.Endpoint{{
			Name: "engine", Service: service, Zone: "a", URL: "http://engine", State: kind.EndpointServing,
			Capacity: kind.Capacity{MemoryTokens: 1 << 20, Sequences: sequences, ColdSequences: sequences},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	be := &bench{now: time.Unix(1000, 0), held: true}
	vi := (&views{}).with(be.now, members)
	be.listed = members
	be.ho = (&holder{
		listed: func(name string) bool { return slices.Contains(be.listed, name) }, reporting: true,
		group: Group{"a", service}, epoch: 2, since: be.now, views: func() *views { return vi },
		current: func() *kind.Configuration { return cf }, held: func() bool { return be.held },
	}).prepare()
	return be
}

// syncFrom sends the holder a sync of a member that carries the holder's
// current stamp.
func (be *bench) syncFrom(name string, sequence int64, places ...PlaceSync) GroupReply {
	gs := &GroupSync{Group: be.ho.group, Sequence: sequence, Epoch: be.ho.epoch, Stamp: be.ho.stamp(be.now), Places: places}
	return be.ho.sync(be.now, name, gs)
}

// fill requests more places than there are and returns how many were granted.
func (be *bench) fill(name string, sequence int64) int {
	count := 0
	for ix := range 2 * sequences {
		args := &AcquireArgs{Group: be.ho.group, Instance: name, Sequence: sequence, Key: fmt.Sprint(name, sequence, ix), NoWait: true}
		rq, failure := be.ho.submit(be.now, args)
		if failure == "" && rq.granted() {
			count++
		}
	}
	return count
}

// Guards against overload after a change of the holder. A new holder that
// cannot reach a member must not grant anything before the endpoint has
// reported its load, and afterwards no more than the report leaves free.
func TestNewHolderSettles(t *testing.T) {
	gm := NewWithT(t)
	be := newBench(t, "entry-0", "entry-1")
	be.syncFrom("entry-0", 1)
	gm.Expect(be.fill("entry-0", 1)).To(BeZero())
	be.now = be.now.Add(maxReportLag)
	be.syncFrom("entry-0", 2)
	const unknown = 3
	be.ho.report(be.now, be.now, "engine", endpoint.Load{Running: unknown})
	be.now = be.now.Add(refreshInterval)
	granted := be.fill("entry-0", 2)
	gm.Expect(granted + unknown).To(BeNumerically("<=", sequences))
	gm.Expect(granted).To(BeNumerically(">", 0))
}

func TestNothingIsGrantedWithoutTheLease(t *testing.T) {
	gm := NewWithT(t)
	be := newBench(t, "entry-0")
	be.syncFrom("entry-0", 1)
	gm.Expect(be.fill("entry-0", 1)).To(And(BeNumerically(">", 0), BeNumerically("<", sequences)))
	rq, _ := be.ho.submit(be.now, &AcquireArgs{Group: be.ho.group, Instance: "entry-0", Sequence: 1, Key: "waits"})
	be.held = false
	gm.Expect(be.fill("entry-0", 1)).To(BeZero())
	for key := range be.ho.requests {
		if key != "waits" {
			be.ho.drop(be.now, key, admission.Outcome{})
		}
	}
	be.ho.tick(be.now)
	gm.Expect(rq.granted()).To(BeFalse())
	be.held = true
	be.ho.tick(be.now)
	gm.Expect(rq.granted()).To(BeTrue())
}

// Guards against overload of an endpoint that failed and may have restarted
// cold. It must not get new work before it has reported its boot ID again.
func TestFailedEndpointWaitsForItsReport(t *testing.T) {
	gm := NewWithT(t)
	be := newBench(t, "entry-0")
	be.syncFrom("entry-0", 1)
	be.ho.report(be.now, be.now, "engine", endpoint.Load{BootID: "a"})
	ask := &AcquireArgs{Group: be.ho.group, Instance: "entry-0", Sequence: 1, Key: "k"}
	_, _ = be.ho.submit(be.now, ask)
	gs := &GroupSync{Group: be.ho.group, Sequence: 2, Ended: []EndedSync{{Key: "k", Outcome: admission.Outcome{Result: admission.Lost}}}}
	be.ho.sync(be.now, "entry-0", gs)
	rq, _ := be.ho.submit(be.now, &AcquireArgs{Group: be.ho.group, Instance: "entry-0", Sequence: 2, Key: "next"})
	gm.Expect(rq.granted()).To(BeFalse())
	gm.Expect(rq.refusal).To(BeNil(), "the request must wait, because the endpoint is closed only temporarily")
	be.now = be.now.Add(pollInterval)
	be.ho.report(be.now, be.now, "engine", endpoint.Load{BootID: "b"})
	be.ho.tick(be.now.Add(refreshInterval))
	gm.Expect(rq.granted()).To(BeTrue())
}

// Checks that places reserved for a silent member are granted as soon as it
// sends a sync again. Guards against counting the end of a reservation as a
// failure of the endpoint.
func TestKeptPlacesComeBack(t *testing.T) {
	gm := NewWithT(t)
	be := newBench(t, "entry-0", "entry-1")
	be.syncFrom("entry-0", 1)
	be.syncFrom("entry-1", 1)
	be.now = be.now.Add(silenceLimit + refreshInterval)
	be.syncFrom("entry-0", 2)
	be.ho.tick(be.now)
	gm.Expect(be.ho.reserved["engine"]).To(BeNumerically(">", 0))
	be.syncFrom("entry-1", 2)
	be.ho.tick(be.now)
	gm.Expect(be.ho.reserved["engine"]).To(BeZero())
	gm.Expect(be.fill("entry-0", 2)).To(BeNumerically(">", 0))
}

// Checks that the share of a member that the platform no longer lists is
// granted again after departedGrace, except for the requests that a load
// report shows to run there for it. The share of a silent member that is
// listed stays reserved.
func TestDelistedMemberIsNotKept(t *testing.T) {
	gm := NewWithT(t)
	be := newBench(t, "entry-0", "entry-1")
	be.syncFrom("entry-0", 1)
	be.syncFrom("entry-1", 1)
	wait := func(du time.Duration, sequence int64) {
		be.now = be.now.Add(du)
		be.syncFrom("entry-0", sequence)
		be.ho.tick(be.now)
	}
	wait(time.Minute, 2)
	share := be.ho.reserved["engine"]
	gm.Expect(share).To(BeNumerically(">", 0))
	be.listed = []string{"entry-0"}
	wait(refreshInterval, 3)
	wait(departedGrace-time.Millisecond, 4)
	gm.Expect(be.ho.reserved["engine"]).To(Equal(share))
	wait(refreshInterval, 5)
	gm.Expect(be.ho.reserved["engine"]).To(BeZero())
	be.ho.report(be.now, be.now, "engine", endpoint.Load{BootID: "b", Running: 2})
	wait(refreshInterval, 6)
	gm.Expect(be.ho.reserved["engine"]).To(Equal(2))
}

// Guards against a new holder that waits for load reports of a plain service,
// which never come. Although one member has not sent a sync yet, the holder
// must grant all places except that member's share.
func TestPlainServiceSettlesWithoutReports(t *testing.T) {
	gm := NewWithT(t)
	be := newBench(t, "entry-0", "entry-1")
	be.ho.reporting = false
	be.syncFrom("entry-0", 1)
	granted := be.fill("entry-0", 1)
	gm.Expect(granted).To(BeNumerically(">", 0))
	gm.Expect(granted).To(BeNumerically("<=", sequences-be.ho.views().maxShare("entry-1", "engine", sequences)))
}

// Guards against late messages that make a silent instance look connected.
// Once an instance relies on the holder having reserved its share, the share
// must be reserved however late its earlier messages arrive.
func TestQuietIsNoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		be := newBench(t, "entry-0", "entry-1")
		li := newLink(be.ho.group, be.now, func() bool { return true })
		ms := rapid.IntRange(0, 1200)
		var late []GroupSync
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			if li.syncDue(be.now) {
				gs := li.beginSync(be.now)
				if rapid.Bool().Draw(t, "late") {
					late = append(late, gs)
					li.syncFailed()
				} else {
					re := be.ho.sync(be.now, "entry-1", &gs)
					if rapid.Bool().Draw(t, "answer lost") {
						li.syncFailed()
					} else {
						li.syncAnswered(&gs, be.now, "holder", &re)
					}
				}
			} else if rapid.Bool().Draw(t, "probe") {
				li.allowMessages(be.now)
			}
			be.now = be.now.Add(time.Duration(ms.Draw(t, "ms")) * time.Millisecond)
		}
		for range 100 {
			if li.silenceNoticed(be.now) {
				break
			}
			be.now = be.now.Add(100 * time.Millisecond)
		}
		if !li.silenceNoticed(be.now) {
			t.Fatal("a disconnected instance does not use its share 10 s after its last message")
		}
		for _, gs := range late {
			be.ho.sync(be.now, "entry-1", &gs)
		}
		for _, name := range be.ho.silentMembers(be.now) {
			if name == "entry-1" {
				return
			}
		}
		t.Fatal("the holder does not reserve the share of a member that relies on it")
	})
}

// Guards against a place that the holder does not count. Once an instance has
// told a new holder what it has in flight, it must not use a grant of the
// earlier holder that arrives later.
func TestGrantOfAnEarlierEpoch(t *testing.T) {
	gm := NewWithT(t)
	gt := newWorld(1, []string{"a"}, 1, 1).instances[0].gt
	gr := Group{"a", service}
	li := gt.link(gr)
	li.allowMessages(gt.Clock.Now())
	_, may := li.addWaiting(gt.Clock.Now(), "key")
	gm.Expect(may).To(BeTrue())
	var reply InFlightReply
	gm.Expect(gt.Service().InFlight(&InFlightArgs{Group: gr, Address: "new", Epoch: 2}, &reply)).To(Succeed())
	pl := &place{key: "key", tokens: new(atomic.Int64)}
	gm.Expect(li.accept(pl, 1, "old")).To(BeFalse(), "the new holder has received a sync without this place")
	gm.Expect(li.accept(pl, 2, "new")).To(BeTrue())
}

// Checks that instances isolated from each other and from the platform keep
// serving from their shares, beyond the fallback places, and together never
// overload an endpoint.
func TestCutOffInstancesServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := NewWithT(t)
		wo := newWorld(3, []string{"a"}, 3, 2)
		ctx, cancel := context.WithCancel(t.Context())
		wo.start(ctx)
		for range 300 {
			for _, in := range wo.instances {
				go func() { _, _ = wo.serve(ctx, in, "w", 1, time.Second) }()
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, in := range wo.instances {
			wo.apply(event{Kind: eventIsolate, Index: indexOf(wo, in), Other: 0})
		}
		var whole, tried atomic.Int64
		for range 1200 {
			for _, in := range wo.instances {
				go func() {
					tried.Add(1)
					if result, _ := wo.serve(ctx, in, "r", uint64(tried.Load()), 2*time.Second); result == admission.Completed {
						whole.Add(1)
					}
				}()
			}
			time.Sleep(100 * time.Millisecond)
		}
		// The fallback places alone, one at each of two endpoints, would give
		// 120 s / 2 s * 2 = 120.
		gm.Expect(whole.Load()).To(BeNumerically(">", 120))
		gm.Expect(wo.violations).To(BeEmpty())
		t.Logf("%d of %d requests served", whole.Load(), tried.Load())
		cancel()
		time.Sleep(30 * time.Second)
	})
}

func indexOf(wo *world, in *instance) int {
	for ix, it := range wo.instances {
		if it == in {
			return ix
		}
	}
	return -1
}
