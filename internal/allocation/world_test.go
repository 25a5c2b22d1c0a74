package allocation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/clocktest"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/internal/suspicion"
	"filbertstall.example/filbertstall/pkg/kind"
)

const (
	service    = "filbert-pool"
	sequences  = 8
	cold       = 4
	warmTokens = 1000
	stepTime   = 100 * time.Millisecond
	stepTokens = 50
	// closeGrace is how long after an endpoint was closed it may still get new
	// work. Until then, instances may have an older configuration.
	closeGrace = 3 * time.Second
	callDelay  = time.Millisecond
	// reportAge is the age of the load that a report contains.
	reportAge  = 300 * time.Millisecond
	maxRunTime = 4000 // milliseconds
	// longRun is the duration of a few requests, longer than all others.
	longRun = 15 * time.Second
)

// world is a deployment in virtual time: instances, endpoints and the
// platform. Its violations are the invariants that did not hold.
type world struct {
	mu          sync.Mutex
	rn          *rand.Rand
	store       *platformfake.Store
	instances   []*instance
	listed      []platform.Instance
	machines    map[string]*machine
	document    kind.Document
	closedAt    map[string]time.Time
	paused      map[string]time.Time
	interrupted map[string]bool
	offline     map[string]bool
	loss        float64
	violations  []string
	messages    int
}

// instance is one entry instance.
type instance struct {
	name          string
	gt            *Granter
	configuration snapshot.Holder[kind.Configuration]
	stop          context.CancelFunc
}

func (wo *world) recordViolation(format string, args ...any) {
	wo.violations = append(wo.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// newWorld creates a deployment in which each zone has perZone instances and
// endpoints endpoints.
func newWorld(seed uint64, zones []string, perZone, endpoints int) *world {
	wo := &world{
		rn: rand.New(rand.NewPCG(seed, 1)), store: platformfake.New(), machines: make(map[string]*machine),
		closedAt: make(map[string]time.Time), paused: make(map[string]time.Time), interrupted: make(map[string]bool), offline: make(map[string]bool),
	}
	wo.document = kind.Document{Version: 1, Services: []kind.Service{{Name: service, Type: kind.ServiceModel, Model: "m"}}}
	for _, zone := range zones {
		wo.document.Zones = append(wo.document.Zones, kind.Zone{Name: zone, Region: "r", State: kind.ZoneServing})
		for ix := range endpoints {
			name := fmt.Sprintf("%s-engine-%d", zone, ix)
			wo.machines[name] = &machine{wo: wo, name: name, boot: 1, crashed: make(chan struct{})}
			wo.document.Endpoints = append(wo.document.Endpoints, kind.Endpoint{
				Name: name, Service: service, Zone: zone, URL: "http://" + name, State: kind.EndpointServing,
				Capacity: kind.Capacity{MemoryTokens: 1 << 20, Sequences: sequences, ColdSequences: cold},
			})
		}
		for ix := range perZone {
			name := fmt.Sprintf("%s-entry-%d", zone, ix)
			wo.listed = append(wo.listed, platform.Instance{Name: name, Zone: zone, State: platform.InstanceLive, Peer: name})
			wo.instances = append(wo.instances, wo.newInstance(name, zone))
		}
	}
	wo.store.SetInstances(wo.listed)
	return wo
}

func (wo *world) newInstance(name, zone string) *instance {
	in := &instance{name: name}
	store := &faultyStore{Store: wo.store, wo: wo, name: name}
	clock := clocktest.New()
	members := &Poller{Store: store, Clock: clock}
	caller := &wire{wo: wo, from: name}
	in.gt = &Granter{
		Instance: name, Zone: zone, Address: name, Store: store, Members: members, Caller: caller,
		Endpoints: wo, Configuration: &in.configuration, Clock: clock, Log: zerolog.Nop(),
		Suspicion: &suspicion.Registry{Caller: caller, Clock: clock, Peers: func() []string { return wo.others(name) }},
	}
	return in
}

func (wo *world) others(name string) []string {
	var list []string
	for _, in := range wo.instances {
		if in.name != name {
			list = append(list, in.name)
		}
	}
	return list
}

// start runs all instances with the first configuration.
func (wo *world) start(ctx context.Context) {
	wo.configure(0)
	for _, in := range wo.instances {
		ctx, stop := context.WithCancel(ctx)
		in.stop = stop
		go func() { _ = in.gt.Members.(*Poller).Run(ctx) }()
		go func() { _ = in.gt.Run(ctx) }()
		go func() { _ = in.gt.Suspicion.Run(ctx) }()
	}
}

// configure applies the document at all instances, at each of them after a
// random delay of less than delay.
func (wo *world) configure(delay time.Duration) {
	cf, err := kind.NewConfiguration(wo.document)
	if err != nil {
		panic(err)
	}
	newer := func(next, current *kind.Configuration) bool { return next.Version() > current.Version() }
	for _, in := range wo.instances {
		apply := func() { in.configuration.Advance(cf, newer) }
		if delay == 0 {
			apply()
			continue
		}
		time.AfterFunc(1+time.Duration(wo.rn.Int64N(int64(delay))), apply)
	}
}

// toggle takes a zone out of service or returns it, or drains an endpoint or
// reopens it.
func (wo *world) toggle(index int, zone bool) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.document.Version++
	wo.document.Zones = slices.Clone(wo.document.Zones)
	wo.document.Endpoints = slices.Clone(wo.document.Endpoints)
	if zone {
		zo := &wo.document.Zones[index%len(wo.document.Zones)]
		if zo.State == kind.ZoneServing {
			zo.State = kind.ZoneOut
		} else {
			zo.State = kind.ZoneServing
		}
	} else {
		en := &wo.document.Endpoints[index%len(wo.document.Endpoints)]
		if en.State == kind.EndpointServing {
			en.State = kind.EndpointDraining
		} else {
			en.State = kind.EndpointServing
		}
	}
	cf, _ := kind.NewConfiguration(wo.document)
	for _, en := range cf.Endpoints() {
		_, closed := wo.closedAt[en.Name]
		switch {
		case cf.Eligible(en):
			delete(wo.closedAt, en.Name)
		case !closed:
			wo.closedAt[en.Name] = time.Now()
		}
	}
	wo.configure(time.Second)
}

// serve runs one caller's request and returns its result. It retries at other
// endpoints, and returns an error if no place is granted.
func (wo *world) serve(ctx context.Context, in *instance, id string, fingerprint uint64, runs time.Duration) (admission.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	deadline, _ := ctx.Deadline()
	var exclude []string
	for {
		wo.awaitResume(in.name)
		re := admission.Request{ID: id, Service: service, Team: "t", Weight: 1, Fingerprint: fingerprint, Deadline: deadline, Exclude: exclude}
		gr, err := in.gt.Acquire(ctx, re)
		if err != nil {
			return "", err
		}
		result := wo.machines[gr.Endpoint.Name].run(gr, runs)
		in.gt.Release(gr, admission.Outcome{Result: result, Tokens: gr.Tokens.Load(), Elapsed: runs})
		if result == admission.Completed {
			return result, nil
		}
		exclude = append(exclude, gr.Endpoint.Name)
	}
}

// Load implements Endpoints. The report is reportAge old.
func (wo *world) Load(url string) (endpoint.Load, error) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	ma := wo.machines[url[len("http://"):]]
	if ma.down {
		return endpoint.Load{}, &endpoint.Error{Op: "load", URL: url, Kind: endpoint.Unreachable}
	}
	then := time.Now().Add(-reportAge)
	for _, sa := range ma.samples {
		if sa.at.After(then) {
			return sa.load, nil
		}
	}
	return ma.load(), nil
}

// CacheEvents implements Endpoints. There are no events.
func (wo *world) CacheEvents(string, int64) ([]endpoint.CacheEvent, error) { return nil, nil }

// awaitResume blocks while an instance is paused.
func (wo *world) awaitResume(name string) {
	wo.mu.Lock()
	until := wo.paused[name]
	wo.mu.Unlock()
	time.Sleep(time.Until(until))
}

// pause stops the messages of an instance for a time.
func (wo *world) pause(name string, lasts time.Duration) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.paused[name] = time.Now().Add(lasts)
}

// toggleUnreachableMember adds an instance that does not exist to the
// platform's list, or removes it.
func (wo *world) toggleUnreachableMember(index int) {
	zone := wo.document.Zones[index%len(wo.document.Zones)].Name
	member := platform.Instance{Name: zone + "-ghost", Zone: zone, State: platform.InstanceLive, Peer: "ghost"}
	if ix := slices.Index(wo.listed, member); ix >= 0 {
		wo.listed = slices.Delete(wo.listed, ix, ix+1)
	} else {
		wo.listed = append(wo.listed, member)
	}
	wo.store.SetInstances(wo.listed)
}

// holders counts the instances that hold a group's lease at this moment.
func (wo *world) holders(gr Group) int {
	count := 0
	for _, in := range wo.instances {
		if in.holds(gr) {
			count++
		}
	}
	return count
}

func (in *instance) holds(gr Group) bool {
	ho := in.gt.holder(gr)
	return ho != nil && ho.held()
}

// clearFaults ends all injected faults.
func (wo *world) clearFaults() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	clear(wo.interrupted)
	clear(wo.offline)
	wo.loss = 0
	wo.store.SetFault(platformfake.None)
}
