package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Stop returned, and the process exited, while answers to the requests that it had
// canceled were not written yet.
func TestStopWaitsForAnswersOfCanceledRequests(t *testing.T) {
	g := NewWithT(t)
	const count = 60
	se, url := start(t, endpoint(t, func(conn net.Conn, _ string) { _, _ = io.Copy(io.Discard, conn) }))
	statuses := make(chan int, count)
	for range count {
		go func() {
			resp, _, err := get(t, url+"/x")
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- resp.StatusCode
		}()
	}
	g.Eventually(se.InFlight, "5s").Should(Equal(count))
	serving, cancelServing := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancelServing()
	writing, cancelWriting := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancelWriting()
	se.Stop(serving, writing)
	g.Expect(se.InFlight()).To(BeZero())
	for range count {
		g.Eventually(statuses, "1s").Should(Receive(Equal(http.StatusBadGateway)))
	}
}
