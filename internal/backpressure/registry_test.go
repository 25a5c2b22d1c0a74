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

// An answer with status 421 comes from another endpoint, so its signal is not that
// of the endpoint that was called.
func TestSenderObservesAnswers(t *testing.T) {
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
			re := &Registry{Boot: &boottime.Manual{}, Log: zerolog.Nop()}
			se := &Sender{Transport: ca.tr, Decode: func(*upstream.Answer) Signal { return limitOf(1) }, Registry: re}
			_, _ = se.Do(context.Background(), roster.Endpoint{ID: "e1"}, upstream.Call{})
			_, limited := re.Limit(roster.Endpoint{ID: "e1"})
			NewWithT(t).Expect(limited).To(Equal(ca.limited))
		})
	}
}
