package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// fleetSizes are the numbers of instances for which the fleet's judgement is tested.
var fleetSizes = []int{6, 95, 340}

const (
	// tick is the step of virtual time. Messages arrive one tick after they are sent.
	tick = 10 * time.Millisecond
	// ticksPerHeartbeat is the time between two regular messages.
	ticksPerHeartbeat = 100
)

var zoneNames = []string{"a", "b", "c"}

// fleet is a number of instances, in three zones by turns, that send requests to engines
// and tell each other what they see.
type fleet struct {
	clock  *clockwork.FakeClock
	roster *roster.Roster
	nodes  []*node
	ticks  int
	sent   int
}

type node struct {
	de *Detector
	lt *placement.LoadTracker
	// isCut reports whether the link to an engine is lost. It may be nil.
	isCut func(roster.Endpoint) bool
}

// newFleet returns a fleet with engines in three zones by turns. All engines look busy but
// those in idle.
func newFleet(instances, engines int, idle ...int) *fleet {
	fl := &fleet{clock: clockwork.NewFakeClock()}
	fl.roster = &roster.Roster{Clock: fl.clock, Log: zerolog.Nop()}
	loads := make(map[string]placement.Load)
	for ix := range engines {
		fl.register(ix, 1)
		loads[engineID(ix)] = placement.Load{Running: 15}
	}
	for _, ix := range idle {
		delete(loads, engineID(ix))
	}
	for ix := range instances {
		name, zone := fmt.Sprintf("i%d", ix), zoneNames[ix%len(zoneNames)]
		de := &Detector{Instance: name, Zone: zone, Roster: fl.roster, Instances: func() int { return instances }, Clock: fl.clock, Log: zerolog.Nop()}
		lt := &placement.LoadTracker{Clock: fl.clock, Zone: zone, Instance: name, Outliers: de}
		lt.SetRemoteLoads("others", loads)
		fl.nodes = append(fl.nodes, &node{de: de, lt: lt})
	}
	return fl
}

func engineID(ix int) string { return fmt.Sprintf("e%d", ix) }

// register adds an engine, or starts it again.
func (fl *fleet) register(ix int, started int64) {
	en := roster.Endpoint{ID: engineID(ix), Service: "s", Zone: zoneNames[ix%len(zoneNames)], Slots: 6, Started: started}
	fl.roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: en.ID, Value: &en}}})
}

func (fl *fleet) engine(ix int) roster.Endpoint {
	en, _ := fl.roster.View().Get(engineID(ix))
	return en
}

// step advances the time by one tick and delivers the messages of the one before.
func (fl *fleet) step() {
	due := fl.ticks%ticksPerHeartbeat == 0
	fl.ticks++
	fl.clock.Advance(tick)
	for _, from := range fl.nodes {
		list := from.de.Changed(due)
		if len(list) == 0 {
			continue
		}
		for _, to := range fl.nodes {
			if to != from {
				to.de.Merge(from.de.Instance, from.de.Zone, list)
			}
		}
	}
}

var demand = placement.Demand{Engine: &routing.Engine{Slots: 24, MemoryTokens: 30_000}, Prompt: 100, Output: 40}

// send sends a request of one instance to the engine that it chooses, and reports where it
// went and whether it was lost.
func (fl *fleet) send(no *node, loses func(roster.Endpoint) bool) (roster.Endpoint, bool) {
	ch, _ := no.lt.Choose(fl.roster.View().Ready("s"), demand, nil)
	ti := no.lt.Begin(ch.Endpoint, demand)
	switch {
	case no.isCut != nil && no.isCut(ch.Endpoint):
		ti.End(placement.Unreachable)
	case loses(ch.Endpoint):
		ti.End(placement.Lost)
		return ch.Endpoint, true
	default:
		ti.Answered()
		ti.End(placement.Done)
	}
	return ch.Endpoint, false
}

// sendToAll sends a request of one instance to each engine.
func (fl *fleet) sendToAll(no *node) {
	for _, en := range fl.roster.View().Ready("s") {
		ou := placement.Done
		if no.isCut != nil && no.isCut(en) {
			ou = placement.Unreachable
		}
		no.de.Record(en, ou, fl.clock.Now())
	}
}

// run lets instances, the next one by turns, send a request in each tick, and counts those
// that were lost.
func (fl *fleet) run(lasts time.Duration, loses func(roster.Endpoint) bool) int {
	lost := 0
	for range int(lasts / tick) {
		// Steps by a number that has no divisor in common with the fleet's size let zones
		// and instances take turns.
		fl.sent += 7
		if _, failed := fl.send(fl.nodes[fl.sent%len(fl.nodes)], loses); failed {
			lost++
		}
		fl.step()
	}
	return lost
}

// wait lets the least time between two messages of an instance pass.
func (fl *fleet) wait() {
	for range len(fl.nodes)/5 + 3 {
		fl.step()
	}
}

// eject lets instances of an engine's zone see it fail.
func (fl *fleet) eject(ix int) {
	fl.wait()
	for range failuresInRow {
		for no := ix % len(zoneNames); no < 6; no += len(zoneNames) {
			fl.nodes[no].de.Record(fl.engine(ix), placement.Lost, fl.clock.Now())
		}
	}
	fl.step()
	fl.step()
}

// setAside returns the number of instances that have set an engine aside.
func (fl *fleet) setAside(ix int) int {
	count := 0
	for _, no := range fl.nodes {
		if no.de.Standing(fl.engine(ix)) == placement.SetAside {
			count++
		}
	}
	return count
}

// setAsideBy returns the number of engines that an instance has set aside.
func (fl *fleet) setAsideBy(no *node) int {
	count := 0
	for _, en := range fl.roster.View().Ready("s") {
		if no.de.Standing(en) == placement.SetAside {
			count++
		}
	}
	return count
}

// forEachSize runs a test with each size of the fleet.
func forEachSize(t *testing.T, test func(g Gomega, instances int)) {
	for _, instances := range fleetSizes {
		t.Run(fmt.Sprint(instances), func(t *testing.T) { test(NewWithT(t), instances) })
	}
}

func never(roster.Endpoint) bool { return false }
