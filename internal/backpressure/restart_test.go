package backpressure

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/roster"
)

// ask answers the calls of Registry.Pull with what an instance knows.
type ask struct{ re *Registry }

func (as ask) Call(_ context.Context, _, _ string, args, reply any) error {
	return as.re.Service().All(args.(*Query), reply.(*Reply))
}

// Guards against a new process that takes a brittle endpoint, or one that leaves, for any
// other: what others knew was dropped where their machine had run for longer than its own.
func TestNewProcessTakesOverWhatEndpointsSaid(t *testing.T) {
	for _, uptime := range []time.Duration{time.Hour, time.Minute} {
		for name, ca := range map[string]struct {
			said Signal
			want ErrorKind
		}{
			"brittle":                      {Signal{Brittle: true}, Full},
			"brittle, to the control API":  {Signal{Brittle: true, Partial: true}, Full},
			"limited":                      {limitOf(1), Limited},
			"leaving":                      {Signal{Leaving: true}, Left},
			"leaving, to the control API":  {Signal{Leaving: true, Partial: true}, Left},
			"wants a pause of another one": {Signal{RetryAfter: time.Minute}, ""},
		} {
			t.Run(name+" "+uptime.String(), func(t *testing.T) {
				g := NewWithT(t)
				others, own := &boottime.Manual{}, &boottime.Manual{}
				others.Advance(time.Hour)
				own.Advance(uptime)
				en := roster.Endpoint{ID: "e1", Started: 5, Slots: 1}
				other := &Registry{Boot: others, Log: zerolog.Nop()}
				other.Observe(en, ca.said)
				others.Advance(2 * time.Minute)

				asked, ga := 0, newGate(nil, own, Signal{})
				ga.Slots, ga.Limiter = oneSlot{taken: map[string]bool{en.ID: true}}, fixedLimiter{asked: &asked}
				g.Expect(ga.Registry.Pull(t.Context(), ask{other}, "")).To(Succeed())
				_, err := ga.Request(t.Context(), en, Terms{})
				g.Expect(kindOf(err)).To(Equal(ca.want))
			})
		}
	}
}

// Guards against requests to an endpoint that leaves: that was dropped if the instance that
// told it had not had an answer since, and another one had told of a later answer.
func TestLeavingIsTakenOverInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	boot := &boottime.Manual{}
	boot.Advance(time.Hour)
	ga, en := newGate(nil, boot, Signal{}), roster.Endpoint{ID: "e1", Started: 5}
	ga.Registry.Merge([]Statement{{Endpoint: en.ID, Started: 5, Limit: limitOf(1).Limit, Age: time.Second}})
	ga.Registry.Merge([]Statement{{Endpoint: en.ID, Started: 5, Leaving: true, Age: 2 * time.Second}})
	_, err := ga.Request(t.Context(), en, Terms{})
	g.Expect(kindOf(err)).To(Equal(Left))
	g.Expect(ga.Registry.IsLimited(en)).To(BeTrue())
}
