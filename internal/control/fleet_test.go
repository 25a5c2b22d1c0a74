package control_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/control"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/peer/peerfake"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

func init() {
	// A fixed seed makes runs of CI reproducible.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "25")
}

var zones = []string{"buk-gu", "dalseo", "gyeongsan", "suseong"}

// fleet simulates a deployment in one process: real controllers with a fake
// platform and an in-memory transport. It runs inside a synctest bubble, which
// provides the virtual time.
type fleet struct {
	t     testing.TB
	clock clockwork.Clock
	store *platformfake.Store
	net   *peerfake.Net
	nodes []*node
	ids   int

	mu sync.Mutex
}

// node is one instance.
type node struct {
	*control.Control
	store   *platformfake.Store
	holder  snapshot.Holder[kind.Configuration]
	granter admission.Granter
	cancel  context.CancelFunc
	ended   chan struct{}
	up      bool
}

func document(endpoints int) kind.Document {
	doc := kind.Document{
		Version: 1, Halves: []kind.Half{{Name: "west"}, {Name: "east"}},
		Services: []kind.Service{{Name: "filbert-pool", Type: kind.ServiceModel, Model: "filbert"}},
		Teams:    []kind.Team{{Name: "analysts", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken("a")}}},
	}
	for _, zone := range zones {
		doc.Zones = append(doc.Zones, kind.Zone{Name: zone, Region: "yeongnam", State: kind.ZoneServing})
	}
	for ix := range endpoints {
		doc.Endpoints = append(doc.Endpoints, kind.Endpoint{
			Name: fmt.Sprintf("engine-%d", ix), Service: "filbert-pool", Zone: zones[ix%len(zones)], URL: "http://127.0.0.1:1",
			State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 100, ColdSequences: 4, MemoryTokens: 1000},
		})
	}
	return doc
}

func newFleet(t testing.TB, instances, endpoints int) *fleet {
	fl := &fleet{t: t, clock: clockwork.NewRealClock(), store: platformfake.New()}
	fl.net = peerfake.New(fl.clock)
	fl.net.IntraZoneDelay, fl.net.InterZoneDelay = 500*time.Microsecond, time.Millisecond
	cf, err := kind.NewConfiguration(document(endpoints))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := configuration.Publish(t.Context(), fl.store, 0, cf); err != nil {
		t.Fatal(err)
	}
	for range instances {
		fl.start()
	}
	return fl
}

// start starts another instance and adds it to the platform's list.
func (fl *fleet) start() *node {
	ix := len(fl.nodes)
	self := member.Member{
		Name: fmt.Sprintf("entry-%d", ix), Zone: zones[ix%len(zones)],
		Peer: fmt.Sprintf("10.0.%d.%d:7100", ix/200, ix%200), Started: fl.clock.Now(),
	}
	no := &node{ended: make(chan struct{}), up: true, store: fl.store.Connect()}
	var ctx context.Context
	ctx, no.cancel = context.WithCancel(fl.t.Context())
	no.Control = &control.Control{
		Self: self, Store: no.store, Caller: fl.net.Caller(self.Peer), Holder: &no.holder, Clock: fl.clock, Log: zerolog.Nop(),
		Stop: func() { go fl.kill(no) },
	}
	if ix > 0 {
		no.Seeds = []string{fl.nodes[0].Self.Peer, fl.nodes[len(fl.nodes)/2].Self.Peer}
	}
	no.Build()
	no.Plans.NewID = fl.newID
	no.granter = no.CountGrants(&admission.LocalGranter{Configuration: &no.holder})
	fl.net.Listen(self.Peer, self.Zone, no.Services())
	fl.nodes = append(fl.nodes, no)
	fl.list()
	go func() {
		defer close(no.ended)
		gr := controller.Group{Controllers: no.Controllers()}
		_ = gr.Run(ctx)
	}()
	return no
}

func (fl *fleet) newID() string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.ids++
	return fmt.Sprintf("p%03d", fl.ids)
}

// list updates the platform's list of instances to those that run.
func (fl *fleet) list() {
	var list []platform.Instance
	for _, no := range fl.nodes {
		if no.up {
			list = append(list, platform.Instance{Name: no.Self.Name, Zone: no.Self.Zone, State: platform.InstanceLive, Peer: no.Self.Peer})
		}
	}
	fl.store.SetInstances(list)
}

// kill stops an instance without a graceful shutdown.
func (fl *fleet) kill(no *node) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !no.up {
		return
	}
	no.up = false
	fl.net.Close(no.Self.Peer)
	no.cancel()
	fl.list()
}

// stop stops all instances and waits for them, since a synctest bubble must end
// without running goroutines.
func (fl *fleet) stop() {
	for _, no := range fl.nodes {
		no.cancel()
	}
	for _, no := range fl.nodes {
		<-no.ended
	}
}

// up returns the instances that run.
func (fl *fleet) up() []*node {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var list []*node
	for _, no := range fl.nodes {
		if no.up {
			list = append(list, no)
		}
	}
	return list
}

// until lets virtual time pass until a condition holds or limit is reached, and
// returns the time that passed.
func (fl *fleet) until(limit, step time.Duration, holds func() bool) time.Duration {
	begin := fl.clock.Now()
	for !holds() {
		if fl.clock.Since(begin) >= limit {
			return limit
		}
		time.Sleep(step)
	}
	return fl.clock.Since(begin)
}

// inForce reports whether the version or a higher one is in force on all running
// instances.
func (fl *fleet) inForce(version int64) bool {
	for _, no := range fl.up() {
		if no.State.Version() < version {
			return false
		}
	}
	return true
}

// settle waits until all instances have a configuration and have probed each
// other.
func (fl *fleet) settle() {
	fl.until(time.Minute, 100*time.Millisecond, func() bool { return fl.inForce(1) })
	time.Sleep(3 * member.ProbeInterval)
}
