package dispatch

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// An endpoint that stops anywhere in its answer, also in its head, and closes or resets the
// connection has not answered: no caller gets a success with a part of the body.
func TestAnswersThatStopAnywhere(t *testing.T) {
	stream := "Transfer-Encoding: chunked\r\n\r\n"
	for ix := range 2 {
		event := numbered(ix+1, ix+1)
		stream += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	for _, ca := range []struct{ name, path, text, want string }{
		{"length", "/post/", "Content-Length: 6\r\n\r\nanswer", "answer"},
		{"chunks", "/post/", "Transfer-Encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n", "answer"},
		{"stream", "/stream/", stream + "0\r\n\r\n", numbered(1, 2)},
	} {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resets %v", ca.name, resets), func(t *testing.T) {
				g := NewWithT(t)
				var stopAt atomic.Int64
				ha := newHarness(t, func(conn net.Conn, re *http.Request) {
					answer := fmt.Sprintf(genuineHead, re.Header.Get("Id")) + ca.text
					_, _ = io.WriteString(conn, answer[:min(int(stopAt.Load()), len(answer)-1)])
					if resets {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				})
				for stop := range len(genuineHead) + len(ca.text) + 8 {
					stopAt.Store(int64(stop))
					rp := ha.send(ca.path)
					if rp.Refusal != nil {
						continue
					}
					if rp.Events != nil {
						got, err := readEvents(rp)
						if err == nil {
							g.Expect(got).To(Equal(ca.want), "stopped after %d", stop)
						}
						g.Expect(strings.HasPrefix(ca.want, got)).To(BeTrue(), "stopped after %d", stop)
						continue
					}
					got, err := io.ReadAll(rp.Body.Reader())
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(bytes.Equal(got, []byte(ca.want))).To(BeTrue(), "stopped after %d: %q", stop, got)
				}
			})
		}
	}
}
