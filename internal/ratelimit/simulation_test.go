package ratelimit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/roster"
)

// The simulation runs the limiters of all instances in virtual time. Requests for
// one limited endpoint arrive at random, four times as many as it takes.

const (
	simulationStep = 5 * time.Millisecond
	simulationTime = 30 * time.Second
	// measuredFrom is when the limit has been known for longer than the bound on
	// how soon it must be kept.
	measuredFrom    = 8 * time.Second
	ruleSpan        = 4 * time.Second
	demandPerLimit  = 4.0
	simulatedRate   = 2.3
	faultAt         = 15 * time.Second
	faultLength     = 3 * time.Second
	heartbeatPeriod = time.Second
)

// simulatedInstance is one instance in the simulation.
type simulatedInstance struct {
	name    string
	limiter *Limiter
	// deniedUntil is what backpressure.Registry would know.
	deniedUntil time.Duration
	// stopped is set while the process does not run, isolated while it can't reach
	// other instances.
	stopped, isolated bool
	// side is the side of a partition on which the instance is.
	side int
}

// reaches reports whether messages of an instance arrive at another.
func (in *simulatedInstance) reaches(to *simulatedInstance) bool {
	return !in.stopped && !to.stopped && !in.isolated && !to.isolated && in.side == to.side
}

// simulation is a set of instances. It implements peer.Caller for them.
type simulation struct {
	boot      *boottime.Manual
	rng       *rand.Rand
	members   loadshare.Members
	instances []*simulatedInstance
	// lossRate is the share of messages and calls that get lost.
	lossRate float64
	sends    []time.Duration
	asks     int
}

// callerOf makes the calls of one instance.
type callerOf struct {
	si   *simulation
	from *simulatedInstance
}

var errLost = errors.New("simulated loss")

func (ca callerOf) Call(_ context.Context, address, _ string, args, reply any) error {
	ca.si.asks++
	for ix, in := range ca.si.instances {
		if addressOf(ix).String() != address {
			continue
		}
		if !ca.from.reaches(in) || ca.si.rng.Float64() < ca.si.lossRate {
			return errLost
		}
		return in.limiter.Allocator.Service().Take(args.(TakeArgs), reply.(*TakeReply))
	}
	return errLost
}

func addressOf(ix int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(ix >> 8), byte(ix)}), 7000)
}

func newSimulation(count int, seed uint64) *simulation {
	si := &simulation{boot: &boottime.Manual{}, rng: rand.New(rand.NewPCG(seed, 0))}
	si.boot.Advance(time.Hour)
	var list []loadshare.Member
	for ix := range count {
		in := &simulatedInstance{name: fmt.Sprintf("i%d", ix)}
		list = append(list, loadshare.Member{Name: in.name, Zone: fmt.Sprintf("z%d", ix%4), Address: addressOf(ix)})
		si.start(in, list[ix])
		si.instances = append(si.instances, in)
	}
	si.members.Set(list)
	return si
}

// start begins a new process of an instance.
func (si *simulation) start(in *simulatedInstance, self loadshare.Member) {
	peers := &Peers{Self: self, Members: &si.members, Boot: si.boot}
	in.limiter = &Limiter{Peers: peers, Allocator: &Allocator{Peers: peers, Boot: si.boot}, Caller: callerOf{si: si, from: in}, Boot: si.boot}
	in.deniedUntil = 0
}

// allocator returns the instance that divides the limit.
func (si *simulation) allocator() *simulatedInstance {
	vi := si.instances[0].limiter.Peers.View(limitedEndpoint.ID, limitedEndpoint.Zone)
	ix := slices.IndexFunc(si.instances, func(in *simulatedInstance) bool { return in.name == vi.Allocator.Name })
	return si.instances[ix]
}

func (si *simulation) exchangeHeartbeats() {
	for _, from := range si.instances {
		for _, to := range si.instances {
			if to != from && from.reaches(to) && si.rng.Float64() >= si.lossRate {
				to.limiter.Peers.Heard(from.name)
			}
		}
	}
}

var limitedEndpoint = roster.Endpoint{ID: "e1", Zone: "z1"}

// run simulates and calls fault at each step. It returns the largest number of
// requests in ruleSpan and the used share of the limit.
func (si *simulation) run(fault func(now time.Duration)) (busiest int, used float64) {
	limit := backpressure.Limit{Rate: simulatedRate, Named: true}
	begun := si.boot.Now()
	for now := time.Duration(0); now < simulationTime; now += simulationStep {
		fault(now)
		if now%heartbeatPeriod == 0 {
			si.exchangeHeartbeats()
		}
		if si.rng.Float64() < demandPerLimit*simulatedRate*simulationStep.Seconds() {
			si.request(limit, begun)
		}
		for _, in := range si.instances {
			if !in.stopped && now%(200*time.Millisecond) == 0 {
				in.limiter.Peers.Check()
			}
		}
		si.boot.Advance(simulationStep)
	}
	return si.measure()
}

// measure returns the largest number of requests in ruleSpan and the used share of
// the limit.
func (si *simulation) measure() (busiest int, used float64) {
	count := 0
	for ix, at := range si.sends {
		if at < measuredFrom {
			continue
		}
		count++
		within := 1
		for _, later := range si.sends[ix+1:] {
			if later-at < ruleSpan {
				within++
			}
		}
		busiest = max(busiest, within)
	}
	return busiest, float64(count) / (simulatedRate * (simulationTime - measuredFrom).Seconds())
}

// request lets a random instance send one request if it may.
func (si *simulation) request(limit backpressure.Limit, begun time.Duration) {
	in := si.instances[si.rng.IntN(len(si.instances))]
	now := si.boot.Now()
	if in.stopped || now < in.deniedUntil {
		return
	}
	wait, taken := in.limiter.Take(context.Background(), limitedEndpoint, limit, 0)
	if !taken {
		in.deniedUntil = now + wait
		return
	}
	si.sends = append(si.sends, now-begun)
}

// faults are the failures under which the sum of all instances must stay within the
// limit. Each acts on the allocator, which is the worst choice.
var faults = []struct {
	name string
	// leastUsed is the share of the limit that must be used.
	leastUsed float64
	lossRate  float64
	begin     func(si *simulation, al *simulatedInstance)
	end       func(si *simulation, al *simulatedInstance)
}{
	{name: "calm", leastUsed: 0.9},
	{name: "a tenth of the messages is lost", leastUsed: 0.5, lossRate: 0.1},
	{
		name: "the allocator is paused", leastUsed: 0.6,
		begin: func(_ *simulation, al *simulatedInstance) { al.stopped = true },
		end:   func(_ *simulation, al *simulatedInstance) { al.stopped = false },
	},
	{
		name: "the allocator is cut off", leastUsed: 0.6,
		begin: func(_ *simulation, al *simulatedInstance) { al.isolated = true },
		end:   func(_ *simulation, al *simulatedInstance) { al.isolated = false },
	},
	{
		name: "the allocator restarts", leastUsed: 0.6,
		begin: func(_ *simulation, al *simulatedInstance) { al.stopped = true },
		end: func(si *simulation, al *simulatedInstance) {
			al.stopped = false
			si.start(al, al.limiter.Peers.Self)
		},
	},
	{
		name: "the allocator restarts at once", leastUsed: 0.6,
		begin: func(si *simulation, al *simulatedInstance) { si.start(al, al.limiter.Peers.Self) },
	},
	{
		name: "half of the messages are lost for a while", leastUsed: 0.6,
		begin: func(si *simulation, _ *simulatedInstance) { si.lossRate = 0.5 },
		end:   func(si *simulation, _ *simulatedInstance) { si.lossRate = 0 },
	},
	{
		name: "half of the instances are cut off from the other half for the rest of the time", leastUsed: 0.6,
		begin: func(si *simulation, _ *simulatedInstance) {
			for ix, in := range si.instances {
				in.side = ix % 2
			}
		},
	},
	{
		name: "all instances restart", leastUsed: 0.6,
		begin: func(si *simulation, _ *simulatedInstance) {
			for _, in := range si.instances {
				si.start(in, in.limiter.Peers.Self)
			}
		},
	},
}

// Guards against overload of endpoints that return in cold start: in no second do
// they get more than they can process from all instances together, and they get no less
// than 13 in 14 of it while there is more demand.
func TestColdEndpointsGetTheirShare(t *testing.T) {
	const rate = 3.0
	for _, count := range []int{1, 95} {
		g := NewWithT(t)
		si := newSimulation(count, 20261204)
		var sends []time.Duration
		for now := time.Duration(0); now < 20*time.Second; now += simulationStep {
			if now%heartbeatPeriod == 0 {
				si.exchangeHeartbeats()
			}
			in := si.instances[si.rng.IntN(count)]
			in.limiter.Peers.Check()
			if _, taken := in.limiter.Take(context.Background(), limitedEndpoint, backpressure.Limit{Rate: rate, Named: true, Paced: true}, 0); taken && now > 6*time.Second {
				sends = append(sends, now)
			}
			for _, other := range si.instances {
				other.limiter.Peers.Check()
			}
			si.boot.Advance(simulationStep)
		}
		for ix := int(rate); ix < len(sends); ix++ {
			g.Expect(sends[ix] - sends[ix-int(rate)]).To(BeNumerically(">=", time.Second))
		}
		g.Expect(len(sends)).To(BeNumerically(">=", 39), "3 requests/s over 14 s give at least 39 starts")
	}
}

// An endpoint that named a rate limit gets no more than that from all instances
// together, in all of these events.
func TestLimitHoldsForAnyNumberOfInstances(t *testing.T) {
	for _, count := range []int{1, 6, 95, 340} {
		for _, fa := range faults {
			t.Run(fmt.Sprintf("%d instances, %s", count, fa.name), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				si := newSimulation(count, 20261204)
				si.lossRate = fa.lossRate
				var al *simulatedInstance
				busiest, used := si.run(func(now time.Duration) {
					if now == faultAt && fa.begin != nil {
						al = si.allocator()
						fa.begin(si, al)
					}
					if now == faultAt+faultLength && fa.end != nil {
						fa.end(si, al)
					}
				})
				t.Logf("busiest %v: %d requests, limit %.1f, allowed %.1f; used %.2f; %d asks", ruleSpan, busiest,
					simulatedRate*ruleSpan.Seconds(), 1.5*simulatedRate*ruleSpan.Seconds()+5, used, si.asks)
				g.Expect(float64(busiest)).To(BeNumerically("<=", simulatedRate*ruleSpan.Seconds()+maxBurst+1))
				if count > 1 {
					g.Expect(used).To(BeNumerically(">=", fa.leastUsed))
				}
			})
		}
	}
}
