package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/dispatch"
)

// A large plain answer whose caller still reads it at the end of a shutdown was cut
// without a trace in the log: its request counted as ended once its head was written.
func TestStopLogsAnswersThatAreStillWritten(t *testing.T) {
	g := NewWithT(t)
	const size = 8 << 20
	var log strings.Builder
	se, url := start(t, endpoint(t, func(conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, size, strings.Repeat("a", size))
	}), func(se *Server) {
		se.Log, se.Codec = zerolog.New(&log), patientCodec{}
	})
	conn, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	const head = "HTTP/1.1 200 OK"
	got := make([]byte, len(head))
	_, err = io.ReadFull(conn, got)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(head))
	serving, cancelServing := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancelServing()
	writing, cancelWriting := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancelWriting()
	begun := time.Now()
	se.Stop(serving, writing)
	g.Expect(time.Since(begun)).To(BeNumerically(">=", 400*time.Millisecond), "the answer was still being written")
	g.Expect(log.String()).To(ContainSubstring("stop_cuts"))
}

// patientCodec is testCodec for callers that wait as long as their route lets them.
type patientCodec struct{ testCodec }

func (pc patientCodec) Request(ctx *fasthttp.RequestCtx, body []byte, arrived time.Time) *dispatch.Request {
	re := pc.testCodec.Request(ctx, body, arrived)
	re.CallerTimeout = time.Minute
	return re
}
