package readlimit

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Each answer may have as many bytes as the limit; one without end fails.
func TestLimitOfEachAnswer(t *testing.T) {
	g := NewWithT(t)
	const limit = 1000
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	conn := &Conn{Conn: near, Bytes: limit}
	go func() {
		for request := make([]byte, 1); ; {
			if _, err := io.ReadFull(far, request); err != nil {
				return
			}
			for endless := request[0] == 'e'; ; {
				if _, err := far.Write(make([]byte, limit)); err != nil || !endless {
					break
				}
			}
		}
	}()
	for range 3 {
		_, err := conn.Write([]byte{'w'})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(conn, make([]byte, limit))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := conn.Write([]byte{'e'})
	g.Expect(err).NotTo(HaveOccurred())
	count, err := io.Copy(io.Discard, conn)
	g.Expect(err).To(MatchError(ErrTooLong))
	g.Expect(count).To(BeNumerically("<=", 2*limit))
}
