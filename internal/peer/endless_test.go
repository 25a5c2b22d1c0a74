package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// maxReadBytes limits what a caller may read of one answer without end, with what sockets
// hold, in bytes. maxAllocatedBytes limits what it may allocate.
const (
	maxReadBytes      = 32 << 20
	maxAllocatedBytes = 32 << 20
)

// Something at the address of an instance sent a message without end, which its caller kept
// until the call timed out.
func TestCallerGivesUpOnAnswersWithoutEnd(t *testing.T) {
	piece := bytes.Repeat([]byte("x"), 64<<10)
	for _, ca := range []struct {
		name, start string
		piece       []byte
	}{
		{"a message of 1 GB", "\xfc\x3f\xff\xff\xff", piece},
		{"a message of 256 MB", "\xfc\x10\x00\x00\x00", piece},
		{"a length that is too great", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", piece},
		{"messages that are empty", "", make([]byte, 64<<10)},
		{"HTTP", "HTTP/1.1 200 OK\r\n\r\n", piece},
		{"bytes", "", piece},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = ln.Close() })
			var written atomic.Int64
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, ca.start)
				for err == nil && written.Load() < 4*maxReadBytes {
					var count int
					count, err = conn.Write(ca.piece)
					written.Add(int64(count))
				}
			}()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var reply int
			err = (&Client{}).Call(context.Background(), ln.Addr().String(), "Any.Method", 1, &reply)
			g.Expect(IsKind(err, Lost)).To(BeTrue(), "%v", err)
			<-ended
			runtime.ReadMemStats(&after)
			g.Expect(written.Load()).To(BeNumerically("<", maxReadBytes))
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxAllocatedBytes))
		})
	}
}
