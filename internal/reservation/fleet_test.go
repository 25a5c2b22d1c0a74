package reservation

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

var engine = routing.Engine{Slots: 24, MemoryTokens: 27_000}

// fleet is a number of instances that call each other without a network.
type fleet struct {
	boot    *boottime.Manual
	clients []*Client
	engines []roster.Endpoint
	// fails says what happens to a call between two instances: an error without the call,
	// or, if lost is set, after it.
	fails func(from, to int) (lost bool, err error)
	calls atomic.Int64
}

type caller struct {
	fl   *fleet
	from int
}

var errCut = errors.New("partitioned")

func (ca caller) Call(_ context.Context, address, method string, args, reply any) error {
	ca.fl.calls.Add(1)
	to := int(netip.MustParseAddrPort(address).Port())
	se := ca.fl.clients[to].Allocator.Service()
	if method == ServiceName+".Leave" {
		return se.Leave(args.(LeaveArgs), reply.(*LeaveReply))
	}
	if ca.fl.fails != nil {
		lost, err := ca.fl.fails(ca.from, to)
		if lost && err != nil {
			_ = se.Take(args.(TakeArgs), new(TakeReply))
		}
		if err != nil {
			return err
		}
	}
	return se.Take(args.(TakeArgs), reply.(*TakeReply))
}

func zoneOf(ix, zones int) string { return fmt.Sprint("z", ix%zones) }

// newFleet returns instances that have known each other for long enough.
func newFleet(size, zones, engines int) *fleet {
	fl := &fleet{boot: &boottime.Manual{}}
	fl.boot.Advance(time.Hour)
	for ix := range engines {
		fl.engines = append(fl.engines, roster.Endpoint{ID: fmt.Sprint("e", ix), Zone: zoneOf(ix, zones), Slots: engine.Slots})
	}
	var list []loadshare.Member
	for ix := range size {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(ix))
		list = append(list, loadshare.Member{Name: fmt.Sprint("i", ix), Zone: zoneOf(ix, zones), Address: address, LinkMbps: 10 + 90*(ix/zones%2)})
	}
	for ix, me := range list {
		members := &loadshare.Members{}
		members.Set(list)
		pe := &ratelimit.Peers{Self: me, Members: members, Boot: fl.boot}
		lt := &placement.LoadTracker{Clock: clockwork.NewFakeClock(), Zone: me.Zone, Instance: me.Name}
		al := &Allocator{Peers: pe, Tracker: lt, Ready: func(string) []roster.Endpoint { return fl.engines }, Boot: fl.boot, Clock: clockwork.NewRealClock(), Wake: make(chan struct{}, 1)}
		fl.clients = append(fl.clients, &Client{Peers: pe, Allocator: al, Caller: caller{fl: fl, from: ix}, Boot: fl.boot})
	}
	fl.pass(4*time.Second, nil)
	return fl
}

// pass lets time pass, in which instances exchange messages unless cut says otherwise.
func (fl *fleet) pass(span time.Duration, cut func(from, to int) bool) {
	const step = 500 * time.Millisecond
	for ; span > 0; span -= step {
		fl.boot.Advance(min(step, span))
		for to, cl := range fl.clients {
			cl.Peers.Check()
			for from, other := range fl.clients {
				if from != to && (cut == nil || !cut(from, to)) {
					cl.Peers.Heard(other.Peers.Self.Name)
				}
			}
		}
	}
}

// allocator returns the number of the instance that decides for a zone, as another sees it.
func (fl *fleet) allocator(from int, zone string) int {
	return int(fl.clients[from].Peers.Zone(zone, "pool").Allocator.Address.Port())
}

func request(id string, prompt, output int) Request {
	return Request{
		ID: id, Service: "pool", Engine: engine, Prompt: prompt, Output: output,
		OnTime: 1500 * time.Millisecond, Remaining: 6 * time.Second, MaxWait: 3 * time.Second,
	}
}

// reserve asks for an engine at an instance.
func (fl *fleet) reserve(t *testing.T, from int) *Grant {
	t.Helper()
	gr, err := fl.clients[from].Reserve(t.Context(), request("r", 2000, 100))
	if err != nil {
		t.Fatal(err)
	}
	return gr
}

// running returns how many requests an instance counts at all engines together.
func (fl *fleet) running(at int) int {
	lt, sum := fl.clients[at].Allocator.Tracker, 0
	for _, en := range fl.engines {
		ch, _ := lt.Choose([]roster.Endpoint{en}, placement.Demand{Engine: &engine}, nil)
		sum += ch.Load.Running
	}
	return sum
}
