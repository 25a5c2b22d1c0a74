package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/budget"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/upstream"
)

// testCodec implements a minimal platform. Its header fields exist only in
// these tests.
type testCodec struct{}

func (testCodec) Call(re *Request, at Attempt) upstream.Call {
	ca := upstream.Call{
		Address: at.Endpoint.Address, Method: re.Method, Target: re.Target, Host: re.Host, ID: re.ID, Body: re.Body, MaxIdle: at.MaxIdle,
		Headers: []upstream.Header{
			{Name: "Id", Value: re.ID}, {Name: "Team", Value: at.Team}, {Name: "Left", Value: strconv.FormatInt(at.Remaining.Milliseconds(), 10)},
		},
	}
	if at.Standby != "" {
		ca.Headers = append(ca.Headers, upstream.Header{Name: "Standby", Value: at.Standby})
	}
	if at.Resume != nil {
		ca.Headers = append(ca.Headers, upstream.Header{Name: "From", Value: at.Resume.Handle}, upstream.Header{Name: "Last", Value: at.Resume.LastEvent})
	}
	return ca
}

func (testCodec) Verdict(an *upstream.Answer) Verdict {
	return Verdict{Genuine: an.Get("Proof") != "", NotRun: an.Get("Not-Run") != "", Misdirected: an.Status == http.StatusMisdirectedRequest}
}

// replica is a simulated endpoint on a TCP port. Its script answers each
// request.
type replica struct {
	net.Listener
	id         string
	mu         sync.Mutex
	requestIDs []string
	headers    []http.Header
	script     func(conn net.Conn, re *http.Request)
}

func (rp *replica) serve() {
	for {
		conn, err := rp.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			rd := bufio.NewReader(conn)
			for {
				re, err := http.ReadRequest(rd)
				if err != nil {
					return
				}
				if _, err := io.ReadAll(re.Body); err != nil {
					return
				}
				rp.mu.Lock()
				rp.requestIDs = append(rp.requestIDs, re.Header.Get("Id"))
				rp.headers = append(rp.headers, re.Header)
				rp.mu.Unlock()
				rp.script(conn, re)
			}
		}()
	}
}

func (rp *replica) requestCount() int {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return len(rp.requestIDs)
}

func (rp *replica) lastHeader() http.Header {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.headers[len(rp.headers)-1]
}

// Scripts for replicas.

func reply(status int, fields, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, re *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, re.Header.Get("Id"), fields, len(body), body)
	}
}

var (
	succeeds    = reply(200, "Proof: p\r\n", "answer")
	fails       = reply(500, "Proof: p\r\n", "failed")
	unsigned    = reply(200, "", "forged")
	busy        = reply(503, "Not-Run: 1\r\n", "")
	misdirected = reply(421, "", "")
)

func breaks(conn net.Conn, _ *http.Request) { _ = conn.Close() }

func hangs(conn net.Conn, _ *http.Request) { _, _ = conn.Read(make([]byte, 1)) }

// events streams numbered events. If complete is not set, it closes the
// connection in the middle of another event.
func events(from, to int, complete bool) func(net.Conn, *http.Request) {
	return func(conn net.Conn, re *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n", re.Header.Get("Id"))
		for ix := from; ix <= to; ix++ {
			chunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", ix))
		}
		if complete {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return
		}
		chunk(conn, "id: 99\ndata: a part of an eve")
		_ = conn.Close()
	}
}

func chunk(conn net.Conn, text string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// harness is a dispatcher with simulated endpoints.
type harness struct {
	*Dispatcher
	t        *testing.T
	boot     *boottime.Manual
	replicas []*replica
}

// newGate returns a gate that decodes the field Limit of answers.
func newGate(clock clockwork.Clock, boot boottime.Clock) *backpressure.Gate {
	return &backpressure.Gate{
		Transport: &upstream.Pool{IDHeader: "Id", Clock: clock}, Registry: &backpressure.Registry{Boot: boot, Log: zerolog.Nop()},
		Decode: func(an *upstream.Answer) backpressure.Signal {
			rate, err := strconv.ParseFloat(an.Get("Limit"), 64)
			return backpressure.Signal{Limit: backpressure.Limit{Rate: rate, Named: err == nil}}
		},
	}
}

func newHarness(t *testing.T, scripts ...func(net.Conn, *http.Request)) *harness {
	t.Helper()
	clock := clockwork.NewRealClock()
	boot := &boottime.Manual{}
	boot.Advance(time.Hour)
	ha := &harness{t: t, boot: boot, Dispatcher: &Dispatcher{
		State: &routing.State{Clock: boot}, Roster: &roster.Roster{Clock: clock, Log: zerolog.Nop()},
		Tracker: &placement.LoadTracker{Clock: clock, Zone: "a", Instance: "i"},
		Budget:  &budget.Window{Clock: clock, Span: time.Minute, Extra: func() float64 { return 2 }},
		Gate:    newGate(clock, boot), Codec: testCodec{}, Clock: clock, Log: zerolog.Nop(),
		MaxAges: func() MaxAges { return MaxAges{Key: 4 * time.Second, Deny: 4 * time.Second} },
	}}
	var list []feed.Object[roster.Endpoint]
	for ix, script := range scripts {
		rp := ha.addReplica("e"+strconv.Itoa(ix), script)
		list = append(list, feed.Object[roster.Endpoint]{Name: rp.id, Value: &roster.Endpoint{
			ID: rp.id, Service: "s", Zone: "a", Address: rp.Addr().String(), Slots: 4,
		}})
	}
	ha.Roster.Reset(list)
	ha.configure(1, "key")
	return ha
}

func (ha *harness) addReplica(id string, script func(net.Conn, *http.Request)) *replica {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		ha.t.Fatal(err)
	}
	rp := &replica{Listener: ln, id: id, script: script}
	ha.t.Cleanup(func() { _ = ln.Close() })
	go rp.serve()
	ha.replicas = append(ha.replicas, rp)
	return rp
}

func (ha *harness) configure(version int64, keys ...string) {
	shares := []routing.Share{{Service: "s", Weight: 1}}
	const timeout = 2 * time.Second
	engine := &routing.Engine{Slots: 4, MemoryTokens: 10_000, Migrates: true, KeepsStandbyCopies: true, TokensPerEvent: 4}
	ha.State.Put(routing.New(routing.Spec{
		Version: version,
		Routes: []routing.Route{
			{Host: "h", PathPrefix: "/read/", RetryClass: routing.Idempotent, MaxAttempts: 2, Timeout: timeout, Shares: shares},
			{Host: "h", PathPrefix: "/post/", RetryClass: routing.AtMostOnce, MaxAttempts: 2, Timeout: timeout, Shares: shares},
			{Host: "h", PathPrefix: "/stream/", RetryClass: routing.Streaming, MaxAttempts: 1, Timeout: timeout, Shares: shares},
			{Host: "h", PathPrefix: "/long/", RetryClass: routing.Streaming, MaxAttempts: 1, Timeout: 5 * time.Second, Shares: shares},
			{Host: "h", PathPrefix: "/brief/", RetryClass: routing.AtMostOnce, MaxAttempts: 1, Timeout: 80 * time.Millisecond, Shares: shares},
			{Host: "h", PathPrefix: "/public/", RetryClass: routing.Idempotent, MaxAttempts: 1, Timeout: timeout, Public: true, Shares: shares},
		},
		Services: []routing.Service{{Name: "s", Engine: engine}},
		Limits:   routing.Limits{BodyBytes: 1000},
		Teams:    []routing.Team{{Name: "team", Keys: keys}},
	}))
	ha.State.Confirm(ha.boot.Now())
}

// engine returns the engine description of the harness's service.
func (ha *harness) engine() *routing.Engine {
	se, _ := ha.State.Load().Service("s")
	return se.Engine
}

// restart registers an endpoint with another start time. It gets requests at
// once, because only a failed connection starts a back-off.
func (ha *harness) restart(en roster.Endpoint) {
	ha.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: en.ID, Value: &en}}})
}

var lastID atomic.Int64

func (ha *harness) request(path string) *Request {
	return &Request{
		ID: strconv.FormatInt(lastID.Add(1), 10), Method: "POST", Target: path, Path: path, Host: "h", Body: []byte("b"), HasBody: true,
		Key: "key", HasKey: true, Arrived: ha.Clock.Now(), Prompt: Prompt{Tokens: 100, MaxOutput: 40},
	}
}

func (ha *harness) send(path string) Reply { return ha.Serve(context.Background(), ha.request(path)) }

// received returns how many requests the endpoints have received in total.
func (ha *harness) received() int {
	count := 0
	for _, rp := range ha.replicas {
		count += rp.requestCount()
	}
	return count
}

func reasonOf(rp Reply) refusal.Reason {
	if rp.Refusal == nil {
		return ""
	}
	return rp.Refusal.Reason
}

// readEvents reads a stream to its end and closes it.
func readEvents(rp Reply) (string, error) {
	defer func() { _ = rp.Events.Close() }()
	data, err := io.ReadAll(rp.Events)
	return string(data), err
}

func numbered(from, to int) string {
	var sb strings.Builder
	for ix := from; ix <= to; ix++ {
		fmt.Fprintf(&sb, "id: %d\ndata: x\n\n", ix)
	}
	return sb.String()
}
