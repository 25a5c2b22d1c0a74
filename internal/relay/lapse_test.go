package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// uses reports whether an instance uses the endpoint of the fleet.
func (mb *member) uses() bool { return len(mb.roster.View().Ready("s")) > 0 }

// cut lets the store answer some instances no more.
func (fl *fleet) cut(names ...string) {
	fl.set(func() {
		for _, name := range names {
			fl.rejected[name] = true
		}
	})
}

// expectGone fails if, after some time, an instance that is not cut off uses the endpoint.
func (fl *fleet) expectGone(g *WithT, after time.Duration) {
	time.Sleep(after)
	for _, mb := range fl.instances {
		if !fl.isSilentFor(mb.self.Name) {
			g.Expect(mb.uses()).To(BeFalse(), "%s, %s after the entry was removed", mb.self.Name, after)
		}
	}
}

// Guards against the readers of all zones that are cut off from the store and taken for an
// outage: those who took their place kept endpoints that were gone (review/12).
func TestCutReadersAreNoOutage(t *testing.T) {
	for _, zones := range []int{1, 2, 3} {
		for _, silent := range []bool{false, true} {
			for offset := range 10 {
				t.Run(fmt.Sprintf("%d zones, at %d00 ms, silent %t", zones, offset, silent), func(t *testing.T) {
					runFleet(t, zones, 10, func(g *WithT, fl *fleet) {
						time.Sleep(4*time.Second + time.Duration(offset)*100*time.Millisecond)
						readers := fl.readerNames()
						g.Expect(readers).To(HaveLen(zones))
						fl.cut(readers...)
						fl.set(func() { fl.removed, fl.silent = true, silent })
						fl.expectGone(g, changeBound)
					})
				})
			}
		}
	}
}

// Guards against the same where the store answers slowly, so that confirmations are old when
// somebody takes a reader's place: endpoints that were gone were kept for 1.9 s more.
func TestSuccessorsOfCutReadersKeepNothing(t *testing.T) {
	const latency, anyTakeover = 200 * time.Millisecond, 3 * time.Second
	for _, zones := range []int{1, 2, 3} {
		for offset := range 10 {
			t.Run(fmt.Sprintf("%d zones, at %d00 ms", zones, offset), func(t *testing.T) {
				runFleet(t, zones, 10, func(g *WithT, fl *fleet) {
					fl.set(func() { fl.latency = latency })
					time.Sleep(6*time.Second + time.Duration(offset)*100*time.Millisecond)
					fl.cut(fl.readerNames()...)
					fl.set(func() { fl.removed, fl.silent = true, true })
					fl.expectGone(g, anyTakeover)
				})
			})
		}
	}
}

// Guards against a zone that waits for each of its first candidates in turn when they are cut
// off from the store at once: the others learnt too late that an endpoint was gone (review/12).
func TestZoneWithoutItsFirstCandidates(t *testing.T) {
	for offset := range 10 {
		for _, zones := range []int{1, 2} {
			t.Run(fmt.Sprintf("%d zones, at %d00 ms", zones, offset), func(t *testing.T) {
				runFleet(t, zones, 10, func(g *WithT, fl *fleet) {
					time.Sleep(4*time.Second + time.Duration(offset)*100*time.Millisecond)
					for zone := range zones {
						list := candidates(fl.registry, fl.instances[10*zone].self, fl.alive)
						fl.cut(list[0].Name, list[1].Name)
					}
					fl.set(func() { fl.removed, fl.silent = true, true })
					fl.expectGone(g, changeBound)
				})
			})
		}
	}
}

// Guards against the same with readers that are cut off one after the other, each soon after
// it has taken the place of the one before.
func TestReadersCutOneAfterAnotherAreNoOutage(t *testing.T) {
	for offset := range 10 {
		runFleet(t, 2, 10, func(g *WithT, fl *fleet) {
			time.Sleep(4 * time.Second)
			zone := fl.instances[:10]
			for range 3 {
				for _, mb := range zone {
					if mb.isReader() {
						fl.cut(mb.self.Name)
					}
				}
				time.Sleep(2*time.Second + time.Duration(offset)*100*time.Millisecond)
			}
			fl.set(func() { fl.removed = true })
			fl.expectGone(g, changeBound)
		})
	}
}

// Guards against a whole zone that is cut off from the store, and takes that for an outage when
// it is back, though the store answered the other zone all the while.
func TestCutZoneIsNoOutage(t *testing.T) {
	for offset := range 20 {
		runFleet(t, 2, 3, func(g *WithT, fl *fleet) {
			time.Sleep(4 * time.Second)
			for _, mb := range fl.instances[:3] {
				fl.cut(mb.self.Name)
			}
			time.Sleep(2*time.Second + time.Duration(offset)*100*time.Millisecond)
			fl.set(func() { fl.removed = true })
			time.Sleep(200 * time.Millisecond)
			fl.set(func() { clear(fl.rejected) })
			fl.expectGone(g, changeBound)
		})
	}
}

// Guards against a path that is cut for a moment and taken for an outage: the reader goes on,
// and entries last longer.
func TestShortCutOfAReaderIsNoOutage(t *testing.T) {
	for offset := range 10 {
		for cut := 200 * time.Millisecond; cut <= 1200*time.Millisecond; cut += 200 * time.Millisecond {
			t.Run(fmt.Sprintf("%s, at %d00 ms", cut, offset), func(t *testing.T) {
				runFleet(t, 1, 4, func(g *WithT, fl *fleet) {
					time.Sleep(4*time.Second + time.Duration(offset)*100*time.Millisecond)
					fl.cut(fl.readerNames()...)
					fl.set(func() { fl.removed = true })
					time.Sleep(cut)
					fl.set(func() { clear(fl.rejected) })
					fl.expectGone(g, changeBound)
				})
			})
		}
	}
}

// Guards against endpoints that are lost in an outage of the store: entries that expire in it
// are written again within about two seconds of its return, and their endpoints are used all
// the while by all instances. One that is not written again is gone soon after.
func TestEntriesThatExpireInAnOutageAreKept(t *testing.T) {
	const rewritten = 1800 * time.Millisecond
	for _, ca := range []struct{ zones, perZone int }{{1, 1}, {1, 4}, {2, 10}, {3, 3}} {
		for outage := 2800 * time.Millisecond; outage <= 8*time.Second; outage += 400 * time.Millisecond {
			for _, back := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d zones of %d, %s, back %t", ca.zones, ca.perZone, outage, back), func(t *testing.T) {
					runFleet(t, ca.zones, ca.perZone, func(g *WithT, fl *fleet) {
						time.Sleep(4 * time.Second)
						fl.set(func() { fl.down, fl.removed = true, true })
						time.Sleep(outage)
						fl.set(func() { fl.down = false })
						for end := time.Now().Add(rewritten); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							for _, mb := range fl.instances {
								g.Expect(mb.uses()).To(BeTrue(), mb.self.Name)
							}
						}
						fl.set(func() { fl.removed = !back })
						time.Sleep(4 * time.Second)
						for _, mb := range fl.instances {
							g.Expect(mb.uses()).To(Equal(back), mb.self.Name)
						}
					})
				})
			}
		}
	}
}
