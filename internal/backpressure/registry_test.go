package backpressure

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

func limitOf(rate float64) Signal { return Signal{Limit: Limit{Rate: rate, Named: true}} }

// A statement holds for the process that made it, until it says otherwise.
func TestRegistryKeepsWhatEndpointsSay(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	re := &Registry{Boot: &boottime.Manual{}, Log: zerolog.New(&log)}
	en := roster.Endpoint{ID: "e1", Started: 5}
	re.Observe(en, Signal{})
	g.Expect(re.Limit(en)).To(Equal(Limit{}))

	re.Observe(en, limitOf(2.5))
	re.Observe(en, limitOf(2.5))
	limit, limited := re.Limit(en)
	g.Expect(limited).To(BeTrue())
	g.Expect(limit.Rate).To(Equal(2.5))
	g.Expect(strings.Count(log.String(), "endpoint_limited")).To(Equal(1), "one line for one change")

	re.Observe(en, Signal{Malformed: []Part{PartLimit}})
	_, limited = re.Limit(en)
	g.Expect(limited).To(BeTrue(), "a statement that cannot be decoded changes nothing")

	re.Observe(roster.Endpoint{ID: "e1", Started: 4}, limitOf(9))
	limit, _ = re.Limit(en)
	g.Expect(limit.Rate).To(Equal(2.5), "an answer of an earlier process arrived late")

	_, limited = re.Limit(roster.Endpoint{ID: "e1", Started: 6})
	g.Expect(limited).To(BeFalse(), "a restarted endpoint has said nothing yet")

	re.Observe(en, Signal{})
	_, limited = re.Limit(en)
	g.Expect(limited).To(BeFalse(), "a limit ends with the first answer without it")
	g.Expect(log.String()).To(ContainSubstring("endpoint_limit_ended"))
	g.Expect(*re.states.Load()).To(BeEmpty())

	re.Observe(en, Signal{RetryAfter: time.Second, Leaving: true})
	g.Expect(log.String()).To(And(ContainSubstring("endpoint_retry_after"), ContainSubstring("endpoint_leaving")))
	re.Forget(func(string) bool { return false })
	g.Expect(*re.states.Load()).To(BeEmpty())
}

type fixedTransport struct {
	an  *upstream.Answer
	err error
}

func (ft fixedTransport) Do(context.Context, upstream.Call) (*upstream.Answer, error) {
	return ft.an, ft.err
}

func newGate(tr Transport, boot *boottime.Manual, sg Signal) *Gate {
	return &Gate{Transport: tr, Decode: func(*upstream.Answer) Signal { return sg }, Registry: &Registry{Boot: boot, Log: zerolog.Nop()}}
}

// An answer with status 421 comes from another endpoint, so its signal is not that
// of the endpoint that was called.
func TestGateObservesAnswers(t *testing.T) {
	for _, ca := range []struct {
		name    string
		tr      fixedTransport
		limited bool
	}{
		{"success", fixedTransport{an: &upstream.Answer{Status: 200}}, true},
		{"error of the endpoint", fixedTransport{an: &upstream.Answer{Status: 500}}, true},
		{"misdirected", fixedTransport{an: &upstream.Answer{Status: 421}}, false},
		{"no answer", fixedTransport{err: errors.New("lost")}, false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ga := newGate(ca.tr, &boottime.Manual{}, limitOf(1))
			en := roster.Endpoint{ID: "e1"}
			pe, err := ga.Request(context.Background(), en, Terms{})
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = ga.Do(context.Background(), pe, upstream.Call{})
			g.Expect(ga.Registry.IsLimited(en)).To(Equal(ca.limited))
		})
	}
}

// fixedLimiter gives out requests after a fixed wait, or none.
type fixedLimiter struct {
	wait  time.Duration
	taken bool
	asked *int
}

func (fl fixedLimiter) Take(context.Context, roster.Endpoint, Limit, time.Duration) (time.Duration, bool) {
	*fl.asked++
	return fl.wait, fl.taken
}

// A call can't be sent without a permit, twice with one, or after it expired while
// the process was paused.
func TestGateNeedsPermits(t *testing.T) {
	g := NewWithT(t)
	boot := &boottime.Manual{}
	ga := newGate(fixedTransport{an: &upstream.Answer{Status: 200}}, boot, limitOf(1))
	en := roster.Endpoint{ID: "e1"}
	kindOf := func(pe *Permit) ErrorKind {
		_, err := ga.Do(context.Background(), pe, upstream.Call{})
		var er *Error
		if errors.As(err, &er) {
			return er.Kind
		}
		return ""
	}
	g.Expect(kindOf(nil)).To(Equal(NoPermit))
	pe, _ := ga.Request(context.Background(), en, Terms{})
	g.Expect(kindOf(pe)).To(BeEmpty())
	g.Expect(kindOf(pe)).To(Equal(NoPermit))
	pe, _ = ga.Request(context.Background(), en, Terms{})
	boot.Advance(3 * time.Second)
	g.Expect(kindOf(pe)).To(Equal(Expired))
}

// A limit that is known to be reached is not asked for again until there may be
// room, except by requests that can wait.
func TestGateRemembersDenials(t *testing.T) {
	g := NewWithT(t)
	boot := &boottime.Manual{}
	asked := 0
	ga := newGate(nil, boot, Signal{})
	ga.Limiter = fixedLimiter{wait: 400 * time.Millisecond, asked: &asked}
	en := roster.Endpoint{ID: "e1"}
	ga.Registry.Observe(en, limitOf(2.5))
	for range 3 {
		_, err := ga.Request(context.Background(), en, Terms{})
		g.Expect(IsRefused(err)).To(BeTrue())
	}
	g.Expect(asked).To(Equal(1))
	g.Expect(ga.Registry.Available(en)).To(BeFalse())
	g.Expect(ga.Registry.After(en)).To(Equal(400 * time.Millisecond))
	_, _ = ga.Request(context.Background(), en, Terms{MaxWait: time.Second})
	g.Expect(asked).To(Equal(2))
	boot.Advance(400 * time.Millisecond)
	g.Expect(ga.Registry.Available(en)).To(BeTrue())
}

// An endpoint that asked for a pause gets neither requests nor probes in it, but runs
// are still moved off it.
func TestGateKeepsPauses(t *testing.T) {
	g := NewWithT(t)
	boot := &boottime.Manual{}
	ga := newGate(nil, boot, Signal{})
	en := roster.Endpoint{ID: "e1"}
	ga.Registry.Observe(en, Signal{RetryAfter: 2 * time.Second})
	_, err := ga.Request(context.Background(), en, Terms{})
	var er *Error
	g.Expect(errors.As(err, &er)).To(BeTrue())
	g.Expect(er.Kind).To(Equal(Paused))
	g.Expect(er.After).To(Equal(2 * time.Second))
	_, err = ga.Probe(en)
	g.Expect(IsRefused(err)).To(BeTrue())
	g.Expect(ga.Order(en)).NotTo(BeNil())
	boot.Advance(2 * time.Second)
	_, err = ga.Probe(en)
	g.Expect(err).NotTo(HaveOccurred())
}

// The answer to a call to the control API may name a limit. Without one, it does not
// end the limit that answers to requests name.
func TestControlCallsDoNotEndLimits(t *testing.T) {
	g := NewWithT(t)
	en := roster.Endpoint{ID: "e1"}
	ga := newGate(fixedTransport{an: &upstream.Answer{Status: 200}}, &boottime.Manual{}, Signal{})
	ga.Registry.Observe(en, limitOf(2))
	_, err := ga.Do(context.Background(), ga.Order(en), upstream.Call{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ga.Registry.IsLimited(en)).To(BeTrue())
	pe, _ := ga.Request(context.Background(), en, Terms{})
	_, err = ga.Do(context.Background(), pe, upstream.Call{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ga.Registry.IsLimited(en)).To(BeFalse())
}

// Instances tell each other what endpoints said, and the newer statement holds.
func TestRegistryMergesStatements(t *testing.T) {
	g := NewWithT(t)
	boot := &boottime.Manual{}
	boot.Advance(time.Minute)
	left := ""
	re := &Registry{Boot: boot, Log: zerolog.Nop(), OnLeaving: func(id string, _ int64) { left = id }}
	en := roster.Endpoint{ID: "e1", Started: 5}
	re.Observe(en, limitOf(2.5))
	list, unsent := re.Changed()
	g.Expect(unsent).To(BeTrue())
	g.Expect(list).To(Equal([]Statement{{Endpoint: "e1", Started: 5, Limit: Limit{Rate: 2.5, Named: true}}}))

	other := &Registry{Boot: boot, Log: zerolog.Nop()}
	other.Merge(list)
	g.Expect(other.IsLimited(en)).To(BeTrue())
	list, _ = other.Changed()
	g.Expect(list).To(BeEmpty(), "only the instance that got the answer tells the others")

	boot.Advance(time.Second)
	re.Merge([]Statement{{Endpoint: "e1", Started: 5, Age: 2 * time.Second}})
	g.Expect(re.IsLimited(en)).To(BeTrue(), "the statement is older")
	re.Merge([]Statement{{Endpoint: "e1", Started: 4}})
	g.Expect(re.IsLimited(en)).To(BeTrue(), "another process made the statement")
	re.Merge([]Statement{{Endpoint: "e1", Started: 5, Leaving: true}})
	g.Expect(re.IsLimited(en)).To(BeFalse())
	g.Expect(left).To(Equal("e1"))
	boot.Advance(tellPeriod + time.Second)
	list, _ = re.Changed()
	g.Expect(list).To(BeEmpty())
}

// oneSlot gives out one slot of each endpoint at a time.
type oneSlot struct{ taken map[string]bool }

func (os oneSlot) Take(_ context.Context, en roster.Endpoint, _, _ time.Duration) (Use, time.Duration, bool) {
	if os.taken[en.ID] {
		return nil, 50 * time.Millisecond, false
	}
	os.taken[en.ID] = true
	return slotUse(func(bool) { delete(os.taken, en.ID) }), 0, true
}

func (os oneSlot) Enter(roster.Endpoint) Use { return slotUse(func(bool) {}) }

type slotUse func(turnedAway bool)

func (su slotUse) End(turnedAway bool) { su(turnedAway) }

// A brittle endpoint gets no request without a slot, as long as its answers say so. A run
// for which it keeps room needs none.
func TestBrittleEndpointsNeedSlots(t *testing.T) {
	g := NewWithT(t)
	boot := &boottime.Manual{}
	ga := newGate(nil, boot, Signal{})
	ga.Slots = oneSlot{taken: make(map[string]bool)}
	en := roster.Endpoint{ID: "e1", Slots: 1}
	request := func(te Terms) (*Permit, error) { return ga.Request(context.Background(), en, te) }
	for range 3 {
		_, err := request(Terms{})
		g.Expect(err).NotTo(HaveOccurred(), "it has not said that it is brittle")
	}
	ga.Registry.Observe(en, Signal{Brittle: true})
	g.Expect(ga.Registry.IsBrittle(en)).To(BeTrue())
	first, err := request(Terms{})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = request(Terms{})
	var er *Error
	g.Expect(errors.As(err, &er)).To(BeTrue())
	g.Expect(er.Kind).To(Equal(Full))
	g.Expect(ga.Registry.Available(en)).To(BeFalse())
	_, err = request(Terms{HasRoom: true})
	g.Expect(err).NotTo(HaveOccurred())
	first.Release()
	first.Release()
	boot.Advance(50 * time.Millisecond)
	g.Expect(ga.Registry.Available(en)).To(BeTrue())
	_, err = request(Terms{})
	g.Expect(err).NotTo(HaveOccurred())

	ga.Registry.Observe(en, Signal{Partial: true})
	g.Expect(ga.Registry.IsBrittle(en)).To(BeTrue())
	ga.Registry.Observe(en, Signal{Malformed: []Part{PartBrittle}})
	g.Expect(ga.Registry.IsBrittle(en)).To(BeTrue())
	ga.Registry.Observe(en, Signal{})
	g.Expect(ga.Registry.IsBrittle(en)).To(BeFalse())
}

// A request that waited for its turn was sent although its endpoint had asked for a pause
// meanwhile.
func TestPauseHoldsForPermitsThatWait(t *testing.T) {
	g := NewWithT(t)
	boot := &boottime.Manual{}
	boot.Advance(time.Hour)
	ga := newGate(fixedTransport{an: &upstream.Answer{Status: 200}}, boot, Signal{})
	en := roster.Endpoint{ID: "e1"}
	waiting, err := ga.Request(context.Background(), en, Terms{})
	g.Expect(err).NotTo(HaveOccurred())
	order := ga.Order(en)
	ga.Registry.Observe(en, Signal{RetryAfter: 3 * time.Second})
	_, err = ga.Do(context.Background(), waiting, upstream.Call{})
	var er *Error
	g.Expect(errors.As(err, &er)).To(BeTrue(), "%v", err)
	g.Expect(er.Kind).To(Equal(Paused))
	g.Expect(er.After).To(Equal(3 * time.Second))
	_, err = ga.Do(context.Background(), order, upstream.Call{})
	g.Expect(err).NotTo(HaveOccurred(), "runs are moved off in a pause, too")
	boot.Advance(3 * time.Second)
	later, err := ga.Request(context.Background(), en, Terms{})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = ga.Do(context.Background(), later, upstream.Call{})
	g.Expect(err).NotTo(HaveOccurred())
}
