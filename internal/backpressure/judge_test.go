package backpressure

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

// kindOf returns the kind of an error of a Gate, or none.
func kindOf(err error) ErrorKind {
	var er *Error
	if errors.As(err, &er) {
		return er.Kind
	}
	return ""
}

// After a limit was lowered, the turns given out before are kept at the present rate. All
// of them were, at the earlier rate.
func TestTurnsOfEarlierLimits(t *testing.T) {
	const requests = 1000
	for _, ca := range []struct {
		name        string
		before, now float64
		least, most int
	}{
		{"the same", 5, 5, requests, requests},
		{"raised", 5, 9, requests, requests},
		{"little lower", 5, 4.6, requests, requests},
		{"a fifth", 5, 1, 120, 280},
		{"none", 5, 0, 0, 0},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			asked, sent := 0, 0
			ga := newGate(fixedTransport{an: &upstream.Answer{Status: 200}}, &boottime.Manual{}, limitOf(ca.now))
			ga.Limiter = fixedLimiter{taken: true, asked: &asked}
			en := roster.Endpoint{ID: "e1"}
			for range requests {
				ga.Registry.Observe(en, limitOf(ca.before))
				pe, err := ga.Request(context.Background(), en, Terms{})
				g.Expect(err).NotTo(HaveOccurred())
				ga.Registry.Observe(en, limitOf(ca.now))
				if _, err = ga.Do(context.Background(), pe, upstream.Call{}); err == nil {
					sent++
					continue
				}
				g.Expect(kindOf(err)).To(Equal(Limited))
			}
			g.Expect(sent).To(And(BeNumerically(">=", ca.least), BeNumerically("<=", ca.most)))
		})
	}
}

// An endpoint that leaves gets no requests, but health checks and the runs that go on
// there.
func TestRequestsToEndpointsThatLeave(t *testing.T) {
	g := NewWithT(t)
	for _, ca := range []struct {
		terms Terms
		want  ErrorKind
	}{{Terms{}, Left}, {Terms{IsCheck: true}, ""}, {Terms{HasRoom: true}, ""}} {
		for _, says := range []bool{false, true} {
			ga := newGate(fixedTransport{an: &upstream.Answer{Status: 200}}, &boottime.Manual{}, Signal{})
			usable := true
			ga.Usable = func(roster.Endpoint) bool { return usable }
			en := roster.Endpoint{ID: "e1"}
			waiting, err := ga.Request(context.Background(), en, ca.terms)
			g.Expect(err).NotTo(HaveOccurred())
			ga.Registry.Observe(en, Signal{Leaving: says})
			usable = says
			_, err = ga.Do(context.Background(), waiting, upstream.Call{})
			g.Expect(kindOf(err)).To(Equal(ca.want), "%+v", ca.terms)
			_, err = ga.Request(context.Background(), en, ca.terms)
			g.Expect(kindOf(err)).To(Equal(ca.want), "%+v", ca.terms)
		}
	}
}

// Guards against runs that go on at an endpoint at the turns of an earlier limit: all of them
// were sent after it had named a lower one. They need no slot, since the endpoint keeps room
// for them.
func TestResumedRunsAreJudgedByLimits(t *testing.T) {
	for _, ca := range []struct {
		name         string
		before, says Signal
		want         ErrorKind
	}{
		{"brittle", limitOf(5), Signal{Brittle: true, Limit: limitOf(5).Limit}, ""},
		{"no limit any more", limitOf(5), Signal{}, ""},
		{"a lower limit", limitOf(5), limitOf(0), Limited},
		{"a first limit", Signal{}, limitOf(5), Limited},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			asked := 0
			ga := newGate(fixedTransport{an: &upstream.Answer{Status: 200}}, &boottime.Manual{}, Signal{})
			ga.Limiter, ga.Slots = fixedLimiter{taken: true, asked: &asked}, oneSlot{taken: make(map[string]bool)}
			en := roster.Endpoint{ID: "e1"}
			ga.Registry.Observe(en, ca.before)
			pe, err := ga.Request(context.Background(), en, Terms{HasRoom: true})
			g.Expect(err).NotTo(HaveOccurred())
			ga.Registry.Observe(en, ca.says)
			_, err = ga.Do(context.Background(), pe, upstream.Call{})
			g.Expect(kindOf(err)).To(Equal(ca.want))
		})
	}
}
