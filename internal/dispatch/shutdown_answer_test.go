package dispatch

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A whole answer with a status of 500 that came during a shutdown was thrown away for a
// retry that was then refused.
func TestServerErrorIsDeliveredDuringShutdown(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, fails, fails)
	begin := ha.shutsDown()
	for _, rp := range ha.replicas {
		rp.script = func(conn net.Conn, re *http.Request) {
			begin()
			fails(conn, re)
		}
	}
	rp := ha.send("/read/")
	g.Expect(reasonOf(rp)).To(BeEmpty())
	g.Expect(rp.Status).To(Equal(http.StatusInternalServerError))
}

// A request that waited when the shutdown began was told that the instance stops in 0s.
func TestRefusalTellsTimeLeft(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds, succeeds)
	begin := ha.shutsDown()
	ha.limit(map[string]time.Duration{"e0": 900 * time.Millisecond, "e1": time.Hour})
	time.AfterFunc(beginAfter, begin)
	rp := ha.send("/post/")
	g.Expect(rp.Refusal.Detail).NotTo(ContainSubstring("stops in 0s"))
}
