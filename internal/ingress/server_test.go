package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/answerfake"
	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/budget"
	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/readahead"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/upstream"
)

// testCodec is the codec of a minimal platform, whose only header field is Id.
type testCodec struct{}

func (testCodec) Request(ctx *fasthttp.RequestCtx, body []byte, arrived time.Time) *dispatch.Request {
	return &dispatch.Request{
		ID: string(ctx.Request.Header.Peek("Id")), Method: string(ctx.Method()), Target: string(ctx.RequestURI()), Path: string(ctx.Path()),
		Host: "h", Body: body, Arrived: arrived, CallerTimeout: time.Second,
	}
}

func (testCodec) AnswerHeaders(list []upstream.Header) []upstream.Header {
	var kept []upstream.Header
	for _, he := range list {
		if he.Name == "Id" {
			kept = append(kept, he)
		}
	}
	return kept
}

func (testCodec) Call(re *dispatch.Request, at dispatch.Attempt) upstream.Call {
	return upstream.Call{Address: at.Endpoint.Address, Method: re.Method, Target: re.Target, Host: "h", ID: re.ID, Body: re.Body, Headers: []upstream.Header{{Name: "Id", Value: re.ID}}}
}

func (testCodec) Verdict(*upstream.Answer) dispatch.Verdict { return dispatch.Verdict{Genuine: true} }

// endpoint starts an endpoint that reads one request from each connection and
// lets script write the answer. It returns the endpoint's address.
func endpoint(t *testing.T, script func(conn net.Conn, id string)) string {
	t.Helper()
	return answerfake.ServeRaw(t, func(conn *net.TCPConn) {
		re, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, re.Body)
		script(conn, re.Header.Get("Id"))
	})
}

// start runs a server until the test ends. It knows the endpoint at address, or
// none if address is empty. It returns the server and its URL.
func start(t *testing.T, address string, options ...func(*Server)) (*Server, string) {
	t.Helper()
	clock := clockwork.NewRealClock()
	boot := &boottime.Manual{}
	boot.Advance(time.Hour)
	st := &routing.State{Clock: boot}
	shares := []routing.Share{{Service: "s", Weight: 1}}
	st.Put(routing.New(routing.Spec{Version: 1, Services: []routing.Service{{Name: "s"}}, Routes: []routing.Route{
		{Host: "h", PathPrefix: "/stream/", RetryClass: routing.Streaming, MaxAttempts: 1, Timeout: 5 * time.Second, Shares: shares},
		{Host: "h", PathPrefix: "/", RetryClass: routing.AtMostOnce, MaxAttempts: 1, Timeout: 5 * time.Second, Shares: shares},
	}}))
	st.Confirm(boot.Now())
	ro := &roster.Roster{Clock: clock, Log: zerolog.Nop()}
	if address != "" {
		ro.Reset([]feed.Object[roster.Endpoint]{{Name: "e", Value: &roster.Endpoint{ID: "e", Service: "s", Address: address, Slots: 4}}})
	}
	di := &dispatch.Dispatcher{
		State: st, Roster: ro, Tracker: &placement.LoadTracker{Clock: clock}, Budget: &budget.Window{Clock: clock, Span: time.Minute, Extra: func() float64 { return 0 }}, Codec: testCodec{},
		Gate: &backpressure.Gate{
			Transport: &upstream.Pool{IDHeader: "Id", Clock: clock}, Decode: func(*upstream.Answer) backpressure.Signal { return backpressure.Signal{} },
			Registry: &backpressure.Registry{Boot: boottime.System{}, Log: zerolog.Nop()},
		}, Clock: clock, Log: zerolog.Nop(),
		MaxAges: func() dispatch.MaxAges { return dispatch.MaxAges{Key: time.Hour, Deny: time.Hour} },
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hangups := &hangup.Watcher{Clock: clock, Interval: 10 * time.Millisecond}
	se := &Server{Listener: ln, Codec: testCodec{}, Dispatcher: di, Hangups: hangups, Clock: clock, Log: zerolog.Nop()}
	for _, option := range options {
		option(se)
	}
	se.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = hangups.Run(ctx) }()
	go func() { _ = se.Run(ctx) }()
	return se, "http://" + ln.Addr().String()
}

// readsAhead lets a server read streams ahead.
func readsAhead(se *Server) { se.ReadAhead = &readahead.Budget{Bytes: readahead.DefaultBytes} }

func answer(conn net.Conn, id string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nServer-Only: x\r\nContent-Length: 4\r\n\r\nbody")
}

func get(t *testing.T, url string) (*http.Response, string, error) {
	t.Helper()
	re, err := http.NewRequest(http.MethodPost, url, strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	re.Header.Set("Id", "7")
	resp, err := http.DefaultClient.Do(re)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestAnswerIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	_, url := start(t, endpoint(t, answer))
	resp, body, err := get(t, url+"/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Expect(body).To(Equal("body"))
	g.Expect(resp.Header.Get("Id")).To(Equal("7"))
	g.Expect(resp.Header).NotTo(HaveKey("Server-Only"))
	g.Expect(resp.Header).NotTo(HaveKey("Server"))
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	_, url := start(t, "")
	resp, _, err := get(t, url+"/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).To(Equal("0.250"))
}

// A server with a bound refuses requests beyond it at once, as not run, and takes others
// when those before have ended.
func TestRequestsBeyondTheBound(t *testing.T) {
	g := NewWithT(t)
	began, finish := make(chan struct{}, 2), make(chan struct{})
	_, url := start(t, endpoint(t, func(conn net.Conn, id string) {
		began <- struct{}{}
		<-finish
		answer(conn, id)
	}), func(se *Server) { se.MaxInFlight, se.IDHeader = 1, "Id" })
	done := make(chan int, 1)
	go func() {
		resp, _, _ := get(t, url+"/x")
		done <- resp.StatusCode
	}()
	g.Eventually(began, "5s").Should(Receive())
	resp, body, err := get(t, url+"/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests))
	g.Expect(resp.Header.Get("Id")).To(Equal("7"))
	g.Expect(body).To(ContainSubstring(`"outcome":"not_run"`))
	close(finish)
	g.Eventually(done, "5s").Should(Receive(Equal(200)))
	resp, _, err = get(t, url+"/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
}

// A status that implies that a request has not run may be used only if the outcome
// guarantees it. Otherwise callers would retry requests that may have run.
func TestPromisedStatus(t *testing.T) {
	for reason := range refusal.Table {
		for _, dispatched := range []bool{false, true} {
			er := refusal.New(reason, "")
			er.Dispatched = dispatched
			var ctx fasthttp.RequestCtx
			refuse(&ctx, &dispatch.Request{}, er)
			if refusal.ImpliesNotRun(ctx.Response.StatusCode()) && er.Rule().Outcome != refusal.NotRun {
				t.Errorf("%s, dispatched %v: status %d implies that the request has not run, the outcome does not", reason, dispatched, ctx.Response.StatusCode())
			}
			if !refusal.ImpliesNotRun(ctx.Response.StatusCode()) && len(ctx.Response.Header.Peek("Retry-After")) > 0 {
				t.Errorf("%s: Retry-After for a request that may have run", reason)
			}
			if pr := fmt.Sprintf(`"status":%d`, ctx.Response.StatusCode()); !strings.Contains(string(ctx.Response.Body()), pr) {
				t.Errorf("%s, dispatched %v: the body lacks %s", reason, dispatched, pr)
			}
			if er.Rule().Outcome == refusal.NotRun && ctx.Response.StatusCode() >= 500 && !refusal.ImpliesNotRun(ctx.Response.StatusCode()) {
				t.Errorf("%s: status %d hides that the request has not run", reason, ctx.Response.StatusCode())
			}
		}
	}
}

func TestPauseLeavesTimeForTheAnswer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(retryAfter(&dispatch.Request{CallerTimeout: 400 * time.Millisecond}, time.Second)).To(Equal(100 * time.Millisecond))
	g.Expect(retryAfter(&dispatch.Request{}, time.Second)).To(Equal(time.Second))
}

// Callers that read a large answer slowly, and long bodies of requests in flight, took
// memory without a common bound.
func TestBodiesHaveACommonBound(t *testing.T) {
	g := NewWithT(t)
	began, finish := make(chan struct{}, 1), make(chan struct{})
	memory := &buffer.Budget{Bytes: 1 << 20}
	se, url := start(t, endpoint(t, func(conn net.Conn, id string) {
		began <- struct{}{}
		<-finish
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, 100<<10, strings.Repeat("a", 100<<10))
	}), func(se *Server) { se.Memory = memory })
	se.Dispatcher.Memory = memory
	post := func(size int) (int, string) {
		re, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader(strings.Repeat("b", size)))
		g.Expect(err).NotTo(HaveOccurred())
		re.Header.Set("Id", "7")
		resp, err := http.DefaultClient.Do(re)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(body)
	}
	done := make(chan string, 1)
	go func() {
		_, body := post(200 << 10)
		done <- body
	}()
	g.Eventually(began, "5s").Should(Receive())
	status, body := post(200 << 10)
	g.Expect(status).To(Equal(http.StatusTooManyRequests))
	g.Expect(body).To(ContainSubstring(`"outcome":"not_run"`))
	close(finish)
	g.Eventually(done, "5s").Should(Receive(HaveLen(100 << 10)))
	g.Eventually(memory.Used, "5s").Should(BeZero())
	status, body = post(200 << 10)
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal(strings.Repeat("a", 100<<10)))
	g.Eventually(memory.Used, "5s").Should(BeZero())
}

// A stream whose endpoint closes the connection before the final chunk must not
// look complete to the caller.
func TestBrokenStreamEndsWithoutItsEnd(t *testing.T) {
	g := NewWithT(t)
	address := endpoint(t, func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n")
	})
	for _, option := range []func(*Server){func(*Server) {}, readsAhead} {
		_, url := start(t, address, option)
		_, body, err := get(t, url+"/stream/x")
		g.Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
		g.Expect(body).To(Equal("id: 1\ndata: ab\n\n"))
	}
}

// The request at the endpoint is canceled when the caller closes its connection,
// before the answer as well as in the middle of a stream.
func TestCallerThatLeaves(t *testing.T) {
	for _, ca := range []struct {
		name, path string
		option     func(*Server)
	}{
		{"plain", "/x", func(*Server) {}},
		{"stream", "/stream/x", func(*Server) {}},
		{"stream that is read ahead", "/stream/x", readsAhead},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g, path := NewWithT(t), ca.path
			began, ended := make(chan struct{}), make(chan struct{})
			se, url := start(t, endpoint(t, func(conn net.Conn, id string) {
				if path != "/x" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n")
				}
				close(began)
				_, _ = conn.Read(make([]byte, 1))
				close(ended)
			}), ca.option)
			conn, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(began, "5s").Should(BeClosed())
			g.Expect(conn.Close()).To(Succeed())
			g.Eventually(ended, "5s").Should(BeClosed())
			g.Eventually(se.InFlight, "5s").Should(BeZero())
			if se.ReadAhead != nil {
				g.Eventually(se.ReadAhead.Used, "5s").Should(BeZero())
			}
		})
	}
}

// panickingCodec panics on one path before and on another after the request is
// decoded.
type panickingCodec struct{ testCodec }

func (pc panickingCodec) Request(ctx *fasthttp.RequestCtx, body []byte, arrived time.Time) *dispatch.Request {
	if string(ctx.Path()) == "/decode" {
		panic("unexpected request")
	}
	return pc.testCodec.Request(ctx, body, arrived)
}

func (pc panickingCodec) Call(re *dispatch.Request, at dispatch.Attempt) upstream.Call {
	if re.Path == "/call" {
		panic("unexpected call")
	}
	return pc.testCodec.Call(re, at)
}

// One request that makes the instance panic took the whole process down.
func TestPanicEndsOneRequest(t *testing.T) {
	g := NewWithT(t)
	se, url := start(t, endpoint(t, answer))
	se.Codec, se.Dispatcher.Codec = panickingCodec{}, panickingCodec{}
	for _, path := range []string{"/decode", "/call"} {
		resp, _, err := get(t, url+path)
		g.Expect(err).NotTo(HaveOccurred(), path)
		g.Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError), path)
	}
	_, body, err := get(t, url+"/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("body"))
	g.Expect(se.InFlight()).To(BeZero())
}
