package dispatch

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/reservation"
)

// waiting is a Reserver with which a request waits while something happens.
type waiting struct {
	during  func()
	granted string
}

func (wa waiting) Reserve(context.Context, reservation.Request) (*reservation.Grant, error) {
	wa.during()
	return &reservation.Grant{Endpoint: wa.granted}, nil
}

// An engine that began to leave while a request waited for a place gets it neither by the
// grant nor by the instance's own choice.
func TestEngineThatLeavesDuringWait(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, events(1, 3, true), events(1, 3, true))
	ha.Reserver = waiting{during: func() { ha.Roster.Leave("e0") }, granted: "e0"}
	for range 20 {
		_, err := readEvents(ha.send("/stream/x"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(ha.replicas[0].requestCount()).To(BeZero())
	g.Expect(ha.replicas[1].requestCount()).To(Equal(20))
}
