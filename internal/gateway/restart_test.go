package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/outlier"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// newProcess returns a gateway that has just started and knows nothing.
func newProcess() *Gateway {
	boot := &boottime.Manual{}
	boot.Advance(time.Hour)
	gw := &Gateway{Settings: Settings{Instance: "i1", Zone: "a"}, Clock: clockwork.NewFakeClock(), Boot: boot, Log: zerolog.Nop()}
	gw.signals = backpressure.Registry{Boot: boot, Log: gw.Log}
	gw.peers = ratelimit.Peers{Self: loadshare.Member{Name: "i1"}, Members: &gw.members, Boot: boot}
	gw.allocator.Boot, gw.slots.Boot, gw.engines.Boot = boot, boot, boot
	gw.outliers = outlier.Detector{Clock: gw.Clock, Roster: &gw.roster}
	gw.suspects = &suspicion.Registry{Clock: gw.Clock}
	gw.roster = roster.Roster{Clock: gw.Clock, Log: gw.Log}
	return gw
}

func listOf(list ...roster.Endpoint) (objects []feed.Object[roster.Endpoint]) {
	for _, en := range list {
		objects = append(objects, feed.Object[roster.Endpoint]{Name: en.ID, Value: &en})
	}
	return objects
}

// Guards against a new process that forgets what others told it of endpoints before it has
// read their entries, as while the store is slow.
func TestNewProcessKeepsStatementsUntilEndpointsAreListed(t *testing.T) {
	g := NewWithT(t)
	gw, en := newProcess(), roster.Endpoint{ID: "e1", Started: 5}
	gw.signals.Merge([]backpressure.Statement{{Endpoint: en.ID, Started: en.Started, Brittle: true, Limit: backpressure.Limit{Rate: 2, Named: true}}})
	gw.forgetEndpoints()
	gw.roster.Reset(listOf(en))
	gw.forgetEndpoints()
	g.Expect(gw.signals.IsBrittle(en)).To(BeTrue())
	g.Expect(gw.signals.IsLimited(en)).To(BeTrue())
	gw.roster.Reset(nil)
	gw.forgetEndpoints()
	g.Expect(gw.signals.IsBrittle(en)).To(BeFalse())
}
