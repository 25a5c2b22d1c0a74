package placement

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

// fixedZones gives the same admission to all requests.
type fixedZones struct {
	admission Admission
	sent      []string
}

func (*fixedZones) Active() bool { return true }

func (fz *fixedZones) Admit(Demand, string) Admission { return fz.admission }

func (fz *fixedZones) Sent(en roster.Endpoint, _ string) { fz.sent = append(fz.sent, en.Zone) }

// The endpoints are e0 and e1 in the zone a of the instance, e2 in b and e3 in c. b lends.
func TestAdmittedZones(t *testing.T) {
	demand := Demand{Engine: testEngine, Prompt: 2000, Output: 100, Service: "s", Request: "r"}
	home, leaves := Admission{Restricted: true, Home: true, Lenders: []string{"b"}}, Admission{Restricted: true, Leaves: true, Lenders: []string{"b"}}
	fill := func(lt *LoadTracker, list ...roster.Endpoint) {
		for _, en := range list {
			lt.Begin(en, Demand{Engine: testEngine, Prompt: 30_000})
		}
	}
	for _, ca := range []struct {
		name      string
		admission Admission
		demand    Demand
		prepare   func(lt *LoadTracker, list []roster.Endpoint)
		exclude   map[string]bool
		want      string
	}{
		{"stays at a busy engine", home, demand, func(lt *LoadTracker, list []roster.Endpoint) {
			lt.Begin(list[0], demand)
			lt.Begin(list[1], demand)
		}, map[string]bool{"e0": true}, "e1"},
		{"leaves", leaves, demand, func(*LoadTracker, []roster.Endpoint) {}, nil, "e2"},
		{"no room at home", home, demand, func(lt *LoadTracker, list []roster.Endpoint) { fill(lt, list[:2]...) }, nil, "e2"},
		{"all of the zone tried", home, demand, func(*LoadTracker, []roster.Endpoint) {}, map[string]bool{"e0": true, "e1": true}, "e2"},
		{"lender tried", leaves, demand, func(*LoadTracker, []roster.Endpoint) {}, map[string]bool{"e0": true, "e2": true}, "e1"},
		{"only a zone left that does not lend", home, demand, func(*LoadTracker, []roster.Endpoint) {}, map[string]bool{"e0": true, "e1": true, "e2": true}, "e3"},
		{"lender unreachable", leaves, demand, func(lt *LoadTracker, list []roster.Endpoint) { lt.Begin(list[2], demand).End(Unreachable) }, map[string]bool{"e0": true}, "e1"},
		{"migration", home, Demand{Engine: testEngine, Prompt: 2000, Service: "s", Zone: "c"}, func(*LoadTracker, []roster.Endpoint) {}, nil, "e3"},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			lt := newTracker(clockwork.NewFakeClock())
			lt.Zones = &fixedZones{admission: ca.admission}
			list := endpoints("a", "a", "b", "c")
			ca.prepare(lt, list)
			ch, found := lt.Choose(list, ca.demand, ca.exclude)
			g.Expect(found).To(BeTrue())
			g.Expect(ch.Endpoint.ID).To(Equal(ca.want))
		})
	}
}

// A cold endpoint, one that fails and one in back-off do not count in the load of their
// zone.
func TestZoneLoads(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	lt := newTracker(clock)
	fz := &fixedZones{}
	lt.Zones = fz
	list := endpoints("a", "a", "a", "b", "b")
	list[0].ColdUntil = clock.Now().Add(time.Second)
	lt.Begin(list[1], Demand{}).End(Lost)
	for range 8 {
		lt.Begin(list[2], Demand{})
	}
	lt.Begin(list[3], Demand{}).End(Unreachable)
	lt.SetRemoteLoads("i2", map[string]Load{"e4": {Running: 2}})
	g.Expect(lt.ZoneLoads(list, Demand{})).To(Equal([]ZoneLoad{
		{Zone: "a", Sound: 1, Wait: 30 * time.Millisecond, Running: 8, Slots: 6, Reachable: true},
		{Zone: "b", Sound: 1, Running: 2, Slots: 6},
	}))
	g.Expect(fz.sent).To(HaveLen(10))
	g.Expect(lt.Loads()).To(Equal(map[string]Load{"e2": {Running: 8}}))
	lt.Zones = nil
	g.Expect(lt.Loads()).To(BeEmpty())
}
