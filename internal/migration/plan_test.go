package migration

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Scenario: an engine is reclaimed at short notice. Moving a run that ends in
// time or has a usable standby copy would delay the runs that need to move.
func TestWhichRunsMove(t *testing.T) {
	for _, ca := range []struct {
		name  string
		run   candidate
		since time.Duration
		moves bool
	}{
		{"a long run", candidate{started: true, tokens: 3000, remaining: 2000}, 0, true},
		{"one that ends by itself in time", candidate{started: true, tokens: 3000, remaining: 40}, 0, false},
		{"one that would end too late", candidate{started: true, tokens: 3000, remaining: 40}, 1200 * time.Millisecond, true},
		{"one without a first token", candidate{remaining: 2000}, 0, false},
		{"one that has ended", candidate{started: true, ended: true, remaining: 2000}, 0, false},
		{"one with a standby copy that can take over", candidate{started: true, standbyUsable: true, tokens: 3000, remaining: 2000}, 0, false},
		{"one that is being stopped", candidate{started: true, stopping: true, remaining: 2000}, 0, false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			NewWithT(t).Expect(len(movable([]candidate{ca.run}, ca.since)) == 1).To(Equal(ca.moves))
		})
	}
}

func TestShortCopiesComeFirst(t *testing.T) {
	g := NewWithT(t)
	list := movable([]candidate{
		{started: true, tokens: 5000, remaining: 2000}, {started: true, tokens: 1000, remaining: 2000}, {started: true, tokens: 3000, remaining: 2000},
	}, 0)
	g.Expect([]int{list[0].tokens, list[1].tokens, list[2].tokens}).To(Equal([]int{1000, 3000, 5000}))
}

func TestWhenARunIsStopped(t *testing.T) {
	g := NewWithT(t)
	g.Expect(shouldStop(5*time.Millisecond, 0)).To(BeTrue(), "the link is idle")
	g.Expect(shouldStop(200*time.Millisecond, 0)).To(BeFalse(), "the final copy would be queued for as long")
	g.Expect(shouldStop(200*time.Millisecond, forcedStopTime)).To(BeTrue(), "the engine is about to shut down")
}
