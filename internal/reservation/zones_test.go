package reservation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// leaving is a placement.Zones by which all requests leave for z1.
type leaving struct{}

func (leaving) Active() bool { return true }

func (leaving) Admit(placement.Demand, string) placement.Admission {
	return placement.Admission{Restricted: true, Leaves: true, Lenders: []string{"z1"}}
}

func (leaving) Sent(roster.Endpoint, string) {}

// A long answer that the zone's policy lets leave is offered to the other zone, for any
// fixed cost of another zone. There, the policy is not asked again.
func TestPolicyOfZonesDecides(t *testing.T) {
	g := NewWithT(t)
	for _, ca := range []struct {
		zones placement.Zones
		other string
	}{{nil, ""}, {leaving{}, "z1"}} {
		fl := newFleet(minInstances, 2, 2)
		al := fl.clients[fl.allocator(0, "z0")].Allocator
		al.Tracker.Zones = ca.zones
		re := request("r", 3000, 1000)
		re.MaxWait = time.Second
		reply, _ := al.takeOrWait(TakeArgs{Request: re, Zone: "z0", From: "i0"})
		g.Expect(reply.Decision).To(Equal(Granted))
		g.Expect(reply.OtherZone).To(Equal(ca.other))
		other := fl.clients[fl.allocator(0, "z1")].Allocator
		other.Tracker.Zones = ca.zones
		reply, _ = other.takeOrWait(TakeArgs{Request: re, Zone: "z1", From: "i0", Foreign: true})
		g.Expect(reply.Decision).To(Equal(Granted))
		g.Expect(reply.OtherZone).To(BeEmpty())
	}
}
