package dispatch

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

// Guards against streams that stand still until their deadline: the call that lets the run
// go on from a copy brings nothing, while the engine goes on with the run.
func TestSilentCallAtACopy(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	script := func(conn net.Conn, re *http.Request) {
		if re.Header.Get("From") != "" && calls.Add(1) == 1 {
			hangs(conn, re)
			return
		}
		crashes(conn, re)
	}
	ha := newHarness(t, script, script)
	ha.Runs = &oneMover{ha: ha}
	ha.Reachable = func(context.Context, string) bool { return true }
	var reports atomic.Int64
	ha.Progress = func(context.Context, roster.Endpoint, string) (int, error) { return int(reports.Add(1)), nil }
	re := ha.longRequest()
	re.Path, re.Target = "/long/", "/long/"
	got, err := readEvents(ha.Serve(t.Context(), re))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))
	g.Expect(calls.Load()).To(BeNumerically("==", 2))
	g.Expect(ha.Tracker.Loads()).To(BeEmpty(), "all tickets are ended")
}
