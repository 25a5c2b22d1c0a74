package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

// beginStream writes the head of a stream in chunks, with further fields.
func beginStream(conn net.Conn, re *http.Request, fields string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\n%sTransfer-Encoding: chunked\r\n\r\n", re.Header.Get("Id"), fields)
}

// namedEvent returns the event that the last call named which let a run go on.
func (ha *harness) namedEvent() string {
	last := ""
	for _, rp := range ha.replicas {
		if rp.requestCount() > 0 && rp.lastHeader().Get("From") != "" {
			last = rp.lastHeader().Get("Last")
		}
	}
	return last
}

// inTurn answers each call with the next of some parts of a stream. All but the last break off.
func inTurn(parts ...string) func(net.Conn, *http.Request) {
	var calls atomic.Int64
	return func(conn net.Conn, re *http.Request) {
		number := int(calls.Add(1))
		beginStream(conn, re, "")
		chunk(conn, parts[min(number, len(parts))-1])
		if number >= len(parts) {
			chunk(conn, "")
			return
		}
		_ = conn.Close()
	}
}

// Guards against events that come twice because they have no ID: an engine where their run
// goes on can't be told that the caller has them. Those that it sends again are left out; one
// that does not send the same again is not passed on.
func TestRunGoesOnBehindEventsWithoutID(t *testing.T) {
	const first, second, third = "data: one\n\n", "data: one\n\n", "event: end\ndata: three\n\n"
	five, six := "id: 5\ndata: x\n\n", "id: 6\ndata: x\n\n"
	for name, ca := range map[string]struct {
		after string
		parts []string
		// last is the event that the last call names, and want what the caller gets.
		last, want string
		broken     bool
	}{
		"from the start":                {"", []string{first + second, first + second + third}, "", first + second + third, false},
		"behind what the caller has":    {"5", []string{first, first + six}, "5", first + six, false},
		"behind an event with an ID":    {"2", []string{five + first, first + second}, "5", five + first + second, false},
		"a second time":                 {"", []string{first + third, first, first + third + six}, "", first + third + six, false},
		"again behind one with an ID":   {"", []string{first + five, six}, "5", first + five + six, false},
		"the second of two IDs":         {"", []string{"id: 4\nid: 5\ndata: x\n\n", six}, "5", "id: 4\nid: 5\ndata: x\n\n" + six, false},
		"lines that end with a return":  {"", []string{"id: 5\rdata: x\n\n", six}, "5", "id: 5\rdata: x\n\n" + six, false},
		"an ID that no field can have":  {"4", []string{"id: 5\x00\ndata: x\n\n", "id: 5\x00\ndata: x\n\n" + six}, "4", "id: 5\x00\ndata: x\n\n" + six, false},
		"comments are none":             {"5", []string{": a\n\n", six}, "5", ": a\n\n" + six, false},
		"nor are events without data":   {"5", []string{"retry: 9\n\n", six}, "5", "retry: 9\n\n" + six, false},
		"comments between them":         {"", []string{": a\n\n" + first, first + ": b\n\n" + six}, "", ": a\n\n" + first + ": b\n\n" + six, false},
		"an ID without data":            {"", []string{first + "id: 5\n\n", six}, "5", first + "id: 5\n\n" + six, false},
		"other events":                  {"", []string{first, third + six}, "", first, true},
		"the next event":                {"5", []string{first, six}, "5", first, true},
		"the end":                       {"", []string{first + third, first}, "", first + third, true},
		"too many to be compared":       {"", []string{strings.Repeat(first, maxUnnamedEvents+1), six}, "", strings.Repeat(first, maxUnnamedEvents+1), true},
		"as many as can be, once again": {"", []string{strings.Repeat(first, maxUnnamedEvents), strings.Repeat(first, maxUnnamedEvents) + six}, "", strings.Repeat(first, maxUnnamedEvents) + six, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			script := inTurn(ca.parts...)
			ha := newHarness(t, script, script)
			re := ha.longRequest()
			re.LastEvent = ca.after
			got, err := readEvents(ha.Serve(t.Context(), re))
			g.Expect(err != nil).To(Equal(ca.broken), "%v", err)
			g.Expect(got).To(Equal(ca.want))
			g.Expect(ha.namedEvent()).To(Equal(ca.last))
			g.Expect(ha.Tracker.Loads()).To(BeEmpty())
		})
	}
}

// Guards against a move that ends a stream for good: a run that can't go on elsewhere stays
// where it is. An answer that is no stream of events has no IDs.
func TestRunWithoutAPositionIsNotMoved(t *testing.T) {
	const line = "a line\n\n"
	for count, removed := range map[int]bool{maxUnnamedEvents: false, maxUnnamedEvents + 1: true} {
		g := NewWithT(t)
		ha := newHarness(t, func(conn net.Conn, re *http.Request) {
			beginStream(conn, re, "Content-Type: text/plain\r\n")
			chunk(conn, strings.Repeat(line, count))
			hangs(conn, re)
		})
		mo := &moverOnce{harness: ha}
		ha.Runs = mo
		rp := ha.Serve(t.Context(), ha.longRequest())
		_, err := io.ReadFull(rp.Events, make([]byte, count*len(line)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(mo.removed).To(Equal(removed), "%d lines", count)
		g.Expect(rp.Events.Close()).To(Succeed())
	}
}

// Guards against events that come twice when the connection of a stream goes silent before its
// first event, and the caller asked to go on behind one.
func TestSilentStreamGoesOnWhereTheCallerAsked(t *testing.T) {
	g := NewWithT(t)
	script := func(conn net.Conn, re *http.Request) {
		if re.Header.Get("From") != "" {
			events(6, 8, true)(conn, re)
			return
		}
		beginStream(conn, re, "")
		hangs(conn, re)
	}
	ha := newHarness(t, script, script)
	ha.Runs = &oneMover{ha: ha}
	ha.Reachable = func(context.Context, string) bool { return true }
	var reports atomic.Int64
	ha.Progress = func(context.Context, roster.Endpoint, string) (int, error) { return int(reports.Add(1)), nil }
	re := ha.longRequest()
	re.LastEvent, re.Path = "5", "/long/"
	got, err := readEvents(ha.Serve(t.Context(), re))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(6, 8)))
	g.Expect(ha.namedEvent()).To(Equal("5"))
}
