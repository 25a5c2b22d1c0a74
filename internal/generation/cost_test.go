package generation

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
)

// recordedConn is a connection that returns a prepared response.
type recordedConn struct {
	conn
	answer *bytes.Reader
	// maxRead is the most bytes that one read returns. Zero means no limit.
	maxRead int
	// readsPastEnd counts reads after the end of the response, where a network
	// connection would block.
	readsPastEnd int
}

func (rc *recordedConn) Write(data []byte) (int, error) { return len(data), nil }

func (rc *recordedConn) Read(buf []byte) (int, error) {
	if rc.maxRead > 0 {
		buf = buf[:min(len(buf), rc.maxRead)]
	}
	if rc.answer.Len() == 0 {
		rc.readsPastEnd++
	}
	return rc.answer.Read(buf)
}

const recordedID = "00112233445566778899aabbccddeeff"

// recordAnswer returns a response with the given number of tokens, and the length
// of one event.
func recordAnswer(tokens int) (answer []byte, eventBytes int) {
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for offset := range tokens {
		ev := fmt.Sprintf("id: %s/%d\ndata: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"abc:%07d \"}]}\n\n", recordedID, offset, offset)
		eventBytes = len(ev)
		_, _ = fmt.Fprintf(&text, "%x\r\n%s\r\n", len(ev), ev)
	}
	return text.Bytes(), eventBytes
}

// newRecordedRelay returns a relay of a response of which each read returns at
// most maxRead bytes.
func newRecordedRelay(tb testing.TB, answer []byte, maxRead int) *relay {
	tb.Helper()
	re, _ := newRecordedRelayConn(tb, answer, maxRead)
	return re
}

// newRecordedRelayConn is like newRecordedRelay, and also returns the connection.
func newRecordedRelayConn(tb testing.TB, answer []byte, maxRead int) (*relay, *recordedConn) {
	tb.Helper()
	rc := &recordedConn{answer: bytes.NewReader(answer), maxRead: maxRead}
	dp := newDeployment(1, allEngines)
	ha := dp.handlers[0]
	ha.initStreams()
	ha.Client = &endpoint.Client{IdleTimeout: time.Second, Dial: func(string) (net.Conn, error) {
		return rc, nil
	}}
	se := ha.newSession(context.Background(), dp.cf, admission.Request{Service: "filbert-pool"}, endpoint.Generation{ID: recordedID, Path: "/v1/completions", Body: []byte(requestBody)})
	if err := se.start(); err != nil {
		tb.Fatal(err)
	}
	return &relay{se: se, line: make([]byte, 0, initialLineBytes), unwatch: func() {}}, rc
}

// TestRelayAllocations: relaying a token must not allocate, whether tokens arrive
// singly or many in one read. Tokens that arrive in one read must be sent on in
// one read.
func TestRelayAllocations(t *testing.T) {
	const tokens = 20000
	answer, eventBytes := recordAnswer(tokens)
	buf := make([]byte, 4096)
	for name, maxRead := range map[string]int{"alone": eventBytes + len("ab\r\n\r\n"), "together": 0} {
		re := newRecordedRelay(t, answer, maxRead)
		const reads = 100
		if allocs := testing.AllocsPerRun(reads, func() {
			if _, err := re.Read(buf); err != nil {
				t.Fatal(err)
			}
		}); allocs != 0 {
			t.Errorf("tokens that arrive %s: got %v allocations per read, want 0", name, allocs)
		}
		minTokens := map[string]int64{"alone": reads, "together": 5 * reads}[name]
		if re.se.offset < minTokens {
			t.Errorf("tokens that arrive %s: got %d in %d reads, want at least %d", name, re.se.offset, reads, minTokens)
		}
	}
}

// TestRelayHoldsNothingBack: a token that has arrived must be sent on before the
// relay blocks for the next event, also if a heartbeat follows the token.
func TestRelayHoldsNothingBack(t *testing.T) {
	answer, _ := recordAnswer(1)
	comment := ": waiting\n\n"
	answer = fmt.Appendf(answer, "%x\r\n%s\r\n", len(comment), comment)
	re, rc := newRecordedRelayConn(t, answer, 0)
	re.returnedAt = re.se.ha.Clock.Now()
	buf := make([]byte, 4096)
	if count, err := re.Read(buf); err != nil || re.se.offset != 1 || !bytes.Contains(buf[:count], []byte("abc:0000000")) {
		t.Errorf("read %q, error %v, want the first token", buf[:count], err)
	}
	if rc.readsPastEnd != 0 {
		t.Errorf("the relay blocked %d times before it returned a token that had arrived", rc.readsPastEnd)
	}
}

// BenchmarkRelay measures the relay of one token without the network: the token is
// read and checked, gets its event ID and is returned to the server.
func BenchmarkRelay(b *testing.B) {
	const tokens = 1 << 16
	answer, eventBytes := recordAnswer(tokens)
	buf := make([]byte, 4096)
	for name, maxRead := range map[string]int{"alone": eventBytes + len("ab\r\n\r\n"), "together": 0} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			re := newRecordedRelay(b, answer, maxRead)
			b.ResetTimer()
			for left := int64(b.N); left > 0; {
				if re.se.offset > tokens-64 {
					b.StopTimer()
					re = newRecordedRelay(b, answer, maxRead)
					b.StartTimer()
				}
				before := re.se.offset
				if _, err := re.Read(buf); err != nil {
					b.Fatal(err)
				}
				left -= re.se.offset - before
			}
		})
	}
}
