package generation

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

// fault is a failure that an engine shows once.
type fault string

const (
	faultSilence   fault = "silence" // no further data until the read times out
	faultCut       fault = "cut"     // the connection is closed
	faultCrossed   fault = "crossed" // an event of another generation
	faultDuplicate fault = "late"    // a repeated event
	faultSkip      fault = "ahead"   // an event one offset too far
	faultFail      fault = "fail"    // status 500 instead of a start
	faultRefuse    fault = "refuse"  // status 503 instead of a start
)

var faults = []fault{faultSilence, faultCut, faultCrossed, faultDuplicate, faultSkip, faultFail, faultRefuse}

// engine is a fake model engine that serves the published protocol. It responds in
// the goroutine of the reader. For faultSilence, a read fails with a timeout at once.
type engine struct {
	kind.Endpoint
	up bool
	// running maps the IDs of the started generations to their seeds.
	running map[string]string
	// restarts counts the engine's restarts. It is part of the text of an engine
	// that cannot continue, so that a second run of a generation differs from the
	// first.
	restarts int
	// faults are the faults still to be shown, in this order.
	faults []fault
	// starts counts the starts at all engines of the deployment.
	starts *int
}

// takeFault removes and returns the next fault if it is one of which, and returns
// an empty fault otherwise.
func (en *engine) takeFault(which ...fault) fault {
	if len(en.faults) == 0 || !slices.Contains(which, en.faults[0]) {
		return ""
	}
	fa := en.faults[0]
	en.faults = en.faults[1:]
	return fa
}

// conn is a connection to an engine. It fails once the engine has crashed or
// restarted.
type conn struct {
	net.Conn
	en             *engine
	restartsAtDial int
	in             bytes.Buffer
	out            bytes.Buffer
	status         int
	id             string
	seed           string
	next           int
}

func (co *conn) Write(data []byte) (int, error) { return co.in.Write(data) }

func (co *conn) Close() error { return nil }

func (co *conn) SetReadDeadline(time.Time) error { return nil }

func (co *conn) SetWriteDeadline(time.Time) error { return nil }

func (co *conn) SetDeadline(time.Time) error { return nil }

func (co *conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (co *conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

func (co *conn) Read(buf []byte) (int, error) {
	if co.out.Len() == 0 {
		if err := co.produce(); err != nil {
			return 0, err
		}
	}
	return co.out.Read(buf)
}

// produce writes the next part of the response to out.
func (co *conn) produce() error {
	if !co.en.up || co.restartsAtDial != co.en.restarts {
		return net.ErrClosed
	}
	if co.status == 0 {
		return co.handleRequest()
	}
	switch co.en.takeFault(faultSilence, faultCut, faultCrossed, faultDuplicate, faultSkip) {
	case faultSilence:
		return os.ErrDeadlineExceeded
	case faultCut:
		return net.ErrClosed
	case faultCrossed:
		co.writeEvent("ffff", co.next, "zz")
	case faultDuplicate:
		co.writeEvent(co.id, co.next-1, co.seed)
	case faultSkip:
		co.writeEvent(co.id, co.next+1, co.seed)
	default:
		if co.next >= generationLength {
			co.writeChunk("data: [DONE]\n\n")
			return nil
		}
		co.writeEvent(co.id, co.next, co.seed)
		co.next++
	}
	return nil
}

func (co *conn) writeEvent(id string, offset int, seed string) {
	co.writeChunk(fmt.Sprintf("id: %s/%d\ndata: {\"choices\":[{\"text\":\"%s:%d \"}]}\n\n", id, offset, seed, offset))
}

func (co *conn) writeChunk(text string) { _, _ = fmt.Fprintf(&co.out, "%x\r\n%s\r\n", len(text), text) }

// handleRequest reads the request and writes the head of the response.
func (co *conn) handleRequest() error {
	req, err := http.ReadRequest(bufio.NewReader(&co.in))
	if err != nil {
		return err
	}
	co.status = http.StatusOK
	switch req.Method {
	case http.MethodDelete:
		co.writeStatus(http.StatusOK)
		return nil
	case http.MethodPost:
		if fa := co.en.takeFault(faultFail, faultRefuse); fa != "" {
			co.writeStatus(map[fault]int{faultFail: 500, faultRefuse: 503}[fa])
			return nil
		}
		*co.en.starts++
		co.id = req.Header.Get(endpoint.GenerationHeader)
		co.next, _ = strconv.Atoi("0" + req.Header.Get(endpoint.ForcedPrefixHeader))
		co.en.running[co.id] = req.Header.Get(endpoint.SeedHeader)
		if co.en.takeFault(faultSilence) != "" {
			return os.ErrDeadlineExceeded
		}
	default:
		co.id = strings.TrimSuffix(strings.TrimPrefix(req.URL.Path, "/v1/generations/"), "/events")
		co.next, _ = strconv.Atoi(req.URL.Query().Get("offset"))
		if _, found := co.en.running[co.id]; !found {
			co.writeStatus(http.StatusNotFound)
			return nil
		}
	}
	co.seed = co.en.running[co.id]
	if !co.en.Capabilities.Continuation {
		co.seed += "s" + strconv.Itoa(co.en.restarts)
	}
	_, _ = co.out.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	return nil
}

// writeStatus writes a response without a body.
func (co *conn) writeStatus(code int) {
	_, _ = fmt.Fprintf(&co.out, "HTTP/1.1 %d X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", code)
}

// generationLength is the number of tokens of every generation.
const generationLength = 12

// autoClock is a fake clock. Sleep advances it and returns at once. Expired timers
// run in the goroutine that advances the clock.
type autoClock struct {
	*clockwork.FakeClock
	timers []*pendingTimer
}

type pendingTimer struct {
	clockwork.Timer
	at   time.Time
	call func()
}

func (pt *pendingTimer) Stop() bool {
	pt.call = func() {}
	return true
}

func (ac *autoClock) Sleep(du time.Duration) { ac.Advance(du) }

func (ac *autoClock) AfterFunc(du time.Duration, call func()) clockwork.Timer {
	pt := &pendingTimer{at: ac.Now().Add(du), call: call}
	ac.timers = append(ac.timers, pt)
	return pt
}

func (ac *autoClock) Advance(du time.Duration) {
	ac.FakeClock.Advance(du)
	timers := ac.timers
	ac.timers = nil
	for _, pt := range timers {
		if pt.at.After(ac.Now()) {
			ac.timers = append(ac.timers, pt)
			continue
		}
		pt.call()
	}
}

// granter grants the first engine that the request allows, and records grants that
// are released twice.
type granter struct {
	engines []*engine
	held    map[*admission.Grant]bool
	faults  []string
}

// Acquire grants a place even if ctx has ended. A real granter can do so when the
// place becomes free at the same time.
func (gt *granter) Acquire(_ context.Context, re admission.Request) (*admission.Grant, error) {
	for _, en := range gt.engines {
		fits := re.Only == en.Name || (re.Only == "" && !slices.Contains(re.Exclude, en.Name))
		if fits {
			gr := &admission.Grant{Request: re, Endpoint: en.Endpoint, Tokens: new(atomic.Int64)}
			gt.held[gr] = true
			return gr, nil
		}
	}
	return nil, refusal.New(refusal.NoCapacity, "no endpoint takes new work")
}

func (gt *granter) Release(gr *admission.Grant, _ admission.Outcome) {
	if !gt.held[gr] {
		gt.faults = append(gt.faults, "a grant of "+gr.Endpoint.Name+" was released twice")
	}
	delete(gt.held, gr)
}

// deployment is a set of engines and two instances that run in one goroutine.
type deployment struct {
	engines  []*engine
	granter  *granter
	clock    *autoClock
	handlers []*Handler
	cf       *kind.Configuration
	// starts counts the generations started at all engines.
	starts int
	// injected counts the faults injected by the schedule.
	injected int
}

func newDeployment(engines int, continuation func(ix int) bool) *deployment {
	dp := &deployment{clock: &autoClock{FakeClock: clockwork.NewFakeClock()}}
	doc := kind.Document{
		Version: 1, Zones: []kind.Zone{{Name: "martin-c", Region: "sk-central", State: kind.ZoneServing}},
		Services: []kind.Service{{Name: "filbert-pool", Type: kind.ServiceModel, Model: "filbert"}},
	}
	for ix := range engines {
		en := &engine{up: true, running: map[string]string{}, starts: &dp.starts, Endpoint: kind.Endpoint{
			Name: "engine-" + strconv.Itoa(ix), Service: "filbert-pool", Zone: "martin-c", State: kind.EndpointServing,
			URL: fmt.Sprintf("http://10.0.0.%d:80", ix+1), Capacity: kind.Capacity{Sequences: 9, ColdSequences: 9},
			Capabilities: kind.Capabilities{Continuation: continuation(ix)},
		}}
		dp.engines = append(dp.engines, en)
		doc.Endpoints = append(doc.Endpoints, en.Endpoint)
	}
	cf, err := kind.NewConfiguration(doc)
	if err != nil {
		panic(err)
	}
	dp.cf = cf
	dp.granter = &granter{engines: dp.engines, held: map[*admission.Grant]bool{}}
	for range 2 {
		dp.handlers = append(dp.handlers, &Handler{
			Granter: dp.granter, Client: &endpoint.Client{Dial: dp.dial}, Tokens: Tokens{Key: make([]byte, 32)},
			Clock: dp.clock, Background: func(work func()) { work() }, ResumeGrace: DefaultResumeGrace,
		})
	}
	return dp
}

func (dp *deployment) dial(address string) (net.Conn, error) {
	for _, en := range dp.engines {
		if en.URL == "http://"+address && en.up {
			return &conn{en: en, restartsAtDial: en.restarts}, nil
		}
	}
	return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
}

// restart starts an engine anew, without its generations and pending faults.
func (en *engine) restart() {
	en.up = true
	en.restarts++
	en.running = map[string]string{}
	en.faults = nil
}
