package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The store stops answering a third of the instances, two of the three preferred
// readers of each zone among them. Nobody goes without confirmations for longer
// than callers' keys are accepted, and the other instances do not read the store.
func TestStoreRejectsReaders(t *testing.T) {
	runFleet(t, 5, 19, func(g *WithT, fl *fleet) {
		time.Sleep(4 * time.Second)
		fl.takeCalls()
		fl.set(func() {
			for ix, mb := range fl.instances {
				fl.rejected[mb.self.Name] = ix%19 < 2 || ix%3 == 0
			}
		})
		g.Expect(fl.watch(10 * time.Second)).To(BeNumerically("<", servableAge))
		g.Expect(fl.readers()).To(BeNumerically("<=", 10))
		g.Expect(fl.takeCalls()).To(BeNumerically("<=", 3*5*settledCalls))
		fl.set(func() { clear(fl.rejected) })
		time.Sleep(maxSkipTime + alternativeTime + 2*replacedInterval)
		g.Expect(fl.readers()).To(Equal(5), "the preferred readers are back")
	})
}

// silentCount returns the number of instances that know that the store does not answer.
func (fl *fleet) silentCount() int {
	count := 0
	for _, mb := range fl.instances {
		if mb.log.StoreUnresponsive() {
			count++
		}
	}
	return count
}

// The store is down for eight seconds, and readers step down in turn. Once an instance
// knows of the outage, it does so until the end: meanwhile engines are asked themselves
// whether they leave.
func TestOutageIsKnownUntilItsEnd(t *testing.T) {
	for _, perZone := range []int{2, 19} {
		runFleet(t, 4, perZone, func(g *WithT, fl *fleet) {
			time.Sleep(4 * time.Second)
			g.Expect(fl.silentCount()).To(BeZero())
			fl.set(func() { fl.down = true })
			time.Sleep(1500 * time.Millisecond)
			for range 130 {
				g.Expect(fl.silentCount()).To(Equal(len(fl.instances)), "after %s", time.Since(fl.boot.start))
				time.Sleep(50 * time.Millisecond)
			}
			fl.set(func() { fl.down = false })
			time.Sleep(8 * time.Second)
			g.Expect(fl.silentCount()).To(BeZero(), "the store answers again")
		})
	}
}

// maxMessageRate is the number of messages a second that an instance may send
// while no instance can read the store.
const maxMessageRate = 150

// The store is down for eight seconds. One instance of each zone tries it at a
// time, the instances don't ask each other in a tight loop, and all have fresh
// confirmations two seconds after its return.
func TestStoreDown(t *testing.T) {
	for _, ca := range []struct{ zones, perZone int }{{5, 19}, {4, 2}, {2, 1}} {
		t.Run(fmt.Sprintf("%d zones of %d", ca.zones, ca.perZone), func(t *testing.T) {
			runFleet(t, ca.zones, ca.perZone, func(g *WithT, fl *fleet) { testStoreDown(g, fl, ca.zones) })
		})
	}
}

func testStoreDown(g *WithT, fl *fleet, zones int) {
	time.Sleep(4 * time.Second)
	fl.takeCalls()
	before, _ := fl.net.Traffic()
	fl.set(func() { fl.down = true })
	time.Sleep(8 * time.Second)
	g.Expect(fl.takeCalls()).To(BeNumerically("<=", 2*zones*settledCalls))
	after, _ := fl.net.Traffic()
	g.Expect(after - before).To(BeNumerically("<=", 8*maxMessageRate*len(fl.instances)))
	fl.set(func() { fl.down, fl.version = false, 2 })
	time.Sleep(2 * time.Second)
	name, age := fl.oldest()
	g.Expect(age).To(BeNumerically("<", maxConfigurationAge), name)
	for _, mb := range fl.instances {
		g.Expect(mb.state.Load().Version).To(Equal(int64(2)), mb.self.Name)
	}
	time.Sleep(maxSkipTime + alternativeTime + 2*replacedInterval)
	before, _ = fl.net.Traffic()
	time.Sleep(8 * time.Second)
	after, _ = fl.net.Traffic()
	g.Expect(after-before).To(BeNumerically("<=", 8*10*len(fl.instances)), "calm again")
	g.Expect(fl.readers()).To(Equal(zones))
}

// The store answers 80 times as slowly as it does usually. Its readers stay, since
// no other instance would get faster answers.
func TestSlowStore(t *testing.T) {
	runFleet(t, 4, 3, func(g *WithT, fl *fleet) {
		time.Sleep(4 * time.Second)
		before := fl.readerNames()
		fl.takeCalls()
		fl.set(func() { fl.latency = 330 * time.Millisecond })
		for range 100 {
			g.Expect(fl.watch(100 * time.Millisecond)).To(BeNumerically("<", servableAge))
			g.Expect(fl.readerNames()).To(Equal(before))
		}
		g.Expect(fl.takeCalls()).To(BeNumerically("<=", 4*settledCalls))
	})
}

// All instances of a zone are rejected by the store. They follow the readers of
// the other zones.
func TestStoreRejectsZone(t *testing.T) {
	runFleet(t, 3, 12, func(g *WithT, fl *fleet) {
		time.Sleep(4 * time.Second)
		fl.takeCalls()
		fl.set(func() {
			for _, mb := range fl.instances[:12] {
				fl.rejected[mb.self.Name] = true
			}
		})
		g.Expect(fl.watch(20 * time.Second)).To(BeNumerically("<", servableAge))
		g.Expect(fl.takeCalls()).To(BeNumerically("<=", 3*2*3*settledCalls))
	})
}
