package trace

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const logs = `   1.2 edge-1 {"level":"info","instance":"edge-1","event":"placed","request":"r1","endpoint":"e1","endpoint_version":"v2","time":5000}
{"level":"info","instance":"edge-1","event":"rollout_rolled_back","service":"pool","target":"v2","state":"rolled_back","time":3000}
not a line
{"level":"info","instance":"edge-1","event":"endpoint_leaves","endpoint":"e1","time":6000}
{"level":"info","instance":"edge-2","event":"endpoint_leaves","endpoint":"e1","time":6001}
{"level":"info","instance":"edge-1","event":"endpoint_leaves","endpoint":"e7","time":6002}
{"level":"info","instance":"edge-1","event":"copy_failed","request":"r1","endpoint":"e1","target":"e2","error":"no room","time":6500}
{"level":"info","instance":"edge-1","event":"stream_broken","request":"r1","endpoint":"e1","cause":"unexpected EOF","time":7600}
{"level":"warn","instance":"edge-1","event":"dependency_lost","kind":"configuration","time":8000}
{"level":"info","instance":"edge-1","event":"refused","request":"r2","reason":"stale_configuration","outcome":"not_run","detail":"the store has not confirmed keys for 4.8s","time":9000}
{"level":"info","instance":"edge-1","event":"refused","request":"r3","reason":"timed_out","outcome":"unknown","detail":"no answer within 800ms","time":9100}
{"level":"info","instance":"edge-1","event":"attempt_failed","request":"r3","endpoint":"e5","how":"failed_there","time":9000}
`

// Covers the three examples of docs/OPERATIONS.md: a broken stream, a refused
// booking and a read that timed out.
func TestWalks(t *testing.T) {
	for _, ca := range []struct {
		request string
		events  []string
		cause   string
	}{
		{"r1", []string{"rollout_rolled_back", "placed", "endpoint_leaves", "copy_failed", "stream_broken"}, "The stream broke at e1: unexpected EOF; the endpoint had left 1600 ms before; a move to e2 failed: no room."},
		{"r2", []string{"dependency_lost", "refused"}, "The instance refused it: stale_configuration (not_run); the store has not confirmed keys for 4.8s."},
		{"r3", []string{"dependency_lost", "attempt_failed", "refused"}, "The instance refused it: timed_out (unknown); no answer within 800ms."},
		{"r9", nil, "The logs do not say how it ended; a plain call that was answered has no line."},
	} {
		t.Run(ca.request, func(t *testing.T) {
			g := NewWithT(t)
			tr, err := Read(strings.NewReader(logs), ca.request)
			g.Expect(err).NotTo(HaveOccurred())
			var events []string
			for _, li := range tr.Lines {
				events = append(events, li.Event)
			}
			g.Expect(events).To(HaveExactElements(ca.events))
			g.Expect(tr.Cause()).To(Equal(ca.cause))
		})
	}
}

func TestLineForAPerson(t *testing.T) {
	li, found := parse([]byte(`{"instance":"i","event":"refused","reason":"timed_out","time":1000}`))
	g := NewWithT(t)
	g.Expect(found).To(BeTrue())
	g.Expect(li.String()).To(Equal("00:00:01.000 i refused reason=timed_out"))
	li, _ = parse([]byte(`{"time":1000,"instance":"i","event":"reservation_granted","endpoint":"e1","allocator":"i2","waited":512.3}`))
	g.Expect(li.String()).To(Equal("00:00:01.000 i reservation_granted endpoint=e1 allocator=i2 waited=512ms"))
}

// The lines of attempts name the version of their endpoint, also beside those that have a
// version of the configuration, which is a number.
func TestVersionsOfAttempts(t *testing.T) {
	g := NewWithT(t)
	li, found := parse([]byte(`{"instance":"i","event":"attempt_failed","endpoint":"e1","endpoint_version":"v2","how":"lost","time":1000}`))
	g.Expect(found).To(BeTrue())
	g.Expect(li.String()).To(Equal("00:00:01.000 i attempt_failed endpoint=e1 version=v2 how=lost"))
	_, found = parse([]byte(`{"instance":"i","event":"refused","version":7,"time":1000}`))
	g.Expect(found).To(BeTrue())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`x {"event":"refused","time":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if li, found := parse(data); found && li.Event == "" {
			t.Error("parse accepted a line without an event")
		}
	})
}

const limitLogs = `{"level":"info","instance":"edge-1","event":"endpoint_limited","endpoint":"e1","rate":4,"time":1000}
{"level":"info","instance":"edge-1","event":"endpoint_limited","endpoint":"e1","rate":2.5,"time":2000}
{"level":"info","instance":"edge-1","event":"endpoint_limited","endpoint":"e2","rate":9,"time":3000}
{"level":"info","instance":"edge-2","event":"endpoint_limited","endpoint":"e1","rate":2.5,"time":2001}
{"level":"info","instance":"edge-1","event":"refused","request":"r9","reason":"rate_limited","outcome":"not_run","endpoint":"e1","detail":"the endpoints limit their requests","time":90000}
`

// A request that was refused under a rate limit leads to the endpoint that named it,
// also if that was long before.
func TestTraceOfRefusalUnderRateLimit(t *testing.T) {
	g := NewWithT(t)
	tr, err := Read(strings.NewReader(limitLogs), "r9")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Lines).To(HaveLen(2))
	g.Expect(tr.Lines[0].String()).To(HaveSuffix("edge-1 endpoint_limited endpoint=e1 rate=2.5"))
	g.Expect(tr.Cause()).To(ContainSubstring("rate_limited (not_run)"))
}

const forwardLogs = `{"level":"warn","instance":"edge-1","event":"path_lost","service":"desk","time":88000}
{"level":"info","instance":"edge-1","event":"forwarded","request":"r5","to":"edge-2","left":1400,"time":90000}
{"level":"info","instance":"edge-2","event":"placed","request":"r5","endpoint":"e1","time":90002}
{"level":"info","instance":"edge-2","event":"stream_broken","request":"r5","endpoint":"e1","cause":"unexpected EOF","time":90500}
{"level":"info","instance":"edge-1","event":"stream_broken","request":"r5","forwarded":true,"cause":"unexpected EOF","time":90503}
`

// The trace of a forwarded request leads to the instance that served it, and to the
// endpoint there.
func TestTraceOfForwardedRequest(t *testing.T) {
	g := NewWithT(t)
	tr, err := Read(strings.NewReader(forwardLogs), "r5")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Lines).To(HaveLen(5))
	g.Expect(tr.Lines[0].Event).To(Equal("path_lost"))
	g.Expect(tr.Lines[1].String()).To(HaveSuffix("edge-1 forwarded to=edge-2"))
	g.Expect(tr.Cause()).To(Equal("The stream broke at e1: unexpected EOF; edge-1 had forwarded the request to edge-2."))
	tr, err = Read(strings.NewReader(strings.ReplaceAll(forwardLogs, "stream_broken", "stream_given_up")), "r5")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Cause()).To(HaveSuffix("while the stream ran at e1."))
}

// A stream that a shutdown cut was reported as one whose caller had left.
func TestTraceOfStreamCutByShutdown(t *testing.T) {
	g := NewWithT(t)
	tr, err := Read(strings.NewReader(`{"instance":"edge-1","event":"stopping","time":1000}
{"instance":"edge-1","event":"shutdown_cut","request":"r6","arrived":-500,"sent":1200.4,"time":8500}
`), "r6")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Lines).To(HaveLen(1))
	g.Expect(tr.Cause()).To(ContainSubstring("came -500 ms and was sent +1200 ms after"))
}
