package dispatch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/refusal"
)

// endless returns the script of an endpoint that begins like an answer and then sends
// the same text until the connection is closed. It counts the bytes that it could send.
func endless(sent *atomic.Int64, begin, text string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, re *http.Request) {
		_, _ = fmt.Fprintf(conn, begin, re.Header.Get("Id"))
		block := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
		for {
			count, err := conn.Write(block)
			sent.Add(int64(count))
			if err != nil {
				return
			}
		}
	}
}

const (
	genuineHead = "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\n"
	// allowedInTransit is what the buffers of a connection may hold.
	allowedInTransit = 12 << 20
)

// An endpoint may send bytes that are no answer, without end. The connection is closed
// soon, and the caller is told that the request may have run.
func TestEndlessBytes(t *testing.T) {
	for _, ca := range []struct {
		name, path, begin, text string
		// most is the largest number of bytes that are read.
		most int64
	}{
		{"no answer at all", "/post/", "%.0s", "x", 1 << 20},
		{"a head without end", "/post/", genuineHead, "Field: value\r\n", 1 << 20},
		{"one field without end", "/post/", genuineHead + "Field: ", "v", 1 << 20},
		{"interim answers", "/post/", "%.0s", "HTTP/1.1 100 Continue\r\n\r\n", 1 << 20},
		{"the line of a chunk", "/post/", genuineHead + "Transfer-Encoding: chunked\r\n\r\n", "0", 1 << 20},
		{"extensions of chunks", "/post/", genuineHead + "Transfer-Encoding: chunked\r\n\r\n", "1;extension=value\r\nx\r\n", maxAnswerBytes * 20},
		{"chunks", "/post/", genuineHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", 2 * maxAnswerBytes},
		{"a body without a length", "/post/", genuineHead + "\r\n", "x", maxAnswerBytes},
		{"an event of a stream", "/stream/", genuineHead + "Transfer-Encoding: chunked\r\n\r\n", "10\r\ndata: xxxxxxxxxx\r\n", 4 << 20},
		{"an event of a stream without a length", "/stream/", genuineHead + "\r\n", "data: x", 4 << 20},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			var sent atomic.Int64
			ha := newHarness(t, endless(&sent, ca.begin, ca.text))
			rp := ha.send(ca.path)
			if rp.Events != nil {
				data, err := io.ReadAll(rp.Events)
				g.Expect(err).To(HaveOccurred())
				g.Expect(data).To(BeEmpty(), "no event was complete")
				_ = rp.Events.Close()
			} else {
				g.Expect(reasonOf(rp)).To(Or(Equal(refusal.EndpointLost), Equal(refusal.TimedOut)))
				g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.Unknown))
			}
			g.Expect(sent.Load()).To(BeNumerically("<=", ca.most+allowedInTransit))
		})
	}
}

// Answers that are buffered at the same time have a common bound, so that a few endpoints
// that send without end can't take all memory of an instance.
func TestBufferedAnswersHaveACommonBound(t *testing.T) {
	g := NewWithT(t)
	var sent atomic.Int64
	script := endless(&sent, genuineHead+"\r\n", "x")
	ha := newHarness(t, script, script, script, script)
	const (
		count            = 12
		maxBufferedBytes = 48 << 20
	)
	ha.Memory = &buffer.Budget{Bytes: maxBufferedBytes}
	var peak int64
	var wg sync.WaitGroup
	done := make(chan struct{})
	for range count {
		wg.Go(func() { g.Expect(reasonOf(ha.send("/post/"))).NotTo(BeEmpty()) })
	}
	go func() {
		wg.Wait()
		close(done)
	}()
	for running := true; running; {
		peak = max(peak, ha.Memory.Used())
		select {
		case <-done:
			running = false
		default:
		}
	}
	g.Expect(peak).To(BeNumerically(">", maxBufferedBytes/2), "the bound was pressed")
	g.Expect(peak).To(BeNumerically("<=", maxBufferedBytes))
	g.Expect(ha.Memory.Used()).To(BeZero())
}

// Events without end at many streams together took 1 MB and more for each.
func TestIncompleteEventsHaveACommonBound(t *testing.T) {
	g := NewWithT(t)
	var sent atomic.Int64
	script := endless(&sent, genuineHead+"\r\n", "data: x")
	ha := newHarness(t, script, script, script, script)
	const maxBufferedBytes, count = 1 << 20, 8
	ha.Memory = &buffer.Budget{Bytes: maxBufferedBytes}
	var wg sync.WaitGroup
	var refused atomic.Int64
	for range count {
		wg.Go(func() {
			rp := ha.send("/stream/")
			if rp.Events == nil {
				return
			}
			defer func() { _ = rp.Events.Close() }()
			data, err := io.ReadAll(rp.Events)
			g.Expect(err).To(HaveOccurred())
			g.Expect(data).To(BeEmpty(), "no event was complete")
			if len(rp.Events.(*session).pending) < maxEventBytes {
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(refused.Load()).To(BeNumerically(">=", count-1), "streams that ended before their own limit")
	g.Expect(ha.Memory.Used()).To(BeZero())
}
