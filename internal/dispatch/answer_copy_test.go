package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
)

// copier makes endpoints write a copy of each earlier answer once more, before the answer to
// the next request on the connection. It counts the requests that came with an ID which their
// connection had carried before.
type copier struct {
	mu       sync.Mutex
	answers  map[net.Conn]map[string]string
	repeated int
	// count is how often a copy of the answer to the same ID is written.
	count int
}

// recorder records what is written.
type recorder struct {
	net.Conn
	text strings.Builder
}

func (re *recorder) Write(data []byte) (int, error) {
	re.text.Write(data)
	return re.Conn.Write(data)
}

func (co *copier) script(sc script) script {
	return func(conn net.Conn, re *http.Request) {
		id := re.Header.Get("Id")
		co.mu.Lock()
		earlier, found := co.answers[conn][id]
		if found {
			co.repeated++
		}
		co.mu.Unlock()
		if found {
			_, _ = fmt.Fprint(conn, strings.Repeat(earlier, co.count))
		}
		rc := &recorder{Conn: conn}
		sc(rc, re)
		co.mu.Lock()
		defer co.mu.Unlock()
		if co.answers == nil {
			co.answers = make(map[net.Conn]map[string]string)
		}
		if co.answers[conn] == nil {
			co.answers[conn] = make(map[string]string)
		}
		co.answers[conn][id] = rc.text.String()
	}
}

// alias registers a further ID at the address of an endpoint. The endpoint answers requests for
// it with misdirected if its script is onlyFor.
func (ha *harness) alias(id string, of *replica) {
	en := roster.Endpoint{ID: id, Service: "s", Zone: "a", Address: of.Addr().String(), Slots: 4}
	ha.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: id, Value: &en}}})
}

// firstThen answers the first request with an ID with one script and further ones with another.
func firstThen(first, then script) script {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(conn net.Conn, re *http.Request) {
		id := re.Header.Get("Id")
		mu.Lock()
		known := seen[id]
		seen[id] = true
		mu.Unlock()
		if known {
			then(conn, re)
			return
		}
		first(conn, re)
	}
}

// Guards against a copy of an answer that is taken for the answer to another attempt of the
// same request: each way by which an ID comes again to an address goes over another connection.
func TestIDComesAgainAtAnAddress(t *testing.T) {
	for _, ca := range []struct {
		name, path  string
		first, then script

		// status is what the caller gets, received what the address gets.
		status, received int
	}{
		{"another endpoint ID after 421", "/post/", misdirected, succeeds, 200, 2},
		{"another endpoint ID after 503", "/post/", busy, succeeds, 200, 2},
		{"idempotent, after 421", "/read/", misdirected, succeeds, 200, 2},
		{"idempotent, after 500", "/read/", fails, succeeds, 200, 2},
		{"idempotent, after 500 twice", "/read/", fails, fails, 500, 2},
		{"idempotent, unsigned answer", "/read/", unsigned, succeeds, 200, 2},
	} {
		for _, count := range []int{1, 3, 10} {
			t.Run(fmt.Sprintf("%s, %d copies", ca.name, count), func(t *testing.T) {
				g := NewWithT(t)
				co := &copier{count: count}
				ha := newHarness(t, co.script(firstThen(ca.first, ca.then)))
				ha.alias("alias1", ha.replicas[0])
				rp := ha.send(ca.path)
				g.Expect(rp.Status).To(Equal(ca.status), "%v", rp.Refusal)
				g.Expect(ha.received()).To(Equal(ca.received))
				g.Expect(co.repeated).To(BeZero())
			})
		}
	}
}

// Guards against a caller whose second request with the same ID gets the answer to its first,
// one after the other and at once.
func TestCallerSendsTheSameIDTwice(t *testing.T) {
	for name, first := range map[string]script{"refused": busy, "answered": reply(200, "Proof: p\r\n", "first")} {
		for _, atOnce := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, at once %v", name, atOnce), func(t *testing.T) {
				g := NewWithT(t)
				co := &copier{count: 1}
				ha := newHarness(t, co.script(firstThen(first, succeeds)))
				re := ha.request("/post/")
				var wg sync.WaitGroup
				for range 4 {
					send := func() {
						again := *re
						_ = ha.Serve(context.Background(), &again)
					}
					if atOnce {
						wg.Go(send)
						continue
					}
					send()
				}
				wg.Wait()
				g.Expect(ha.received()).To(Equal(4))
				g.Expect(co.repeated).To(BeZero())
			})
		}
	}
}

// Guards against a copy of a refusal that is taken for the answer of another instance, or of the
// endpoint after an instance refused, or that was given to an earlier forward of the same ID.
func TestForwardedIDComesAgain(t *testing.T) {
	g := NewWithT(t)
	co := &copier{count: 1}
	refuses := refusesWith(refusal.New(refusal.NoCapacity, "x"))
	ha := newHarness(t)
	list := ha.withInstances(true, co.script(firstThen(refuses, succeeds)), co.script(refuses))
	re := ha.request("/post/")
	for ix, status := range []int{0, 200, 200} {
		again := *re
		rp := ha.Serve(context.Background(), &again)
		g.Expect(rp.Status).To(Equal(status), "request %d", ix)
	}
	g.Expect(list[0].requestCount()).To(Equal(3))
	g.Expect(list[1].requestCount()).To(Equal(1))
	g.Expect(co.repeated).To(BeZero())
}

// Guards against a run that is called at a copy, or again at its source, where the address has
// answered a call with its ID before.
func TestRunComesAgainAtAnAddress(t *testing.T) {
	atCopy := map[string]struct {
		answer script
		want   string
	}{"takes it": {crashes, numbered(1, 6)}, "refuses the first call": {firstThen(busy, crashes), numbered(1, 6)}}
	for name, ca := range atCopy {
		for _, toSource := range []bool{false, true} {
			t.Run(fmt.Sprintf("copy %s, to the source %v", name, toSource), func(t *testing.T) {
				g := NewWithT(t)
				co := &copier{count: 1}
				script := co.script(func(conn net.Conn, re *http.Request) {
					if re.Header.Get("From") != "" {
						ca.answer(conn, re)
						return
					}
					crashes(conn, re)
				})
				ha := newHarness(t, script, script)
				ha.preferInOrder()
				at := "e1"
				if toSource {
					at = "e0"
				}
				target, _ := ha.Roster.View().Get(at)
				ha.Runs = &moverOnce{harness: ha, target: target}
				got, err := readEvents(ha.Serve(t.Context(), ha.longRequest()))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(Equal(ca.want))
				g.Expect(co.repeated).To(BeZero())
			})
		}
	}
}

// Guards against statements in the header of a skipped answer that count for the endpoint of the
// call, or that count twice.
func TestHeaderOfASkippedAnswerSaysNothing(t *testing.T) {
	for _, copies := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			g := NewWithT(t)
			begun := false
			ha := newHarness(t, func(conn net.Conn, re *http.Request) {
				if begun {
					_, _ = fmt.Fprint(conn, strings.Repeat("HTTP/1.1 503 X\r\nId: 0\r\nLimit: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", copies))
				}
				begun = true
				succeeds(conn, re)
			})
			en, _ := ha.Roster.View().Get("e0")
			observed := 0
			decode := ha.Gate.Decode
			ha.Gate.Decode = countedDecode(&observed, decode)
			for range 2 {
				g.Expect(ha.send("/post/").Status).To(Equal(200))
			}
			g.Expect(ha.Gate.Registry.IsLimited(en)).To(BeFalse())
			g.Expect(observed).To(Equal(2))
			g.Expect(ha.replicas[0].requestCount()).To(Equal(2))
		})
	}
}

// Guards against a promise ("not run") after an attempt whose answer was lost among copies:
// a request that is not idempotent fails without one, and takes nothing from the budget.
func TestManyCopiesLeaveADoubt(t *testing.T) {
	g := NewWithT(t)
	begun := false
	ha := newHarness(t, func(conn net.Conn, re *http.Request) {
		if begun {
			_, _ = fmt.Fprint(conn, strings.Repeat("HTTP/1.1 503 X\r\nId: 0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 3))
		}
		begun = true
		succeeds(conn, re)
	})
	g.Expect(ha.send("/post/").Status).To(Equal(200))
	rp := ha.send("/post/")
	g.Expect(reasonOf(rp)).To(Equal(refusal.EndpointLost))
	g.Expect(rp.Refusal.Rule().Outcome).NotTo(Equal(refusal.NotRun))
	g.Expect(ha.received()).To(Equal(2))
}

// Guards against log fields that are read from a connection after it was handed to another
// request, which is a data race.
func TestLogOfARefusalNamesItsOwnCall(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, busy, busy)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				_ = ha.send("/post/")
			}
		})
	}
	wg.Wait()
	g.Expect(ha.received()).To(BeNumerically(">", 0))
}

func countedDecode[Answer any](count *int, decode func(Answer) backpressure.Signal) func(Answer) backpressure.Signal {
	return func(an Answer) backpressure.Signal {
		*count++
		return decode(an)
	}
}

// Guards against a stream in which the copy of an earlier answer shows as events, or which ends
// as complete after it.
func TestCopyOfAnAnswerBetweenEvents(t *testing.T) { testCopyBetweenEvents(t, true) }

// The same for a stream that only the end of the connection ends.
func TestCopyOfAnAnswerBetweenEventsWithoutFraming(t *testing.T) { testCopyBetweenEvents(t, false) }

func testCopyBetweenEvents(t *testing.T, framed bool) {
	const stale = "HTTP/1.1 503 X\r\nId: 0\r\nNot-Run: 1\r\nContent-Length: 14\r\n\r\nid: 3\ndata: x\n\n"
	g := NewWithT(t)
	begun := false
	ha := newHarness(t, func(conn net.Conn, re *http.Request) {
		if !begun {
			begun = true
			succeeds(conn, re)
			return
		}
		fields, event := "", func(text string) { _, _ = fmt.Fprint(conn, text) }
		if framed {
			fields, event = "Transfer-Encoding: chunked\r\n", func(text string) { chunk(conn, text) }
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\n%s\r\n", re.Header.Get("Id"), fields)
		event(numbered(1, 2))
		_, _ = fmt.Fprint(conn, stale)
		event(numbered(4, 5))
		_ = conn.Close()
	})
	g.Expect(ha.send("/post/").Status).To(Equal(200))
	got, err := readEvents(ha.send("/stream/"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(numbered(1, 2)).To(HavePrefix(got))
}
