package intake

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A TLS handshake that never ends kept its connection for ever. The listener of TLS is the
// one that is limited, so that the handshake belongs to the time of a silent connection.
func TestHandshakeThatStopsIsClosed(t *testing.T) {
	for _, ca := range []struct {
		name, sent string
	}{
		{"nothing is sent", ""},
		{"a record that stops", "\x16\x03\x01\x40\x00\x01"},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = ln.Close() }()
			li := &Limiter{Bytes: 1 << 20, ActiveBytes: 32 << 10, SilentBytes: 32 << 10, SilentTimeout: 50 * time.Millisecond}
			limited := li.Listen(tls.NewListener(ln, &tls.Config{MinVersion: tls.VersionTLS13}))
			conn, err := net.Dial("tcp4", ln.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte(ca.sent))
			g.Expect(err).NotTo(HaveOccurred())
			accepted, err := limited.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(li.used).To(BeNumerically("==", 32<<10))
			_, err = accepted.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
			g.Expect(accepted.Close()).To(Succeed())
			g.Expect(li.used).To(BeZero())
		})
	}
}
