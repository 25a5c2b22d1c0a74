package dispatch

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/reservation"
)

// fixedReserver answers each request the same.
type fixedReserver struct {
	grant *reservation.Grant
	err   error
	asked []reservation.Request
}

func (fr *fixedReserver) Reserve(_ context.Context, re reservation.Request) (*reservation.Grant, error) {
	fr.asked = append(fr.asked, re)
	return fr.grant, fr.err
}

func TestReservations(t *testing.T) {
	for _, ca := range []struct {
		name     string
		reserver fixedReserver
		want     refusal.Reason
		// at is the replica that gets the request, or -1.
		at int
	}{
		{"granted", fixedReserver{grant: &reservation.Grant{Endpoint: "e1"}}, "", 1},
		{"alone", fixedReserver{}, "", 0},
		{"an engine that this instance doesn't know", fixedReserver{grant: &reservation.Grant{Endpoint: "e9"}}, "", 0},
		{"refused", fixedReserver{err: &reservation.Error{Kind: reservation.Refused, After: time.Minute}}, refusal.NoRoom, -1},
		{"waited in vain", fixedReserver{err: &reservation.Error{Kind: reservation.NoRoom}}, refusal.NoRoom, -1},
		{"caller left", fixedReserver{err: &reservation.Error{Kind: reservation.Left}}, refusal.CallerGone, -1},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, events(1, 2, true), events(1, 2, true))
			ha.Tracker.AddPending("e1", placement.Demand{Engine: ha.engine(), Prompt: 5000})
			ha.Reserver = &ca.reserver
			rp := ha.send("/stream/")
			g.Expect(reasonOf(rp)).To(Equal(ca.want))
			g.Expect(ca.reserver.asked).To(HaveLen(1))
			if ca.at < 0 {
				g.Expect(rp.Refusal.Rule().Outcome).To(Equal(refusal.NotRun))
				g.Expect(ha.received()).To(BeZero(), "what says not run was not sent")
				return
			}
			_, err := readEvents(rp)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(ha.replicas[ca.at].requestCount()).To(Equal(1))
		})
	}
}
