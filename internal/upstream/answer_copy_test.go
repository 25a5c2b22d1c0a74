package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// copied are answers to a call with an ID of which a faulty endpoint may write copies.
var copied = map[string]string{
	"refusal":      "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nno",
	"misdirected":  "HTTP/1.1 421 Other\r\nId: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"success":      "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nother",
	"server error": "HTTP/1.1 500 Error\r\nId: %s\r\nContent-Length: 2\r\n\r\nno",
	"chunked":      "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
	"no content":   "HTTP/1.1 204 None\r\nId: %s\r\n\r\n",
	"closes":       "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

const interim = "HTTP/1.1 100 Continue\r\n\r\n"

// A copy of any answer, at any time, must not be taken for the answer to a later call on the
// connection, whether that has the same ID or another: a caller got another's answer, or read
// that its request had not run though it ran.
func TestCopyOfAnAnswerIsNeverTakenForAnother(t *testing.T) {
	const pause = 20 * time.Millisecond
	for _, ca := range []struct {
		name string
		// atOnce and inPool are the copies written with the answer, and a while after it.
		// before are those written where the next answer is due, from the same connection.
		atOnce, inPool, before int
		interim                string
		body                   int
		// lost means that the next call fails, as one that may have run.
		lost bool
	}{
		{name: "in one piece with the answer", atOnce: 1},
		{name: "while the connection is in the pool", inPool: 1},
		{name: "10 while the connection is in the pool", inPool: 10},
		{name: "after the next request was written", before: 1},
		{name: "twice after the next request was written", before: 2},
		{name: "3 times after the next request was written", before: 3, lost: true},
		{name: "10 times after the next request was written", before: 10, lost: true},
		{name: "with one in the pool and one after", inPool: 1, before: 1},
		{name: "after an interim response", before: 1, interim: interim},
		{name: "after two interim responses", before: 1, interim: interim + interim, lost: true},
		{name: "after a large body was written", before: 1, body: 1 << 20},
	} {
		for kind, template := range copied {
			for _, id := range []string{"1", "2"} {
				t.Run(fmt.Sprintf("%s, %s, then ID %s", ca.name, kind, id), func(t *testing.T) {
					g := NewWithT(t)
					first := fmt.Sprintf(template, "1")
					var mu sync.Mutex
					carried := make(map[net.Conn]bool)
					begun := false
					ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) {
						mu.Lock()
						isFirst, repeats := !begun, carried[conn]
						begun, carried[conn] = true, true
						mu.Unlock()
						if isFirst {
							write(conn, first+strings.Repeat(first, ca.atOnce))
							time.Sleep(pause / 2)
							write(conn, strings.Repeat(first, ca.inPool))
							return
						}
						if repeats {
							write(conn, ca.interim+strings.Repeat(first, ca.before))
						}
						write(conn, okResponse(re.Header.Get("Id")))
					})
					po := newPool()
					_, err := exchange(po, ep.call("1"))
					g.Expect(err).NotTo(HaveOccurred())
					time.Sleep(pause)
					next := ep.call(id)
					next.Method, next.Body = "POST", make([]byte, ca.body)
					an, err := po.Do(context.Background(), next)
					// A copy that closes, or that follows the answer at once, ends the connection.
					if ca.lost && id == "2" && kind != "closes" {
						g.Expect(KindOf(err)).To(BeElementOf(Mismatched, Lost), "the request may have run")
						return
					}
					g.Expect(err).NotTo(HaveOccurred())
					defer an.Close()
					body, err := an.ReadAll(100)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(an.Status).To(Equal(200))
					g.Expect(string(body)).To(Equal("ok"))
				})
			}
		}
	}
}

// While a large body is still being written, an endpoint writes a copy of an earlier answer. It
// must be skipped, and the connection not kept if the answer comes before the body was read.
func TestCopyOfAnAnswerWhileABodyIsWritten(t *testing.T) {
	for name, template := range copied {
		if name == "closes" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = ln.Close() })
			first := fmt.Sprintf(template, "1")
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				rd := bufio.NewReader(conn)
				_, _ = http.ReadRequest(rd)
				write(conn, first)
				_, _ = rd.ReadString('\n')
				write(conn, first)
				time.Sleep(20 * time.Millisecond)
				write(conn, okResponse("2"))
				time.Sleep(100 * time.Millisecond)
			}()
			po := newPool()
			ca := Call{Address: ln.Addr().String(), Method: "POST", Target: "/x", Host: "h", ID: "1", MaxIdle: time.Minute}
			_, err = exchange(po, ca)
			g.Expect(err).NotTo(HaveOccurred())
			ca.ID, ca.Body = "2", make([]byte, 16<<20)
			body, err := exchange(po, ca)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("ok"))
			g.Expect(po.idle[ca.poolKey()]).To(BeEmpty())
		})
	}
}

// A copy of an earlier answer between the events of a stream breaks the stream, and one behind
// its end ends the connection. Neither may show as an event, or as the end of the stream.
func TestCopyOfAnAnswerInAStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, template := range copied {
		if name == "closes" {
			continue
		}
		for _, ca := range []struct {
			name, stream string
			whole        bool
		}{
			{"between events", head + "2\r\nab\r\n%s2\r\ncd\r\n0\r\n\r\n", false},
			{"before the first event", head + "%s2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n", false},
			{"before the last chunk", head + "2\r\nab\r\n2\r\ncd\r\n%s0\r\n\r\n", false},
			{"behind the end", head + "2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n%s", true},
		} {
			t.Run(name+" "+ca.name, func(t *testing.T) {
				g := NewWithT(t)
				first := fmt.Sprintf(template, "1")
				ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) {
					if re.Header.Get("Id") == "1" {
						write(conn, first)
						return
					}
					write(conn, fmt.Sprintf(ca.stream, first))
				})
				po := newPool()
				_, err := exchange(po, ep.call("1"))
				g.Expect(err).NotTo(HaveOccurred())
				an, err := po.Do(context.Background(), ep.call("2"))
				g.Expect(err).NotTo(HaveOccurred())
				data, err := io.ReadAll(an)
				an.Close()
				g.Expect("abcd").To(HavePrefix(string(data)), "no byte of the copy")
				g.Expect(err == nil).To(Equal(ca.whole))
				g.Expect(po.idle[ep.call("").poolKey()]).To(BeEmpty())
				g.Expect(po.take(ep.call("3"))).To(BeNil(), "the connection is not kept")
			})
		}
	}
}

// Calls without an ID: an answer with an ID is never theirs, and a connection with a refusal is
// not kept. A copy of a success is not distinguished from the next answer; calls for which that matters
// set Once.
func TestCopyOfAnAnswerToACallWithoutID(t *testing.T) {
	for _, ca := range []struct {
		name, status string
		once         bool
		want         string
	}{
		{"success, Once", "200 OK", true, "new"},
		{"not found", "404 Not Found", false, "new"},
		{"refusal", "503 Busy", false, "new"},
		{"conflict, Once", "409 Conflict", true, "new"},
		{"success", "200 OK", false, "old"},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			answer := "HTTP/1.1 " + ca.status + "\r\nContent-Length: 3\r\n\r\nold"
			var mu sync.Mutex
			carried := make(map[net.Conn]bool)
			begun := false
			ep := serveRaw(t, func(conn net.Conn, _ *http.Request, _ string) {
				mu.Lock()
				isFirst, repeats := !begun, carried[conn]
				begun, carried[conn] = true, true
				mu.Unlock()
				if isFirst {
					write(conn, answer)
					return
				}
				if repeats {
					write(conn, answer)
				}
				write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
			})
			po := newPool()
			call := Call{Address: ep.address, Method: "POST", Target: "/order", Host: "h", MaxIdle: time.Minute, Once: ca.once}
			_, err := exchange(po, call)
			g.Expect(err).NotTo(HaveOccurred())
			body, err := exchange(po, call)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal(ca.want))
		})
	}
}

// The answer to a HEAD request has no body, even if it states a length. Its copy, or one of another
// answer before the answer to a HEAD request, must not shift where the next answer begins.
func TestCopyOfAnAnswerAroundHead(t *testing.T) {
	const (
		ofHead = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n"
		inside = "HTTP/1.1 503 Busy\r\nId: 2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	)
	for _, ca := range []struct{ name, first, second, copy, real string }{
		{"copy of HEAD before GET", "HEAD", "GET", fmt.Sprintf(ofHead, 5), okResponse("2")},
		{
			"copy of HEAD before GET, whose body looks like an answer", "HEAD", "GET", fmt.Sprintf(ofHead, len("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 70\r\n\r\n")),
			fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: %d\r\n\r\n", len(inside)) + inside,
		},
		{
			"copy of GET before HEAD, whose body looks like an answer", "GET", "HEAD",
			fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(inside), inside), "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\n",
		},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			var mu sync.Mutex
			carried := make(map[net.Conn]bool)
			ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) {
				mu.Lock()
				repeats := carried[conn]
				carried[conn] = true
				mu.Unlock()
				if re.Header.Get("Id") == "1" {
					write(conn, ca.copy)
					return
				}
				if repeats {
					write(conn, ca.copy)
				}
				write(conn, ca.real)
			})
			po := newPool()
			first, second := ep.call("1"), ep.call("2")
			first.Method, second.Method = ca.first, ca.second
			_, err := exchange(po, first)
			g.Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			an, err := po.Do(ctx, second)
			g.Expect(err).NotTo(HaveOccurred())
			defer an.Close()
			g.Expect(an.Status).To(Equal(200))
		})
	}
}

// Many calls at once, with few IDs, while connections are pruned and dropped: no connection
// carries an ID twice, and each call gets its own answer.
func TestNoConnectionCarriesAnIDTwice(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	seen := make(map[net.Conn]map[string]bool)
	twice := 0
	ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) {
		id := re.Header.Get("Id")
		mu.Lock()
		if seen[conn] == nil {
			seen[conn] = make(map[string]bool)
		}
		if seen[conn][id] {
			twice++
		}
		seen[conn][id] = true
		mu.Unlock()
		write(conn, okResponse(id))
	})
	po := newPool()
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for ix := range 200 {
				_, err := exchange(po, ep.call(fmt.Sprint((worker+ix)%40)))
				g.Expect(err).NotTo(HaveOccurred())
				switch {
				case ix%50 == 49:
					po.drop(ep.address)
				case ix%10 == 9:
					po.Prune()
				}
			}
		})
	}
	wg.Wait()
	g.Expect(twice).To(BeZero())
}

// Guards against a caller that sends one ID again and again and gets a further connection kept
// for each: the endpoint and the instance would run out of connections.
func TestSameIDAgainAddsNoIdleConnections(t *testing.T) {
	g := NewWithT(t)
	ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) { write(conn, okResponse(re.Header.Get("Id"))) })
	po := newPool()
	for range 50 {
		_, err := exchange(po, ep.call("1"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(po.idle[ep.call("1").poolKey()]).To(HaveLen(1))
	_, err := exchange(po, ep.call("2"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ep.connections()).To(Equal(50), "the last is used by another ID")
}

// A connection is not kept beyond maxCallsPerConn calls.
func TestConnectionIsUsedUp(t *testing.T) {
	g := NewWithT(t)
	ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) { write(conn, okResponse(re.Header.Get("Id"))) })
	po := newPool()
	for ix := range maxCallsPerConn + 1 {
		_, err := exchange(po, ep.call(fmt.Sprint(ix)))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(ep.connections()).To(Equal(2))
	g.Expect(po.take(ep.call("1"))).NotTo(BeNil(), "the second has not carried it")
	g.Expect(po.idle[ep.call("1").poolKey()]).To(BeEmpty())
}

// The cost of finding a connection when each idle one has carried as many calls as it may.
func BenchmarkLastWithout(b *testing.B) {
	id := hashID("again")
	for _, count := range []int{1, 16, 256} {
		for _, found := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d idle, found %v", count, found), func(b *testing.B) {
				var list []*conn
				for range count {
					cn := &conn{carried: make([]uint64, maxCallsPerConn-1)}
					if !found {
						cn.carried[maxCallsPerConn-2] = id
					}
					list = append(list, cn)
				}
				for b.Loop() {
					_ = lastWithout(list, id)
				}
			})
		}
	}
}
