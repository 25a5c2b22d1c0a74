package relay

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

func TestCandidates(t *testing.T) {
	list := []loadshare.Member{
		{Name: "slow", Zone: "a", LinkMbps: 10}, {Name: "fast", Zone: "a", LinkMbps: 200}, {Name: "other", Zone: "b", LinkMbps: 1000},
	}
	for _, ca := range []struct {
		name  string
		alive []string
		want  []string
	}{
		{"the fastest link of the zone first", []string{"slow", "fast", "other"}, []string{"fast", "slow", "self"}},
		{"only instances that were seen recently", []string{"slow", "other"}, []string{"slow", "self"}},
		{"this instance if no other is alive", nil, []string{"self"}},
	} {
		t.Run(ca.name, func(t *testing.T) {
			self := loadshare.Member{Name: "self", Zone: "a", LinkMbps: 1}
			var names []string
			for _, me := range candidates(list, self, func(name string) bool { return slices.Contains(ca.alive, name) }) {
				names = append(names, me.Name)
			}
			NewWithT(t).Expect(names).To(Equal(ca.want))
		})
	}
	alone := candidates(nil, loadshare.Member{Name: "self"}, func(string) bool { return true })
	NewWithT(t).Expect(alone).To(HaveLen(1), "an instance that is not registered yet")
}

// The instances of a zone start with different ones of the other zones.
func TestReadersOfOtherZones(t *testing.T) {
	g := NewWithT(t)
	list := []loadshare.Member{
		{Name: "b1", Zone: "b", LinkMbps: 10}, {Name: "b2", Zone: "b", LinkMbps: 20}, {Name: "c1", Zone: "c", LinkMbps: 5}, {Name: "d1", Zone: "d", LinkMbps: 5},
	}
	alive := func(name string) bool { return name != "d1" }
	first := make(map[string]int)
	for ix := range 40 {
		readers := readersOf(list, loadshare.Member{Name: fmt.Sprint("self-", ix), Zone: "a"}, alive)
		g.Expect(readers).To(ConsistOf(HaveField("Name", "b2"), HaveField("Name", "c1")))
		first[readers[0].Name]++
	}
	g.Expect(first).To(HaveLen(2))
}

// node is the relayed state of one instance.
type node struct {
	roster roster.Roster
	state  routing.State
	boot   *boottime.Manual
	clock  *clockwork.FakeClock
	log    Log
}

func newNode() *node {
	no := &node{boot: &boottime.Manual{}, clock: clockwork.NewFakeClock()}
	no.boot.Advance(time.Hour)
	no.roster = roster.Roster{Clock: no.clock, Log: zerolog.Nop(), OnChange: func() { no.log.Observe() }}
	no.state = routing.State{Clock: no.boot}
	no.log = Log{Boot: no.boot, Roster: &no.roster, State: &no.state, Now: no.clock.Now, Epoch: 7}
	return no
}

func (no *node) put(id string, change ...func(*roster.Endpoint)) {
	en := roster.Endpoint{ID: id, Service: "s", Zone: "a"}
	for _, ch := range change {
		ch(&en)
	}
	no.roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: id, Value: &en}}})
}

func (no *node) remove(id string) {
	no.roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: id}, Removed: true}})
}

func (no *node) ask(qu Query) Update { return no.log.Wait(context.Background(), qu) }

func TestLogTellsWhatChanged(t *testing.T) {
	g := NewWithT(t)
	no := newNode()
	no.put("e1")
	no.put("e2")
	up := no.ask(Query{})
	g.Expect(up.Full).To(BeTrue())
	g.Expect(up.Endpoints).To(HaveLen(2))
	no.put("e2", func(en *roster.Endpoint) { en.Leaving = true })
	no.remove("e1")
	next := no.ask(Query{Epoch: up.Epoch, Sequence: up.Sequence})
	g.Expect(next.Full).To(BeFalse())
	g.Expect(next.Endpoints).To(HaveLen(1))
	g.Expect(next.Endpoints[0].Leaving).To(BeTrue())
	g.Expect(next.Removed).To(Equal([]string{"e1"}))
	none := no.ask(Query{Epoch: next.Epoch, Sequence: next.Sequence, Wait: time.Millisecond})
	g.Expect(none.Endpoints).To(BeEmpty())
	g.Expect(none.Full).To(BeFalse())
}

// A query that is too far behind, or refers to another epoch of the reader, gets
// a full update.
func TestLogTellsAll(t *testing.T) {
	g := NewWithT(t)
	no := newNode()
	no.put("e1")
	first := no.ask(Query{})
	for ix := range 3 * maxHistory {
		no.put("e2", func(en *roster.Endpoint) { en.Slots = ix })
	}
	g.Expect(no.ask(Query{Epoch: first.Epoch, Sequence: first.Sequence}).Full).To(BeTrue())
	now := no.ask(Query{})
	g.Expect(no.ask(Query{Epoch: 6, Sequence: now.Sequence}).Full).To(BeTrue())
	g.Expect(no.ask(Query{Epoch: now.Epoch, Sequence: now.Sequence + 5}).Full).To(BeTrue())
}

func TestLogWakesWaiters(t *testing.T) {
	g := NewWithT(t)
	no := newNode()
	no.put("e1")
	up := no.ask(Query{})
	got := make(chan Update, 1)
	go func() { got <- no.ask(Query{Epoch: up.Epoch, Sequence: up.Sequence, Wait: time.Minute}) }()
	time.Sleep(10 * time.Millisecond)
	no.put("e2")
	var next Update
	g.Eventually(got, "5s").Should(Receive(&next))
	g.Expect(next.Endpoints).To(HaveLen(1))
}

func TestColdTimeIsToldAsWhatIsLeft(t *testing.T) {
	g := NewWithT(t)
	no := newNode()
	no.put("e1", func(en *roster.Endpoint) { en.ColdFor = time.Second })
	no.clock.Advance(400 * time.Millisecond)
	up := no.ask(Query{})
	g.Expect(up.Endpoints[0].ColdFor).To(Equal(600 * time.Millisecond))
	g.Expect(up.Endpoints[0].ColdUntil).To(BeZero())
}

// An instance must not follow a candidate whose state is too old, or that is too
// many instances away from the store.
func TestStatusCheck(t *testing.T) {
	for _, ca := range []struct {
		name   string
		status Status
		err    error
	}{
		{"fresh", Status{Direct: true}, nil},
		{"follows a reader itself", Status{Hops: 1}, nil},
		{"follows a reader of a reader of a reader", Status{Hops: maxHops + 1}, errTooFar},
		{"old configuration", Status{Direct: true, ConfigurationAge: maxConfigurationAge + 1}, errStale},
		{"old configuration, follows a reader", Status{Hops: 1, ConfigurationAge: maxConfigurationAge + 1}, errIdle},
		{"old endpoints", Status{Direct: true, EndpointsAge: maxEndpointsAge + 1}, errStale},
		{"does not read the store yet", Status{ConfigurationAge: unknownAge}, errIdle},
		{"cannot read the store", Status{Unable: true}, errUnable},
		{"cannot read the store, but follows a reader", Status{Unable: true, Hops: 1}, nil},
	} {
		t.Run(ca.name, func(t *testing.T) {
			err := ca.status.check()
			if ca.err == nil {
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
				return
			}
			NewWithT(t).Expect(err).To(MatchError(ca.err))
		})
	}
}

// A relayed confirmation is never younger than the reader's own.
func TestProofsAgeOnTheWay(t *testing.T) {
	g := NewWithT(t)
	no := newNode()
	fetched := 0
	sw := &Switch{State: &no.state, Roster: &no.roster, Boot: no.boot, Fetch: func(context.Context) error {
		fetched++
		no.state.Put(routing.New(routing.Spec{Version: 3}))
		return nil
	}}
	sw.Caller = &caller{fail: errors.New("reader cannot provide the configuration")}
	begun := no.boot.Now()
	no.boot.Advance(1200 * time.Millisecond) // 1 s of this is the time that the reader held the call
	up := Update{Version: 3, ConfigurationAge: 300 * time.Millisecond, Held: time.Second}
	g.Expect(sw.confirm(context.Background(), loadshare.Member{}, up, begun+up.Held)).To(Succeed())
	g.Expect(fetched).To(Equal(1), "a version that the reader cannot provide is fetched from the store")
	age, confirmed := no.state.Age()
	g.Expect(confirmed).To(BeTrue())
	g.Expect(age).To(Equal(500*time.Millisecond), "300 ms at the reader and at most 200 ms on the way")
	g.Expect(sw.confirm(context.Background(), loadshare.Member{}, up, begun+up.Held)).To(Succeed())
	g.Expect(fetched).To(Equal(1))
}

// A confirmation does not count without the configuration that it refers to,
// which may revoke a key.
func TestProofOfAnUnknownVersion(t *testing.T) {
	g := NewWithT(t)
	no := newNode()
	no.state.Put(routing.New(routing.Spec{Version: 2}))
	sw := &Switch{State: &no.state, Boot: no.boot, Fetch: func(context.Context) error { return nil }, Caller: &caller{fail: errors.New("reader unreachable")}}
	g.Expect(sw.confirm(context.Background(), loadshare.Member{}, Update{Version: 3}, no.boot.Now())).To(Succeed())
	_, confirmed := no.state.Age()
	g.Expect(confirmed).To(BeFalse())
	sw.Fetch = func(context.Context) error { return errors.New("store unreachable") }
	sw.Caller = &caller{fail: errors.New("reader unreachable")}
	g.Expect(sw.confirm(context.Background(), loadshare.Member{}, Update{Version: 3}, no.boot.Now())).NotTo(Succeed())
}

// An instance fetches the configuration from the reader and not from the store.
func TestReaderHandsOnTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	reader, no := newNode(), newNode()
	reader.state.Put(routing.New(routing.Spec{Version: 3, Source: []byte("three")}))
	sw := &Switch{
		State: &no.state, Boot: no.boot, Log: &no.log, Caller: &caller{log: &reader.log}, Logger: zerolog.Nop(),
		Fetch: func(context.Context) error { return errors.New("unexpected call to Fetch") },
		Decode: func(source []byte) (*routing.Configuration, error) {
			g.Expect(string(source)).To(Equal("three"))
			return routing.New(routing.Spec{Version: 3}), nil
		},
	}
	g.Expect(sw.confirm(context.Background(), loadshare.Member{}, Update{Version: 3}, no.boot.Now())).To(Succeed())
	g.Expect(no.state.Load().Version).To(Equal(int64(3)))
	_, confirmed := no.state.Age()
	g.Expect(confirmed).To(BeTrue())
}

// A reader reports at once that the store stopped answering it, and that it
// answers again.
func TestLogTellsOfSilence(t *testing.T) {
	g := NewWithT(t)
	no := newNode()
	no.put("e1")
	up := no.ask(Query{})
	g.Expect(up.Silent).To(BeFalse())
	no.roster.CallFailed(errors.New("down"))
	outage := no.ask(Query{Epoch: up.Epoch, Sequence: up.Sequence, Wait: time.Hour})
	g.Expect(outage.Silent).To(BeTrue())
	g.Expect(outage.Endpoints).To(BeEmpty())
	no.roster.CallAnswered(0)
	g.Expect(no.ask(Query{Epoch: outage.Epoch, Sequence: outage.Sequence, Wait: time.Hour}).Silent).To(BeFalse())
}

// Instances are upgraded one after the other. One of an earlier version sends the
// ages and Direct as it always did, and must not count as fresh for lack of them.
func TestUpdateOfEarlierVersion(t *testing.T) {
	g := NewWithT(t)
	type earlierUpdate struct {
		Epoch            int64
		Sequence         uint64
		Direct           bool
		Silent           bool
		Full             bool
		Version          int64
		ConfigurationAge time.Duration
		EndpointsAge     time.Duration
		Held             time.Duration
	}
	var buffer bytes.Buffer
	sent := earlierUpdate{Epoch: 7, Direct: true, Version: 3, ConfigurationAge: 5 * time.Second, EndpointsAge: time.Second}
	g.Expect(gob.NewEncoder(&buffer).Encode(sent)).To(Succeed())
	var up Update
	g.Expect(gob.NewDecoder(&buffer).Decode(&up)).To(Succeed())
	g.Expect(up.status()).To(Equal(Status{Direct: true, ConfigurationAge: 5 * time.Second, EndpointsAge: time.Second}))
	g.Expect(up.status().check()).To(MatchError(errStale))
	g.Expect(up.answeredAge()).To(Equal(5*time.Second), "it does not tell when the store answered")
}
