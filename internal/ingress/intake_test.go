package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/intake"
)

// A process that had no descriptor left for a connection of a caller stopped serving.
func TestRunGoesOnWithoutDescriptors(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = start(t, "", func(se *Server) {
		_ = se.Listener.Close()
		se.Listener = &exhaustedListener{Listener: ln}
		se.Intake = &intake.Limiter{}
	})
	resp, _, err := get(t, "http://"+ln.Addr().String()+"/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
}

// exhaustedListener fails to accept its first connection.
type exhaustedListener struct {
	net.Listener
	failed atomic.Bool
}

func (el *exhaustedListener) Accept() (net.Conn, error) {
	if !el.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: syscall.EMFILE}
	}
	return el.Listener.Accept()
}

// Bodies took memory while they arrived that was not counted. One that the budget has no
// memory for is refused, and its memory is free again.
func TestBodiesThatArriveAreCounted(t *testing.T) {
	g := NewWithT(t)
	memory := &buffer.Budget{Bytes: 1 << 20}
	_, url := start(t, endpoint(t, answer), func(se *Server) { se.Memory = memory })
	stopped := dialStopped(t, url, 400<<10)
	g.Eventually(memory.Used, time.Second).Should(BeNumerically(">", 300<<10))
	resp, err := http.Post(url+"/x", "", strings.NewReader(strings.Repeat("x", 600<<10)))
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests))
	resp, err = http.Post(url+"/x", "", strings.NewReader("small"))
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	_ = stopped.Close()
	g.Eventually(memory.Used, time.Second).Should(BeZero())
}

// dialStopped sends a request whose body stops one byte before its end.
func dialStopped(t *testing.T, url string, size int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	return conn
}
