package reservation

import (
	"bytes"
	"container/heap"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// The simulation plays requests that arrive at all instances at random, in virtual time.
// Loads travel as loadshare sends them.

const (
	simulatedTime = 4 * time.Second
	wayWithin     = 500 * time.Microsecond
	minInterval   = 10 * time.Millisecond
	readRate      = 7.0 // prompt tokens per millisecond
	// arrivalsPerEngine is the rate of requests, in 1/s, at which most engines read.
	arrivalsPerEngine = 1.8
	linkBytes         = 10e6 / 8
	// maxMeetings is the goal: of 100 requests, those that meet a prompt being read while
	// another engine is free.
	maxMeetings = 2.0
)

// way is a way to choose an engine.
type way string

const (
	wayAlone  way = "alone"
	wayTwo    way = "best of two at random"
	wayZone   way = "the zone's allocator"
	wayNobody way = ""
)

type event struct {
	at time.Duration
	do func()
}

type events []event

func (es events) Len() int           { return len(es) }
func (es events) Less(a, b int) bool { return es[a].at < es[b].at }
func (es events) Swap(a, b int)      { es[a], es[b] = es[b], es[a] }
func (es *events) Push(x any)        { *es = append(*es, x.(event)) }
func (es *events) Pop() any {
	last := len(*es) - 1
	ev := (*es)[last]
	*es = (*es)[:last]
	return ev
}

type simulation struct {
	*fleet
	t         *testing.T
	rng       *rand.Rand
	queue     events
	start     time.Duration
	zones     int
	sentAt    []time.Duration
	farSentAt []time.Duration
	planned   []bool
	// readUntil is until when each engine reads prompts, running how many requests it has.
	readUntil map[string]time.Duration
	running   map[string]int
	requests  int
	meetings  int
	waits     time.Duration
}

func (si *simulation) after(by time.Duration, do func()) {
	heap.Push(&si.queue, event{at: si.boot.Now() + by, do: do})
}

func (si *simulation) run() {
	for len(si.queue) > 0 {
		ev := heap.Pop(&si.queue).(event)
		if ev.at-si.start > simulatedTime {
			return
		}
		si.boot.Advance(max(ev.at-si.boot.Now(), 0))
		ev.do()
	}
}

// announce sends the loads of an instance, as soon as loadshare would.
func (si *simulation) announce(from int) {
	if si.planned[from] {
		return
	}
	si.planned[from] = true
	si.after(max(si.sentAt[from]+minInterval-si.boot.Now(), 0), func() {
		si.planned[from] = false
		now := si.boot.Now()
		cl := si.clients[from]
		settled, loads := cl.Settled(), cl.Allocator.Tracker.Loads()
		far := now-si.farSentAt[from] >= min(time.Duration(len(si.clients)*(si.zones-1)/si.zones)*4*time.Millisecond, time.Second)
		if far {
			si.farSentAt[from] = now
		}
		si.sentAt[from] = now
		si.after(wayWithin, func() {
			for to, other := range si.clients {
				if to != from && (far || to%si.zones == from%si.zones) {
					other.Allocator.Tracker.SetRemoteLoads(cl.Peers.Self.Name, loads)
					other.Settle(settled)
				}
			}
		})
	})
}

// choose returns an engine for a request by one of the ways, and after how long it is known.
func (si *simulation) choose(wa way, from int, re Request) (string, *Grant, time.Duration) {
	lt := si.clients[from].Allocator.Tracker
	list := si.engines
	switch wa {
	case wayZone:
		calls := si.calls.Load()
		gr, err := si.clients[from].Reserve(si.t.Context(), re)
		if err != nil {
			si.t.Fatal(err)
		}
		if gr != nil {
			return gr.Endpoint, gr, time.Duration(2*(si.calls.Load()-calls)) * wayWithin
		}
	case wayTwo:
		near := inZone(list, zoneOf(from, si.zones))
		list = []roster.Endpoint{near[si.rng.IntN(len(near))], near[si.rng.IntN(len(near))]}
	case wayAlone, wayNobody:
	}
	ch, _ := lt.Choose(list, re.demand(), nil)
	return ch.Endpoint.ID, nil, 0
}

// arrive plays one request.
func (si *simulation) arrive(wa way) {
	from, prompt, output := si.rng.IntN(len(si.clients)), 800+si.rng.IntN(3200), 8
	if si.rng.IntN(2) == 0 {
		output = 200 + si.rng.IntN(400)
	}
	si.requests++
	id, gr, wait := si.choose(wa, from, request(fmt.Sprint(si.requests), prompt, output))
	si.waits += wait
	si.after(wait, func() {
		if si.readUntil[id] > si.boot.Now() && si.anotherIsFree(id) {
			si.meetings++
		}
		ti := si.clients[from].Allocator.Tracker.Begin(roster.Endpoint{ID: id}, placement.Demand{Engine: &engine, Prompt: prompt, Output: output})
		gr.Settle()
		si.announce(from)
		si.running[id]++
		read := max(si.readUntil[id], si.boot.Now()) + time.Duration(float64(prompt)/readRate*float64(time.Millisecond))
		si.readUntil[id] = read
		si.after(read-si.boot.Now(), func() {
			ti.Started()
			si.announce(from)
			si.after(time.Duration(output)*5*time.Millisecond, func() {
				si.running[id]--
				ti.End(placement.Done)
				si.announce(from)
			})
		})
	})
}

// anotherIsFree reports whether an engine of the same zone reads nothing and runs no more.
func (si *simulation) anotherIsFree(id string) bool {
	zone := ""
	for _, en := range si.engines {
		if en.ID == id {
			zone = en.Zone
		}
	}
	for _, en := range si.engines {
		if en.Zone == zone && si.readUntil[en.ID] <= si.boot.Now() && si.running[en.ID] <= si.running[id] {
			return true
		}
	}
	return false
}

func simulate(t *testing.T, wa way, size, zones int) *simulation {
	t.Helper()
	engines := max(size/2, 9)
	si := &simulation{
		fleet: newFleet(size, zones, engines), t: t, rng: rand.New(rand.NewPCG(7, 7)), zones: zones, readUntil: map[string]time.Duration{}, running: map[string]int{},
		sentAt: make([]time.Duration, size), farSentAt: make([]time.Duration, size), planned: make([]bool, size),
	}
	si.start = si.boot.Now()
	var next func()
	next = func() {
		si.arrive(wa)
		si.after(time.Duration(si.rng.ExpFloat64()*float64(time.Second)/(arrivalsPerEngine*float64(engines))), next)
	}
	next()
	// Hearing each other is not what is measured.
	var beat func()
	beat = func() {
		si.pass(0, nil)
		for _, cl := range si.clients {
			for _, other := range si.clients {
				if cl != other {
					cl.Peers.Heard(other.Peers.Self.Name)
				}
			}
		}
		si.after(2*time.Second, beat)
	}
	beat()
	si.calls.Store(0)
	si.run()
	return si
}

func TestRequestsDoNotMeet(t *testing.T) {
	for _, size := range []int{6, 95, 340} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for _, wa := range []way{wayAlone, wayTwo, wayZone} {
				si := simulate(t, wa, size, 3)
				meetings := 100 * float64(si.meetings) / float64(si.requests)
				perSecond := float64(si.calls.Load()) / simulatedTime.Seconds()
				t.Logf("%d instances, %s: %d requests, %.1f of 100 meet, mean wait %s, %.1f calls/s", size, wa, si.requests, meetings, si.waits/time.Duration(si.requests), perSecond)
				if wa != wayZone || size/3 < minInstances {
					continue
				}
				g.Expect(meetings).To(BeNumerically("<", maxMeetings))
				bytes := perSecond * messageBytes()
				t.Logf("%.0f bytes/s at all allocators together", bytes)
				g.Expect(bytes / 3).To(BeNumerically("<", linkBytes/20))
			}
		})
	}
}

// messageBytes returns the size of a call and its answer, with a dozen exclusions.
func messageBytes() float64 {
	ar := TakeArgs{Request: request("9c41d07be2a35f68", 3000, 400), Zone: "zone-a", From: "edge-zone-a-1"}
	for ix := range 12 {
		ar.Request.Exclude = append(ar.Request.Exclude, fmt.Sprint("i-7f3a91c2", ix))
	}
	var buffer bytes.Buffer
	en := gob.NewEncoder(&buffer)
	encode := func() {
		_, _ = en.Encode(ar), en.Encode(TakeReply{Decision: Granted, Grant: 1 << 60, Endpoint: "i-7f3a91c2aa", Cost: 12.5})
	}
	encode()
	first := buffer.Len()
	encode()
	return float64(buffer.Len() - first)
}
