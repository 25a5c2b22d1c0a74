package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
)

// rawEndpoint is an endpoint that answers each request with a function that
// writes raw bytes to the connection.
type rawEndpoint struct {
	address  string
	mu       sync.Mutex
	conns    int
	requests []string
}

func serveRaw(t *testing.T, answer func(conn net.Conn, re *http.Request, body string)) *rawEndpoint {
	t.Helper()
	ep := &rawEndpoint{}
	ep.address = answerfake.ServeRaw(t, func(conn *net.TCPConn) { ep.serve(conn, answer) })
	return ep
}

func (ep *rawEndpoint) serve(conn net.Conn, answer func(net.Conn, *http.Request, string)) {
	ep.mu.Lock()
	ep.conns++
	ep.mu.Unlock()
	rd := bufio.NewReader(conn)
	for {
		re, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		body, err := io.ReadAll(re.Body)
		if err != nil {
			return
		}
		ep.mu.Lock()
		ep.requests = append(ep.requests, re.Header.Get("Id"))
		ep.mu.Unlock()
		answer(conn, re, string(body))
	}
}

func (ep *rawEndpoint) connections() int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return ep.conns
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func (ep *rawEndpoint) call(id string) Call {
	return Call{
		Address: ep.address, Method: "GET", Target: "/x", Host: "h", ID: id,
		Headers: []Header{{"Id", id}}, MaxIdle: time.Minute,
	}
}

func newPool() *Pool { return &Pool{IDHeader: "Id", Clock: clockwork.NewRealClock()} }

const okResponseTemplate = "HTTP/1.1 200 OK\r\nId: %ID%\r\nContent-Length: 2\r\n\r\nok"

func okResponse(id string) string { return strings.ReplaceAll(okResponseTemplate, "%ID%", id) }

// Do and ReadAll classify complete, truncated, malformed and wrong answers.
func TestAnswers(t *testing.T) {
	for _, ca := range []struct {
		name   string
		answer string
		// kind is the kind of the error of Do, or empty. readErr means that ReadAll
		// must return an error.
		kind    ErrorKind
		readErr bool
		body    string
		framed  bool
	}{
		{"a length", okResponse("1"), "", false, "ok", true},
		{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "", false, "ok", true},
		{"no length, ends with the connection", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", "", false, "ok", false},
		{"an interim response first", "HTTP/1.1 102 Processing\r\n\r\n" + okResponse("1"), "", false, "ok", true},
		{"a length that is not reached", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok", "", true, "", true},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", true, "", true},
		{"no content", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", "", false, "", true},
		{"bytes that are not HTTP", "\x00\x01garbage\r\n\r\n", Lost, false, "", false},
		{"nothing", "", Lost, false, "", false},
		{"an answer to another request", okResponse("2"), Mismatched, false, "", false},
		{"an answer without an id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Mismatched, false, "", false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ep := serveRaw(t, func(conn net.Conn, _ *http.Request, _ string) {
				write(conn, ca.answer)
				_ = conn.Close()
			})
			an, err := newPool().Do(context.Background(), ep.call("1"))
			if ca.kind != "" {
				g.Expect(err).To(HaveOccurred())
				g.Expect(KindOf(err)).To(Equal(ca.kind))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			defer an.Close()
			body, err := an.ReadAll(100)
			g.Expect(err != nil).To(Equal(ca.readErr))
			g.Expect(string(body)).To(Equal(ca.body))
			g.Expect(an.Framed).To(Equal(ca.framed))
		})
	}
}

func exchange(po *Pool, ca Call) (string, error) {
	an, err := po.Do(context.Background(), ca)
	if err != nil {
		return "", err
	}
	defer an.Close()
	body, err := an.ReadAll(100)
	return string(body), err
}

// Scenario: a late answer to an earlier request arrives on a reused connection
// before the answer to the current request. It must be skipped because of its ID.
func TestLateAnswerOnAKeptConnection(t *testing.T) {
	g := NewWithT(t)
	ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) {
		if re.Header.Get("Id") == "2" {
			write(conn, strings.ReplaceAll(okResponse("1"), "\r\n\r\nok", "\r\n\r\nno"))
		}
		write(conn, okResponse(re.Header.Get("Id")))
	})
	po := newPool()
	_, err := exchange(po, ep.call("1"))
	g.Expect(err).NotTo(HaveOccurred())
	body, err := exchange(po, ep.call("2"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
	g.Expect(ep.connections()).To(Equal(1))
}

// Scenario: an endpoint sends further data after its answer, at once or after a
// pause. The connection must not be used again.
func TestSecondAnswerEndsTheConnection(t *testing.T) {
	for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
		g := NewWithT(t)
		ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) {
			write(conn, okResponse(re.Header.Get("Id")))
			time.Sleep(pause)
			write(conn, okResponse(re.Header.Get("Id")))
		})
		po := newPool()
		_, err := exchange(po, ep.call("1"))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2*pause + 20*time.Millisecond)
		body, err := exchange(po, ep.call("2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
		g.Expect(ep.connections()).To(Equal(2))
	}
}

func TestKeptConnections(t *testing.T) {
	t.Run("are used again", func(t *testing.T) {
		g := NewWithT(t)
		ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) { write(conn, okResponse(re.Header.Get("Id"))) })
		po := newPool()
		for _, id := range []string{"1", "2", "3"} {
			_, err := exchange(po, ep.call(id))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(ep.connections()).To(Equal(1))
	})
	t.Run("are not used beyond the idle time of the endpoint", func(t *testing.T) {
		g := NewWithT(t)
		clock := clockwork.NewFakeClock()
		ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) {
			write(conn, strings.Replace(okResponse(re.Header.Get("Id")), "\r\n\r\n", "\r\nKeep-Alive: timeout=2\r\n\r\n", 1))
		})
		po := &Pool{IDHeader: "Id", Clock: clock}
		_, err := exchange(po, ep.call("1"))
		g.Expect(err).NotTo(HaveOccurred())
		clock.Advance(2*time.Second - idleMargin)
		_, err = exchange(po, ep.call("2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ep.connections()).To(Equal(2))
	})
	t.Run("are pruned", func(t *testing.T) {
		g := NewWithT(t)
		clock := clockwork.NewFakeClock()
		ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) { write(conn, okResponse(re.Header.Get("Id"))) })
		po := &Pool{IDHeader: "Id", Clock: clock}
		_, err := exchange(po, ep.call("1"))
		g.Expect(err).NotTo(HaveOccurred())
		po.Prune()
		g.Expect(po.idle).To(HaveLen(1))
		clock.Advance(defaultIdleLimit)
		po.Prune()
		g.Expect(po.idle).To(BeEmpty())
	})
}

// The kind of an error is NotSent only if no connection was made. A call that is
// canceled after it was sent has kind Canceled.
func TestWhatAFailureProves(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ln.Close()).To(Succeed())
	_, err = newPool().Do(context.Background(), Call{Address: ln.Addr().String(), Method: "GET", Target: "/", ID: "1"})
	g.Expect(KindOf(err)).To(Equal(NotSent))

	ep := serveRaw(t, func(net.Conn, *http.Request, string) { time.Sleep(time.Second) })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err = newPool().Do(ctx, ep.call("1"))
	g.Expect(KindOf(err)).To(Equal(Canceled))
	g.Expect(errors.Is(ctx.Err(), context.DeadlineExceeded)).To(BeTrue())
}

// Scenario: the context is canceled while the body is read. The connection must
// be closed, so that the endpoint aborts the request.
func TestCancelReachesTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	ep := serveRaw(t, func(conn net.Conn, _ *http.Request, _ string) {
		write(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	an, err := newPool().Do(ctx, ep.call("1"))
	g.Expect(err).NotTo(HaveOccurred())
	defer an.Close()
	cancel()
	g.Eventually(closed, "5s").Should(BeClosed())
}

// Scenario: an endpoint answers before it has read a long request body. The
// answer must be delivered. The connection must not be used again, because the
// rest of the body has not been written to it.
func TestEarlyAnswerToALongBody(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			write(conn, strings.Replace(okResponse("1"), "200 OK", "503 Busy", 1))
			conns <- conn
		}
	}()
	po := newPool()
	ca := Call{Address: ln.Addr().String(), Method: "POST", Target: "/x", Host: "h", ID: "1", Body: make([]byte, 16<<20), MaxIdle: time.Minute}
	an, err := po.Do(context.Background(), ca)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(an.Status).To(Equal(503))
	_, err = an.ReadAll(100)
	g.Expect(err).NotTo(HaveOccurred())
	an.Close()
	g.Expect(po.idle).To(BeEmpty())
	_ = (<-conns).Close()
}

func TestRequestsAreWrittenAsGiven(t *testing.T) {
	for _, ca := range []struct {
		name string
		call Call
		head string
	}{
		{"no body", Call{Method: "GET", Target: "/a?b=%2F", Host: "h", Headers: []Header{{"X-One", "1"}}}, "GET /a?b=%2F HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n\r\n"},
		{"an empty body with a length", Call{Method: "POST", Target: "/", Host: "h", HasBody: true}, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		{"a body", Call{Method: "GET", Target: "/", Host: "h", Body: []byte("abc")}, "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"},
	} {
		t.Run(ca.name, func(t *testing.T) { NewWithT(t).Expect(string(ca.call.head())).To(Equal(ca.head)) })
	}
}

// A second copy of an answer arrives late on a kept connection, just after a call
// without an ID was sent there. That call must not take it for its own answer.
func TestLateAnswerBeforeCallWithoutID(t *testing.T) {
	g := NewWithT(t)
	const first = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst"
	ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) {
		if re.Header.Get("Id") == "" {
			write(conn, first+"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport")
			return
		}
		write(conn, first)
	})
	po := &Pool{IDHeader: "Id", Clock: clockwork.NewRealClock()}
	address := ep.address
	an, err := po.Do(context.Background(), Call{Address: address, Method: "GET", Target: "/", Host: "h", ID: "1", Headers: []Header{{"Id", "1"}}, MaxIdle: time.Second})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = an.ReadAll(100)
	g.Expect(err).NotTo(HaveOccurred())
	an.Close()
	// The connection is handed to calls without an ID, which have their own otherwise.
	cn := po.take(Call{Address: address, ID: "2", MaxIdle: time.Second})
	cn.key.hasID = false
	po.put(cn)
	an, err = po.Do(context.Background(), Call{Address: address, Method: "GET", Target: "/report", Host: "h", MaxIdle: time.Second})
	g.Expect(err).NotTo(HaveOccurred())
	body, err := an.ReadAll(100)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("report"))
	an.Close()
	g.Expect(ep.connections()).To(Equal(1))
}

// A connection is kept after a chunked answer, unless the endpoint sends more than the
// answer.
func TestChunkedAnswersKeepTheirConnection(t *testing.T) {
	for _, ca := range []struct {
		name, body  string
		connections int32
	}{
		{"complete", "4\r\nbody\r\n0\r\n\r\n", 1},
		{"more than the answer", "4\r\nbody\r\n0\r\n\r\nx", 3},
		{"trailer", "4\r\nbody\r\n0\r\nT: x\r\n\r\n", 3},
		{"no line break at the end", "4\r\nbody\r\n0\r\n", 3},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = ln.Close() })
			var connections atomic.Int32
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					connections.Add(1)
					go func() {
						rd := bufio.NewReader(conn)
						for {
							re, err := http.ReadRequest(rd)
							if err != nil {
								return
							}
							_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+re.Header.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n"+ca.body)
						}
					}()
				}
			}()
			po := &Pool{IDHeader: "Id", Clock: clockwork.NewRealClock()}
			for _, id := range []string{"1", "2", "3"} {
				an, err := po.Do(context.Background(), Call{Address: ln.Addr().String(), Method: "GET", Target: "/", Host: "h", ID: id, Headers: []Header{{"Id", id}}, MaxIdle: time.Second})
				g.Expect(err).NotTo(HaveOccurred())
				body, err := an.ReadAll(100)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(body)).To(Equal("body"))
				an.Close()
			}
			g.Expect(connections.Load()).To(Equal(ca.connections))
		})
	}
}
