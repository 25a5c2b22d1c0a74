package loadshare

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/outlier"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// recorder keeps the datagrams that an instance sends.
type recorder struct {
	Conn
	mu   sync.Mutex
	sent [][]byte
}

func (re *recorder) WriteToUDPAddrPort(data []byte, _ netip.AddrPort) (int, error) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.sent = append(re.sent, data)
	return len(data), nil
}

// take returns the datagrams since the last call.
func (re *recorder) take() [][]byte {
	re.mu.Lock()
	defer re.mu.Unlock()
	sent := re.sent
	re.sent = nil
	return sent
}

// told is what another instance tells of lost links and failing endpoints.
type told struct {
	paths    []string
	outliers []outlier.Report
}

func (to *told) Changed() (list []string, unsent bool) { return to.paths, false }
func (to *told) Merge(_ string, list []string)         { to.paths = list }

// toldOutliers is the part of told that implements Outliers.
type toldOutliers struct{ *told }

func (to toldOutliers) Changed(bool) []outlier.Report            { return to.outliers }
func (to toldOutliers) Merge(_, _ string, list []outlier.Report) { to.outliers = list }

// Guards against a process that has just started and takes an instance that shuts down, or
// a zone that is cut off, for any other for longer than a heartbeat: what the datagrams
// before its start told is repeated.
func TestNewProcessLearnsFromTheNextHeartbeat(t *testing.T) {
	g := NewWithT(t)
	clock, boot := clockwork.NewFakeClock(), &boottime.Manual{}
	boot.Advance(time.Hour)
	re := &recorder{}
	start := func(name string, to *told) *Exchange {
		ex := newExchange(clock, name)
		ex.Conn, ex.Paths, ex.Outliers, ex.Stopping = re, to, toldOutliers{to}, &Stopping{Boot: boot, Changes: ex.Tracker.Changes}
		ex.Members.Set([]Member{{Name: "i1", Zone: "a"}, {Name: "i2", Zone: "a"}})
		return ex
	}
	en := roster.Endpoint{ID: "e", Zone: "a"}
	other := start("i1", &told{paths: []string{"desk"}, outliers: []outlier.Report{{Endpoint: "e"}}})
	other.Tracker.Begin(en, placement.Demand{Engine: engine, Prompt: 700, Output: 100})
	other.MoveOrder.Announce("e", 2)
	other.Stopping.Announce()
	go func() { _ = other.send(t.Context()) }()
	heartbeats := func() [][]byte {
		g.Expect(clock.BlockUntilContext(t.Context(), 2)).To(Succeed())
		return re.take()
	}
	g.Expect(heartbeats()).NotTo(BeEmpty(), "told the process before")

	known := &told{}
	restarted := start("i2", known)
	g.Expect(restarted.Stopping.Has("i1")).To(BeFalse(), "forwards requests to it, which it refuses")
	g.Expect(restarted.Tracker.Running("e")).To(BeZero())
	clock.Advance(minSendInterval)
	g.Expect(clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	clock.Advance(heartbeat)
	for _, data := range heartbeats() {
		restarted.apply(data)
	}
	g.Expect(restarted.Stopping.Has("i1")).To(BeTrue())
	g.Expect(restarted.Tracker.Running("e")).To(Equal(1))
	g.Expect(restarted.MoveOrder.others["e"]).To(Equal(map[string]int{"i1": 2}))
	g.Expect(known.paths).To(ConsistOf("desk"))
	g.Expect(known.outliers).To(HaveLen(1))
}
