package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// crashes breaks a run from its start inside an event, and makes the rest of one
// that goes on from a copy.
func crashes(conn net.Conn, re *http.Request) {
	if re.Header.Get("From") != "" {
		events(4, 6, true)(conn, re)
		return
	}
	events(1, 3, false)(conn, re)
}

// long is a request for a stream that is worth a standby copy.
func (wo *world) long() *Request {
	re := wo.request("/stream/")
	re.Prompt.MaxOutput = 2000
	return re
}

// Pattern: engines crash without notice, in the middle of long answers.
func TestStandbyTakesOver(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t, crashes, crashes)
	re := wo.long()
	got, err := readEvents(wo.Serve(t.Context(), re))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	first, second := wo.replicas[0], wo.replicas[1]
	if first.lastHead().Get("From") != "" {
		first, second = second, first
	}
	g.Expect(first.lastHead().Get("Standby")).To(Equal(second.Addr().String()))
	g.Expect(second.lastHead().Get("From")).To(Equal(re.ID), "the copy has the name of the request")
	g.Expect(second.lastHead().Get("Last")).To(Equal("3"))
	g.Expect(wo.Board.Loads()).To(BeEmpty(), "nothing is left in the accounts")
}

func TestStreamsWithoutStandby(t *testing.T) {
	for _, ca := range []struct {
		name    string
		prepare func(wo *world, re *Request)
	}{
		{"a short answer", func(_ *world, re *Request) { re.Prompt.MaxOutput = 40 }},
		{"no memory to spare", func(wo *world, _ *Request) {
			for _, id := range []string{"e0", "e1"} {
				en, _ := wo.Roster.View().Get(id)
				wo.Board.Begin(en, placement.Work{Engine: wo.engine(), Prompt: 6000})
			}
		}},
		{"the zone of the copy was emptied since", func(wo *world, _ *Request) {
			for _, rp := range wo.replicas {
				rp.script = func(conn net.Conn, re *http.Request) {
					wo.Roster.Evacuate([]string{"a"})
					events(1, 3, false)(conn, re)
				}
			}
		}},
		{"no other engine", func(wo *world, _ *Request) { wo.Roster.Leave("e1") }},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			wo := newWorld(t, crashes, crashes)
			re := wo.long()
			ca.prepare(wo, re)
			got, err := readEvents(wo.Serve(t.Context(), re))
			g.Expect(err).To(HaveOccurred())
			g.Expect(got).To(Equal(numbered(1, 3)))
			g.Expect(wo.runs()).To(Equal(1))
		})
	}
}

// Pattern: an engine is replaced by another start under its ID, which knows
// nothing of copies.
func TestRestartedStandbyHasNoCopy(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(t)
	wo.addReplica("e0", nil)
	en := roster.Endpoint{ID: "e0", Service: "s", Started: 1}
	wo.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: "e0", Value: &en}}})
	se := &session{di: wo.Dispatcher, ta: &task{Request: wo.long()}}
	se.work = placement.Work{Engine: wo.engine(), Prompt: 100, Output: 100}
	keep := func() { se.standby = &standby{endpoint: en, ticket: wo.Board.Reserve(en, se.work)} }
	keep()
	again := en
	again.Started = 2
	wo.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: "e0", Value: &again}}})
	_, found := se.takeOver()
	g.Expect(found).To(BeFalse())
	en = again
	keep()
	mv, found := se.takeOver()
	g.Expect(found).To(BeTrue())
	g.Expect(mv.Handle).To(Equal(se.ta.ID))
	_, found = se.takeOver()
	g.Expect(found).To(BeFalse(), "a copy is used once")
}

// silent makes some events and then nothing, until the connection is closed.
func silent(conn net.Conn, re *http.Request) {
	if re.Header.Get("From") != "" {
		events(4, 6, true)(conn, re)
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n", re.Header.Get("Id"))
	for ix := 1; ix <= 3; ix++ {
		chunk(conn, fmt.Sprintf("id: %d\ndata: x\n\n", ix))
	}
	_, _ = conn.Read(make([]byte, 1))
}

// Pattern: a zone is cut off and streams across its border go silent. The engine
// must be unreachable, too: a run that is preempted pauses as long.
func TestSilentStreams(t *testing.T) {
	for _, ca := range []struct {
		name      string
		reachable []bool
		want      string
	}{
		{"the engine can't be reached", []bool{false, false}, numbered(1, 6)},
		{"one packet was lost", []bool{false, true}, numbered(1, 3)},
		{"the engine pauses", []bool{true}, numbered(1, 3)},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			wo := newWorld(t, silent, silent)
			var looks atomic.Int64
			wo.Reachable = func(context.Context, string) bool { return ca.reachable[min(int(looks.Add(1)), len(ca.reachable))-1] }
			got, err := readEvents(wo.Serve(t.Context(), wo.long()))
			g.Expect(got).To(Equal(ca.want))
			g.Expect(err == nil).To(Equal(got == numbered(1, 6)))
			g.Expect(looks.Load()).To(BeNumerically(">=", len(ca.reachable)))
		})
	}
}
