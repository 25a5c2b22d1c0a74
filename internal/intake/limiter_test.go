package intake

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// pair returns an accepted connection of a limiter and the other end.
func pair(t *testing.T, ln net.Listener) (cn *Conn, client net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	cn, _ = nc.(*Conn)
	return cn, client
}

func listen(t *testing.T, li *Limiter) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return li.Listen(ln)
}

// receive sends bytes from the client and reads them at the server.
func receive(t *testing.T, cn *Conn, client net.Conn, text string) error {
	t.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
	_, err := cn.Read(make([]byte, len(text)))
	return err
}

// serveOne brings a whole request, and lets the server read on after its answer.
func serveOne(t *testing.T, cn *Conn, client net.Conn) {
	t.Helper()
	if err := receive(t, cn, client, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	Served(cn)
	go func() { _, _ = cn.Read(make([]byte, 1)) }()
	NewWithT(t).Eventually(func() int {
		cn.li.mu.Lock()
		defer cn.li.mu.Unlock()
		return cn.li.proven.Len()
	}).Should(BeNumerically(">", 0))
}

func isClosed(cn *Conn) bool {
	cn.li.mu.Lock()
	defer cn.li.mu.Unlock()
	return cn.closed
}

// Connections without a whole request kept those with one from being accepted.
func TestConnectionsClosedForOthers(t *testing.T) {
	g := NewWithT(t)
	var causes []Cause
	li := &Limiter{Conns: 3, ActiveBytes: 1, OnClose: func(ca Cause) { causes = append(causes, ca) }}
	ln := listen(t, li)
	idleConn, idleClient := pair(t, ln)
	serveOne(t, idleConn, idleClient)
	older, olderClient := pair(t, ln)
	newer, _ := pair(t, ln)
	g.Expect(receive(t, older, olderClient, "GET / HT")).To(Succeed())
	pair(t, ln)
	g.Expect([]bool{isClosed(older), isClosed(newer), isClosed(idleConn)}).To(Equal([]bool{true, false, false}), "the oldest without a request")
	last, lastClient := pair(t, ln)
	g.Expect([]bool{isClosed(newer), isClosed(idleConn)}).To(Equal([]bool{true, false}))
	g.Expect(receive(t, last, lastClient, "GET / HTTP/1.1\r\n\r\n")).To(Succeed())
	g.Expect(Served(last)).To(BeTrue())
	pair(t, ln)
	pair(t, ln)
	g.Expect([]bool{isClosed(idleConn), isClosed(last)}).To(Equal([]bool{false, false}))
	g.Expect(causes).To(Equal([]Cause{Displaced, Displaced, Displaced, Displaced}))
	g.Expect(li.Open()).To(Equal(3))
}

// Heads that arrive took memory without a limit.
func TestMemoryOfHeads(t *testing.T) {
	g := NewWithT(t)
	li := &Limiter{Bytes: 3 * defaultSilentBytes, ActiveBytes: 2 * defaultSilentBytes}
	ln := listen(t, li)
	first, firstClient := pair(t, ln)
	second, secondClient := pair(t, ln)
	g.Expect(receive(t, first, firstClient, "GET")).To(Succeed())
	g.Expect(isClosed(second)).To(BeFalse(), "two silent ones and one more buffer fit")
	g.Expect(receive(t, second, secondClient, "GET")).To(Succeed())
	g.Expect(isClosed(first)).To(BeTrue())
	g.Expect(receive(t, second, secondClient, " / HTTP/1.1\r\n\r\n")).To(Succeed())
	g.Expect(Served(second)).To(BeTrue())
	third, thirdClient := pair(t, ln)
	g.Expect(receive(t, third, thirdClient, "GET")).To(MatchError(errNoRoom), "the other one serves a request")
	g.Expect(second.Close()).To(Succeed())
	g.Expect(third.Close()).To(Succeed())
	g.Expect([]int64{li.used, int64(li.conns)}).To(Equal([]int64{0, 0}))
}

// A head may take a time in all, a body any time as long as bytes arrive.
func TestTimesOfRequests(t *testing.T) {
	const bound, steps = 120 * time.Millisecond, 8
	for name, ca := range map[string]struct {
		begin string
		cause Cause
	}{
		"slow head":    {"GET / HTTP/1.1\r\n", HeadTimeout},
		"slow body":    {"POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n", ""},
		"stopped body": {"POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n", BodyTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var cause Cause
			li := &Limiter{HeadTimeout: func() time.Duration { return bound }, BodyTimeout: bound, OnClose: func(ca Cause) { cause = ca }}
			cn, client := pair(t, listen(t, li))
			g.Expect(receive(t, cn, client, ca.begin)).To(Succeed())
			if ca.cause != BodyTimeout {
				go func() {
					for range steps {
						time.Sleep(bound / 4)
						_, _ = io.WriteString(client, "x")
					}
				}()
			}
			var err error
			for count := 0; count < steps && err == nil; count++ {
				_, err = cn.Read(make([]byte, 1))
			}
			g.Expect(err != nil).To(Equal(ca.cause != ""))
			g.Expect(cause).To(Equal(ca.cause))
		})
	}
}

// An instance without a free descriptor stopped accepting connections, and ended.
func TestAcceptWithoutDescriptor(t *testing.T) {
	g := NewWithT(t)
	var causes []Cause
	li := &Limiter{OnClose: func(ca Cause) { causes = append(causes, ca) }}
	ln := listen(t, li)
	waiting, _ := pair(t, ln)
	failing := &failingListener{Listener: ln.(*listener).Listener, err: &net.OpError{Op: "accept", Err: syscall.EMFILE}}
	pair(t, li.Listen(failing))
	g.Expect(isClosed(waiting)).To(BeTrue())
	g.Expect(causes).To(Equal([]Cause{NoDescriptor, Displaced}))
	failing.err = errors.New("other")
	_, err := li.Listen(failing).Accept()
	g.Expect(err).To(MatchError("other"))
}

// failingListener returns an error once.
type failingListener struct {
	net.Listener
	once sync.Once
	err  error
}

func (fl *failingListener) Accept() (nc net.Conn, err error) {
	failed := false
	fl.once.Do(func() { failed = true })
	if failed || fl.err.Error() == "other" {
		return nil, fl.err
	}
	return fl.Listener.Accept()
}

// The head of a request ends with its first empty line; those before it don't count.
func TestScanner(t *testing.T) {
	for text, ends := range map[string]int{
		"GET / HTTP/1.1\r\n\r\n": 18, "GET /\n\n": 7, "\r\n\r\nGET /\r\nA: b\r\n\r\nbody": 19, "GET /\r\nA: b\r\n": 0, "\r\n\r\n\r\n": 0,
	} {
		t.Run(text, func(t *testing.T) {
			g := NewWithT(t)
			var sc scanner
			at := slices.IndexFunc([]byte(text), func(by byte) bool { return sc.scan([]byte{by}) })
			g.Expect(at + 1).To(Equal(ends))
		})
	}
}
