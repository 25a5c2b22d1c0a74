package dispatch

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/refusal"
)

// The answers of a route became longer shortly before a shutdown. Requests in progress
// for longer than all recorded answers showed it, but new ones were passed on and cut.
func TestRequestsInProgressTellLength(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds)
	begin := ha.shutsDown()
	for ha.lengths.Longest("", ha.Clock.Now()) == 0 {
		g.Expect(ha.send("/post/").Status).To(Equal(http.StatusOK))
	}
	ha.replicas[0].script = hangs
	for range 3 {
		go ha.send("/post/")
	}
	g.Eventually(ha.replicas[0].requestCount, "5s").Should(Equal(spanOfAnswers + 3))
	time.Sleep(shutdownTime)
	begin()
	begun := ha.Clock.Now()
	rp := ha.send("/post/")
	g.Expect(reasonOf(rp)).To(Equal(refusal.Stopping))
	g.Expect(ha.Clock.Since(begun)).To(BeNumerically("<", refusedWithin))
}

// spanOfAnswers is the number of answers after which a length is known.
const spanOfAnswers = 32
