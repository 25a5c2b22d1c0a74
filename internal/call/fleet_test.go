package call_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/call"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/filter"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/record"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

// fleet is a set of instances with real handlers and records that share one
// platform, and fake endpoints that log the calls that they begin. It runs in
// virtual time.
type fleet struct {
	store     *platformfake.Store
	instances []*instance
	endpoints *endpoints
}

// instance is one entry process. It passes a boundary before and after each
// call to the platform or an endpoint, and can crash or pause at any of them.
type instance struct {
	handler *call.Handler
	link    *platformfake.Store
	holder  snapshot.Holder[kind.Configuration]
	// base is the parent of the contexts of requests. If it is nil, it never ends.
	base context.Context

	mu          sync.Mutex
	dead        bool
	paused      chan struct{}
	crossed     int
	dieAt       int
	pauseAt     int
	pauseFor    time.Duration
	unreachable map[string]bool
}

// crossBoundary passes a boundary, pauses there if the schedule says so, and
// reports whether the process is alive afterwards.
func (in *instance) crossBoundary() bool {
	in.mu.Lock()
	in.crossed++
	if in.dieAt > 0 && in.crossed >= in.dieAt {
		in.dead = true
	}
	if in.crossed == in.pauseAt {
		in.paused = make(chan struct{})
		resume := in.paused
		time.AfterFunc(in.pauseFor, func() { close(resume) })
	}
	paused := in.paused
	in.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return in.isAlive()
}

func (in *instance) isAlive() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return !in.dead
}

// messageDelay is the one-way delay of a message.
const messageDelay = time.Millisecond

// processStore is the platform store of one instance. It delays each message,
// passes a boundary before and after each call, and fails once the process is
// dead.
type processStore struct {
	platform.Store
	in *instance
}

func (ps processStore) processDead(op, key string, ki platform.ErrorKind) error {
	return &platform.Error{Op: op, Key: key, Kind: ki, Err: errors.New("process is dead")}
}

func (ps processStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if !ps.in.crossBoundary() {
		return platform.Object{}, ps.processDead("get", key, platform.Unavailable)
	}
	time.Sleep(messageDelay)
	ob, err := ps.Store.Get(ctx, key)
	time.Sleep(messageDelay)
	if !ps.in.crossBoundary() {
		return platform.Object{}, ps.processDead("get", key, platform.Unavailable)
	}
	return ob, err
}

func (ps processStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if !ps.in.crossBoundary() {
		return 0, ps.processDead("update", key, platform.Unavailable)
	}
	time.Sleep(messageDelay)
	version, err := ps.Store.Update(ctx, key, previous, value)
	time.Sleep(messageDelay)
	if !ps.in.crossBoundary() {
		return 0, ps.processDead("update", key, platform.Unknown)
	}
	return version, err
}

// endpointMode is the behavior of an endpoint.
type endpointMode int

const (
	endpointHealthy endpointMode = iota
	endpointRefusesConnections
	// endpointLosesResponses runs calls and loses their responses.
	endpointLosesResponses
	// endpointRunsLate breaks the connection and runs the call afterwards.
	endpointRunsLate
	// endpointSlow takes slowTime, which is longer than most callers wait.
	endpointSlow
	endpointModeCount
)

// run is one call that an endpoint began.
type run struct {
	attempt string
	body    string
	answer  string
	at      time.Time
}

// endpoints are the fake endpoints of the plain service.
type endpoints struct {
	mu     sync.Mutex
	modes  map[string]endpointMode
	runs   map[string][]run
	faults int
}

func (ep *endpoints) mode(url string) endpointMode {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.modes[url] != endpointHealthy {
		ep.faults++
	}
	return ep.modes[url]
}

// startRun logs a call and returns its response, which differs from the
// response of every other run.
func (ep *endpoints) startRun(re endpoint.Request) string {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ru := run{body: string(re.Body), at: time.Now()}
	for _, he := range re.Headers {
		if he.Name == "Attempt" {
			ru.attempt = he.Value
		}
	}
	ru.answer = fmt.Sprintf("%s:%s:%d", re.Key, ru.body, len(ep.runs[re.Key]))
	if strings.HasPrefix(ru.body, "large") {
		ru.answer += strings.Repeat(".", record.MaxAnswerBytes)
	}
	ep.runs[re.Key] = append(ep.runs[re.Key], ru)
	return ru.answer
}

// history returns the calls that endpoints began, by Idempotency-Key.
func (ep *endpoints) history() map[string][]run {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return maps.Clone(ep.runs)
}

// sender sends the calls of one instance to the endpoints.
type sender struct {
	in        *instance
	endpoints *endpoints
}

const (
	workTime = 20 * time.Millisecond
	slowTime = 3 * time.Second
)

// Call implements call.Sender.
func (se sender) Call(url string, re endpoint.Request) (endpoint.Response, error) {
	fail := func(ki endpoint.ErrorKind) (endpoint.Response, error) {
		return endpoint.Response{}, &endpoint.Error{Op: "call", URL: url, Kind: ki}
	}
	mode := se.endpoints.mode(url)
	if !se.in.crossBoundary() || mode == endpointRefusesConnections || se.in.isUnreachable(url) {
		return fail(endpoint.Unreachable)
	}
	time.Sleep(messageDelay)
	if mode == endpointRunsLate {
		time.AfterFunc(slowTime, func() { se.endpoints.startRun(re) })
		return fail(endpoint.Lost)
	}
	answer := se.endpoints.startRun(re)
	work := workTime
	if mode == endpointSlow {
		work = slowTime
	}
	time.Sleep(min(work, re.Timeout))
	alive := se.in.crossBoundary()
	switch {
	case work > re.Timeout:
		return fail(endpoint.TimedOut)
	case !alive || mode == endpointLosesResponses || se.in.isUnreachable(url):
		return fail(endpoint.Lost)
	}
	return endpoint.Response{Status: fasthttp.StatusCreated, ContentType: "text/plain", Body: []byte(answer)}, nil
}

func (in *instance) isUnreachable(url string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.unreachable[url]
}

func (in *instance) setUnreachable(url string, value bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.unreachable[url] = value
}

func endpointURL(ix int) string { return "http://127.0.0.1:" + strconv.Itoa(9000+ix) }

const endpointCount = 2

func configuration() *kind.Configuration {
	doc := kind.Document{
		Version:  1,
		Zones:    []kind.Zone{{Name: "martin-c", State: kind.ZoneServing}},
		Teams:    []kind.Team{{Name: "families", Weight: 1, Role: kind.RoleCaller}},
		Services: []kind.Service{{Name: "rental-desk", Type: kind.ServicePlain, Routes: []kind.Route{{Method: "GET", Path: "/catalogue/{id}", Idempotent: true}}}},
	}
	for ix := range endpointCount {
		doc.Endpoints = append(doc.Endpoints, kind.Endpoint{
			Name: "desk-" + strconv.Itoa(ix), Service: "rental-desk", Zone: "martin-c", URL: endpointURL(ix),
			State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 4, ColdSequences: 4},
		})
	}
	cf, err := kind.NewConfiguration(doc)
	if err != nil {
		panic(err)
	}
	return cf
}

func newFleet(instances int) *fleet {
	fl := &fleet{store: platformfake.New(), endpoints: &endpoints{modes: make(map[string]endpointMode), runs: make(map[string][]run)}}
	for range instances {
		fl.start()
	}
	return fl
}

// start adds a new instance without any state and returns it.
func (fl *fleet) start() *instance {
	in := &instance{link: fl.store.Connect(), unreachable: make(map[string]bool)}
	in.holder.Store(configuration())
	in.link.SetRandom(rand.New(rand.NewPCG(uint64(len(fl.instances)), 7)))
	clock := clockwork.NewRealClock()
	guard := &platform.Guard{Store: processStore{Store: in.link, in: in}, Clock: clock}
	name := "entry-" + strconv.Itoa(len(fl.instances))
	in.handler = &call.Handler{
		Granter: &admission.LocalGranter{Configuration: &in.holder}, Sender: sender{in: in, endpoints: fl.endpoints},
		Recorder: &record.Recorder{Store: guard.For(platform.ClassRecord), Instance: name, Clock: clock, Log: zerolog.Nop()},
		Clock:    clock, Log: zerolog.Nop(),
	}
	fl.instances = append(fl.instances, in)
	return in
}

// observation is what a caller sent in one request and what it got back.
type observation struct {
	attempt, key, body string
	// noResponse means that the instance crashed, so the caller got no response.
	noResponse bool
	refused    *refusal.Error
	status     int
	answer     string
	sentAt     time.Time
}

// post sends a POST request to an instance and waits for the result.
func (in *instance) post(attempt, key, body string, timeout time.Duration) observation {
	return in.request(fasthttp.MethodPost, "/loans", attempt, key, body, timeout)
}

func (in *instance) request(method, path, attempt, key, body string, timeout time.Duration) observation {
	var ctx fasthttp.RequestCtx
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI("http://entry/services/rental-desk" + path)
	req.Header.Set("Attempt", attempt)
	if key != "" {
		req.Header.Set(endpoint.KeyHeader, key)
	}
	req.SetBodyString(body)
	ctx.Init(&req, nil, nil)
	ob := observation{attempt: attempt, key: key, body: body, sentAt: time.Now()}
	err := in.serve(&ctx, timeout)
	ob.noResponse = !in.isAlive()
	if err != nil {
		ob.refused = refusal.From(err)
		return ob
	}
	ob.status = ctx.Response.StatusCode()
	ob.answer = string(ctx.Response.Body())
	return ob
}

func (in *instance) serve(ctx *fasthttp.RequestCtx, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	base := context.Background()
	if in.base != nil {
		base = in.base
	}
	within, cancel := context.WithDeadline(base, deadline)
	defer cancel()
	cf := in.holder.Load()
	te, _ := cf.Team("families")
	return in.handler.Serve(&filter.Exchange{
		HTTP: ctx, Body: ctx.PostBody(), Context: within, ID: "r", Arrived: time.Now(), Deadline: deadline, Configuration: cf, Team: te,
	})
}
