package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/buffer"
)

// Echo is a service whose calls wait until mayEnd is closed.
type Echo struct {
	running *atomic.Int64
	mayEnd  chan struct{}
}

// Say returns its argument.
func (ec Echo) Say(text string, reply *string) error {
	ec.running.Add(1)
	<-ec.mayEnd
	*reply = text
	return nil
}

// startEcho starts a server whose calls may end at once, unless waiting is set.
func startEcho(t *testing.T, memory int64, waiting bool) (se *Server, ec Echo) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ec = Echo{running: new(atomic.Int64), mayEnd: make(chan struct{})}
	if !waiting {
		close(ec.mayEnd)
	}
	se = &Server{Listener: ln, Memory: &buffer.Budget{Bytes: memory}}
	NewWithT(t).Expect(se.Register("Echo", ec)).To(Succeed())
	return se, ec
}

// startMessage returns the first bytes of a message of a length.
func startMessage(length uint32) []byte {
	return []byte{0xfc, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}
}

// Messages that were too large, or that took more memory than there was, were read to
// their end.
func TestServerClosesForMessages(t *testing.T) {
	for _, ca := range []struct {
		name   string
		memory int64
		sent   []byte
		cause  Cause
	}{
		{"over the limit", defaultMemory, startMessage(maxMessageBytes + 1), MessageTooLarge},
		{"of a length that is no number", defaultMemory, []byte{0x80}, ""},
		{"over the memory", 1 << 20, startMessage(maxMessageBytes / 2), MemoryFull},
		{"definitions over the limit", defaultMemory, append(startMessage(maxDefinitionBytes+1), 0x01), MessageTooLarge},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			se, _ := startEcho(t, ca.memory, false)
			causes := make(chan Cause, 1)
			se.OnClose = func(ca Cause) { causes <- ca }
			go func() { _ = se.Run(t.Context()) }()
			conn, err := net.Dial("tcp4", se.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(append(ca.sent, make([]byte, 32)...))
			g.Expect(err).NotTo(HaveOccurred())
			_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
			_, err = conn.Read(make([]byte, 1))
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(MatchError(ContainSubstring("timeout")), "the server closes")
			if ca.cause != "" {
				g.Eventually(causes, answerTimeout).Should(Receive(Equal(ca.cause)))
			}
			g.Eventually(se.Memory.Used, answerTimeout).Should(BeZero())
		})
	}
}

// Calls of all sizes inside the limits are answered, and their memory is given back.
func TestServerAnswersCallsOfAllSizes(t *testing.T) {
	g := NewWithT(t)
	se, _ := startEcho(t, defaultMemory, false)
	go func() { _ = se.Run(t.Context()) }()
	cl := &Client{}
	for _, size := range []int{0, 1, 127, 128, freeBytes, 100_000, 900_000} {
		var reply string
		text := strings.Repeat("a", size)
		g.Expect(cl.Call(context.Background(), se.Listener.Addr().String(), "Echo.Say", text, &reply)).To(Succeed())
		g.Expect(reply).To(Equal(text))
	}
	var reply string
	g.Expect(cl.Call(context.Background(), se.Listener.Addr().String(), "Echo.Say", "", &reply)).To(Succeed())
	g.Eventually(se.Memory.Used, answerTimeout).Should(BeZero())
}

// A connection could begin calls without end while none of them ended. Those beyond the
// memory now begin when others end, and all are answered.
func TestCallsBeyondTheMemoryWait(t *testing.T) {
	g := NewWithT(t)
	const memory, count = 20 * callBytes, 50
	se, ec := startEcho(t, memory, true)
	go func() { _ = se.Run(t.Context()) }()
	conn, err := net.Dial("tcp4", se.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	var sent bytes.Buffer
	enc := gob.NewEncoder(&sent)
	for seq := range uint64(count) {
		g.Expect(enc.Encode(rpc.Request{ServiceMethod: "Echo.Say", Seq: seq})).To(Succeed())
		g.Expect(enc.Encode("text")).To(Succeed())
	}
	_, err = conn.Write(sent.Bytes())
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(ec.running.Load, answerTimeout).Should(BeNumerically("==", 11), "half of the budget, and the first")
	g.Consistently(ec.running.Load, 200*time.Millisecond).Should(BeNumerically("==", 11))
	g.Expect(se.Memory.Used()).To(BeNumerically("<=", memory))
	close(ec.mayEnd)
	dec := gob.NewDecoder(conn)
	for range count {
		var re rpc.Response
		var text string
		g.Expect(dec.Decode(&re)).To(Succeed())
		g.Expect(dec.Decode(&text)).To(Succeed())
		g.Expect(text).To(Equal("text"))
	}
	g.Eventually(se.Memory.Used, answerTimeout).Should(BeZero())
}

// Whatever pieces messages arrive in, the server reads them.
func TestMessagesInPieces(t *testing.T) {
	g := NewWithT(t)
	se, _ := startEcho(t, defaultMemory, false)
	go func() { _ = se.Run(t.Context()) }()
	conn, err := net.Dial("tcp4", se.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	var sent bytes.Buffer
	enc := gob.NewEncoder(&sent)
	text := strings.Repeat("a", 200)
	g.Expect(enc.Encode(rpc.Request{ServiceMethod: "Echo.Say", Seq: 1})).To(Succeed())
	g.Expect(enc.Encode(text)).To(Succeed())
	for _, by := range sent.Bytes() {
		_, err = conn.Write([]byte{by})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Millisecond)
	}
	dec := gob.NewDecoder(conn)
	var re rpc.Response
	var answer string
	g.Expect(dec.Decode(&re)).To(Succeed())
	g.Expect(dec.Decode(&answer)).To(Succeed())
	g.Expect(answer).To(Equal(text))
}
