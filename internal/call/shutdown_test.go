package call_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/shutdown"
)

// placeAt is a granter that has a place once free is closed.
type placeAt struct {
	free     chan struct{}
	released chan admission.Outcome
}

func (pa placeAt) Acquire(ctx context.Context, _ admission.Request) (*admission.Grant, error) {
	select {
	case <-pa.free:
		return &admission.Grant{}, nil
	case <-ctx.Done():
		return nil, refusal.New(refusal.DeadlinePassed, "no place")
	}
}

func (pa placeAt) Release(_ *admission.Grant, ou admission.Outcome) { pa.released <- ou }

// neverAnswers is a sender whose calls get no answer before the end of the test.
type neverAnswers struct {
	began chan struct{}
	end   context.Context
}

func (na neverAnswers) Call(string, endpoint.Request) (endpoint.Response, error) {
	na.began <- struct{}{}
	<-na.end.Done()
	return endpoint.Response{}, nil
}

// Calls that waited for a place when a stop began were sent shortly before its end, and
// calls in progress at the end got no answer.
func TestCallsDuringShutdown(t *testing.T) {
	for _, ca := range []struct {
		name string
		// play acts while the call is served by an instance of fl.
		play    func(g *WithT, pa placeAt, na neverAnswers, begin, cut func())
		outcome refusal.Outcome
	}{
		{"waits for a place", func(_ *WithT, _ placeAt, _ neverAnswers, begin, _ func()) { begin() }, refusal.NotRun},
		{"gets a place after the stop began", func(_ *WithT, pa placeAt, _ neverAnswers, begin, _ func()) {
			begin()
			close(pa.free)
		}, refusal.NotRun},
		{"is in progress at the end", func(g *WithT, pa placeAt, na neverAnswers, begin, cut func()) {
			close(pa.free)
			g.Eventually(na.began, "5s").Should(Receive())
			begin()
			cut()
		}, refusal.Unknown},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewRealClock()
			fl := newFleet(1)
			in := fl.instances[0]
			pa := placeAt{free: make(chan struct{}), released: make(chan admission.Outcome, 1)}
			na := neverAnswers{began: make(chan struct{}, 1), end: t.Context()}
			in.handler.Granter, in.handler.Sender = pa, na
			in.handler.Clock, in.handler.Log = clock, zerolog.Nop()
			in.handler.Shutdown = &shutdown.Schedule{Clock: clock}
			base, cutAll := context.WithCancelCause(t.Context())
			in.base = base
			done := make(chan observation, 1)
			go func() { done <- in.post("1", "", "b", time.Minute) }()
			begin := func() {
				now := clock.Now()
				in.handler.Shutdown.Start(shutdown.Period{Begin: now, Accepting: now, End: now.Add(time.Second)})
			}
			cut := func() { cutAll(refusal.New(refusal.Stopping, "this instance stopped")) }
			ca.play(g, pa, na, begin, cut)
			var ob observation
			g.Eventually(done, "5s").Should(Receive(&ob))
			g.Expect(ob.refused.Reason).To(Equal(refusal.Stopping))
			g.Expect(ob.refused.Rule().Outcome).To(Equal(ca.outcome))
			g.Expect(na.began).To(BeEmpty())
		})
	}
}
