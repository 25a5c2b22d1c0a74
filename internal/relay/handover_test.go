package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/roster"
)

// freezing is the peer.Caller of an instance of a fleet in which instances freeze.
type freezing struct {
	peer.Caller
	mb *member
}

func (fr freezing) Call(ctx context.Context, address, method string, args, reply any) error {
	err := fr.Caller.Call(ctx, address, method, args, reply)
	if fr.mb.fl.isFrozen(fr.mb.self.Name) || fr.mb.fl.isFrozen(fr.mb.fl.nameOf(address)) {
		<-ctx.Done()
		return &peer.Error{Op: method, Peer: address, Kind: peer.Lost, Err: ctx.Err()}
	}
	return err
}

func (fl *fleet) nameOf(address string) string {
	for _, me := range fl.registry {
		if me.Address.String() == address {
			return me.Name
		}
	}
	return ""
}

func (fl *fleet) isFrozen(name string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.frozen[name]
}

func (fl *fleet) endpoints() (list []feed.Object[roster.Endpoint]) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !fl.removed {
		list = append(list, feed.Object[roster.Endpoint]{Name: "e1", Value: &roster.Endpoint{ID: "e1", Service: "s"}})
	}
	return list
}

// The store rejects all calls for some time. Once it has been back for contactTime,
// each zone reads it or follows one that does, however small it is.
func TestStoreIsBack(t *testing.T) {
	for outage := 2 * time.Second; outage <= 9*time.Second; outage += 500 * time.Millisecond {
		for _, perZone := range []int{2, 3, 6} {
			t.Run(fmt.Sprintf("%s, zones of %d", outage, perZone), func(t *testing.T) {
				runFleet(t, 3, perZone, func(g *WithT, fl *fleet) {
					time.Sleep(4 * time.Second)
					fl.set(func() { fl.down = true })
					time.Sleep(outage)
					fl.set(func() { fl.down, fl.version = false, 2 })
					time.Sleep(contactTime)
					for _, mb := range fl.instances {
						g.Expect(mb.state.Load().Version).To(Equal(int64(2)), mb.self.Name)
					}
				})
			})
		}
	}
}

// freezeFirst stops the reader and the next candidates of the only zone, which come
// first in their order, and returns the others.
func (fl *fleet) freezeFirst(count int) []*member {
	first := candidates(fl.registry, fl.registry[0], func(string) bool { return true })[:count]
	var others []*member
	fl.set(func() {
		for _, me := range first {
			fl.frozen[me.Name] = true
		}
		for _, mb := range fl.instances {
			if !fl.frozen[mb.self.Name] {
				others = append(others, mb)
			}
		}
	})
	return others
}

// The reader and some of the next candidates stand still, at any moment of the calls
// that wait at them. The others have what changes then within changeBound.
func TestFollowersOfLostReaders(t *testing.T) {
	for _, ca := range []struct{ perZone, lost int }{{2, 1}, {3, 1}, {3, 2}, {12, 2}, {12, 5}} {
		for offset := range 10 {
			runFleet(t, 1, ca.perZone, func(g *WithT, fl *fleet) {
				time.Sleep(4*time.Second + time.Duration(offset)*100*time.Millisecond)
				others := fl.freezeFirst(ca.lost)
				fl.set(func() { fl.version = 2 })
				time.Sleep(changeBound)
				for _, mb := range others {
					g.Expect(mb.state.Load().Version).To(Equal(int64(2)), "%s, %d of %d lost, %d", mb.self.Name, ca.lost, ca.perZone, offset)
				}
			})
		}
	}
}

// The reader stands still, and an endpoint's entry is removed. The store did not fail:
// who takes the reader's place does not keep the endpoint as after an outage, though
// its own confirmation may be older than lapseTime by then.
func TestTakeoverReportsNoOutage(t *testing.T) {
	for offset := range 10 {
		runFleet(t, 1, 2, func(g *WithT, fl *fleet) {
			fl.set(func() { fl.latency = 200 * time.Millisecond })
			time.Sleep(4*time.Second + time.Duration(offset)*100*time.Millisecond)
			others := fl.freezeFirst(1)
			g.Expect(others[0].roster.View().Ready("s")).To(HaveLen(1))
			fl.set(func() { fl.removed = true })
			time.Sleep(changeBound)
			g.Expect(others[0].roster.View().Ready("s")).To(BeEmpty())
			g.Expect(others[0].log.StoreUnresponsive()).To(BeFalse())
		})
	}
}
