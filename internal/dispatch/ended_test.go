package dispatch

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/reservation"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// endingWait is a wait during which the request ends.
type endingWait struct{ end func() }

type endingLimiter struct{ endingWait }

func (el endingLimiter) Take(ctx context.Context, _ roster.Endpoint, _ backpressure.Limit, maxWait time.Duration) (time.Duration, bool) {
	if maxWait == 0 {
		return waited, false
	}
	el.end()
	<-ctx.Done()
	return 0, true
}

type endingReserver struct{ endingWait }

func (er endingReserver) Reserve(ctx context.Context, _ reservation.Request) (*reservation.Grant, error) {
	er.end()
	<-ctx.Done()
	return nil, &reservation.Error{Op: "reserve", Kind: reservation.Left}
}

type endingTurns struct{ endingWait }

func (et endingTurns) Take(ctx context.Context, _ suspicion.Feature, _ time.Duration) (time.Duration, bool) {
	et.end()
	<-ctx.Done()
	return 0, false
}

// Guards against refusals that tell another cause than that of the request's end: one whose
// time passed while it waited was told that its caller had left, or that its part was
// suspected.
func TestRequestsThatEndWhileTheyWait(t *testing.T) {
	for _, ca := range []struct {
		name, path string
		// end ends the request, unless its time passes.
		end    func(leave, begin func())
		reason refusal.Reason
	}{
		{"the caller leaves", "/post/", func(leave, _ func()) { leave() }, refusal.CallerGone},
		{"its time passes", "/brief/", func(_, _ func()) {}, refusal.DeadlinePassed},
		{"the instance stops", "/post/", func(_, begin func()) { begin() }, refusal.Stopping},
	} {
		var details []string
		for _, place := range []string{"limit", "engine", "turn"} {
			t.Run(ca.name+" during the wait for "+place, func(t *testing.T) {
				g := NewWithT(t)
				ha := newHarness(t, succeeds)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				begin := ha.shutsDown()
				re := ha.withPart("perhaps")
				re.Path = ca.path
				wait := endingWait{func() { ca.end(leave, begin) }}
				switch place {
				case "limit":
					ha.limit(map[string]time.Duration{"e0": 0})
					ha.Gate.Limiter = endingLimiter{wait}
				case "engine":
					ha.Reserver = endingReserver{wait}
				case "turn":
					ha.crashesOf(ha.suspecting(), "", "perhaps", 1)
					ha.Turns = endingTurns{wait}
				}
				rp := ha.Serve(ctx, re)
				g.Expect(reasonOf(rp)).To(Equal(ca.reason))
				g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.NotRun))
				g.Expect(ha.received()).To(BeZero())
				if ca.reason != refusal.Stopping { // that one tells the time that is left
					details = append(details, rp.Refusal.Detail)
					g.Expect(details).To(HaveEach(details[0]))
				}
			})
		}
	}
}
