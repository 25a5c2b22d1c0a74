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
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/budget"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/upstream"
)

// testCodec is a small platform: its header fields are those of the tests.
type testCodec struct{}

func (testCodec) Call(re *Request, at Attempt) upstream.Call {
	ca := upstream.Call{
		Address: at.Endpoint.Address, Method: re.Method, Target: re.Target, Host: re.Host, ID: re.ID, Body: re.Body, MaxIdle: at.MaxIdle,
		Headers: []upstream.Header{
			{Name: "Id", Value: re.ID}, {Name: "Team", Value: at.Team}, {Name: "Left", Value: strconv.FormatInt(at.Left.Milliseconds(), 10)},
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

// replica is a stand-in endpoint over TCP. It answers by a script.
type replica struct {
	net.Listener
	id     string
	mu     sync.Mutex
	ran    []string
	heads  []http.Header
	script func(conn net.Conn, re *http.Request)
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
				rp.ran = append(rp.ran, re.Header.Get("Id"))
				rp.heads = append(rp.heads, re.Header)
				rp.mu.Unlock()
				rp.script(conn, re)
			}
		}()
	}
}

func (rp *replica) got() int {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return len(rp.ran)
}

func (rp *replica) lastHead() http.Header {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.heads[len(rp.heads)-1]
}

// The scripts of endpoints.

func reply(status int, fields, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, re *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, re.Header.Get("Id"), fields, len(body), body)
	}
}

var (
	succeeds = reply(200, "Proof: p\r\n", "answer")
	fails    = reply(500, "Proof: p\r\n", "failed")
	unproved = reply(200, "", "forged")
	busy     = reply(503, "Not-Run: 1\r\n", "")
	moved    = reply(421, "", "")
)

func breaks(conn net.Conn, _ *http.Request) { _ = conn.Close() }

func hangs(conn net.Conn, _ *http.Request) { _, _ = conn.Read(make([]byte, 1)) }

// events streams numbered events, and ends as told.
func events(from, to int, whole bool) func(net.Conn, *http.Request) {
	return func(conn net.Conn, re *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n", re.Header.Get("Id"))
		for ix := from; ix <= to; ix++ {
			chunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", ix))
		}
		if whole {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return
		}
		chunk(conn, "id: 99\ndata: a part of an eve")
		_ = conn.Close()
	}
}

func chunk(conn net.Conn, text string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// world is a dispatcher before stand-in endpoints.
type world struct {
	*Dispatcher
	t        *testing.T
	boot     *boottime.Manual
	replicas []*replica
}

func newWorld(t *testing.T, scripts ...func(net.Conn, *http.Request)) *world {
	t.Helper()
	clock := clockwork.NewRealClock()
	boot := &boottime.Manual{}
	boot.Advance(time.Hour)
	wo := &world{t: t, boot: boot, Dispatcher: &Dispatcher{
		State: &routing.State{Clock: boot}, Roster: &roster.Roster{Clock: clock, Log: zerolog.Nop()},
		Board:  &placement.Board{Clock: clock, Zone: "a", Instance: "i"},
		Budget: &budget.Window{Clock: clock, Span: time.Minute, Extra: func() float64 { return 2 }},
		Sender: &upstream.Pool{IDHeader: "Id", Clock: clock}, Codec: testCodec{}, Clock: clock, Log: zerolog.Nop(),
		Ages:    func() Ages { return Ages{Key: 4 * time.Second, Deny: 4 * time.Second} },
		Members: func() int { return 1 },
	}}
	var list []feed.Object[roster.Endpoint]
	for ix, script := range scripts {
		rp := wo.addReplica("e"+strconv.Itoa(ix), script)
		list = append(list, feed.Object[roster.Endpoint]{Name: rp.id, Value: &roster.Endpoint{
			ID: rp.id, Service: "s", Zone: "a", Address: rp.Addr().String(), Slots: 4,
		}})
	}
	wo.Roster.Reset(list)
	wo.configure(1, "key")
	return wo
}

func (wo *world) addReplica(id string, script func(net.Conn, *http.Request)) *replica {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		wo.t.Fatal(err)
	}
	rp := &replica{Listener: ln, id: id, script: script}
	wo.t.Cleanup(func() { _ = ln.Close() })
	go rp.serve()
	wo.replicas = append(wo.replicas, rp)
	return rp
}

func (wo *world) configure(version int64, keys ...string) {
	shares := []routing.Share{{Service: "s", Weight: 1}}
	const timeout = 2 * time.Second
	engine := &routing.Engine{Slots: 4, MemoryTokens: 10_000, Migrates: true, Standbys: true, TokensPerEvent: 4}
	wo.State.Put(routing.New(routing.Spec{
		Version: version,
		Routes: []routing.Route{
			{Host: "h", PathPrefix: "/read/", Repeat: routing.Idempotent, MaxAttempts: 2, Timeout: timeout, Shares: shares},
			{Host: "h", PathPrefix: "/post/", Repeat: routing.AtMostOnce, MaxAttempts: 2, Timeout: timeout, Shares: shares},
			{Host: "h", PathPrefix: "/stream/", Repeat: routing.Streaming, MaxAttempts: 1, Timeout: timeout, Shares: shares},
			{Host: "h", PathPrefix: "/brief/", Repeat: routing.AtMostOnce, MaxAttempts: 1, Timeout: 80 * time.Millisecond, Shares: shares},
			{Host: "h", PathPrefix: "/public/", Repeat: routing.Idempotent, MaxAttempts: 1, Timeout: timeout, Public: true, Shares: shares},
		},
		Services: []routing.Service{{Name: "s", Engine: engine}},
		Limits:   routing.Limits{BodyBytes: 1000},
		Teams:    []routing.Team{{Name: "team", Keys: keys}},
	}))
	wo.State.Confirm(wo.boot.Now())
}

// engine describes the engines of the world's service.
func (wo *world) engine() *routing.Engine {
	se, _ := wo.State.Load().Service("s")
	return se.Engine
}

// restart lets an endpoint register under another start, shunned by nobody.
func (wo *world) restart(en roster.Endpoint) {
	wo.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: en.ID, Value: &en}}})
}

var lastID int

func (wo *world) request(path string) *Request {
	lastID++
	return &Request{
		ID: strconv.Itoa(lastID), Method: "POST", Target: path, Path: path, Host: "h", Body: []byte("b"), HasBody: true,
		Key: "key", HasKey: true, Arrived: wo.Clock.Now(), Prompt: Prompt{Tokens: 100, MaxOutput: 40},
	}
}

func (wo *world) send(path string) Reply { return wo.Serve(context.Background(), wo.request(path)) }

// runs returns how many requests the endpoints got in all.
func (wo *world) runs() int {
	count := 0
	for _, rp := range wo.replicas {
		count += rp.got()
	}
	return count
}

func reasonOf(rp Reply) refusal.Reason {
	if rp.Refusal == nil {
		return ""
	}
	return rp.Refusal.Reason
}

// readEvents reads a stream to its end.
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
