package dispatch

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/refusal"
)

// Streams that an endpoint refused by their content, as with 400, were taken for answers
// of the route: a stream that outlasts the shutdown was passed on and cut.
func TestRefusedStreamsTellNoLength(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, reply(http.StatusBadRequest, "Proof: p\r\n", "no such model"))
	begin := ha.shutsDown()
	for range 64 {
		g.Expect(ha.send("/stream/").Status).To(Equal(http.StatusBadRequest))
	}
	ha.replicas[0].script = hangs
	begin()
	begun := ha.Clock.Now()
	rp := ha.send("/stream/")
	g.Expect(reasonOf(rp)).To(Equal(refusal.Stopping))
	g.Expect(ha.Clock.Since(begun)).To(BeNumerically("<", refusedWithin))
}
