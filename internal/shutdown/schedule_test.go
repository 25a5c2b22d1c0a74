package shutdown

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

const grace = 7500 * time.Millisecond

// Requests that could not end before the end of a shutdown were passed on and cut.
func TestTakes(t *testing.T) {
	for _, ca := range []struct {
		name     string
		after    time.Duration // since the beginning
		deadline time.Duration // from then on
		length   time.Duration
		takes    bool
	}{
		{"deadline before the end", 0, 6 * time.Second, 0, true},
		{"deadline at the end", 6 * time.Second, 1500 * time.Millisecond, 0, true},
		{"deadline after the end", 6 * time.Second, 1600 * time.Millisecond, 0, false},
		{"length not known", 0, 39 * time.Second, 0, false},
		{"length fits", 0, 39 * time.Second, 6 * time.Second, true},
		{"length fits without its reserve", 0, 39 * time.Second, 7 * time.Second, false},
		{"length fitted before", 3 * time.Second, 39 * time.Second, 6 * time.Second, false},
		{"short answer late", 7 * time.Second, 39 * time.Second, 300 * time.Millisecond, true},
		{"deadline before the end, length beyond it", 0, 6 * time.Second, 9 * time.Second, true},
		{"at the end", grace, time.Second, time.Millisecond, false},
		{"after the end", grace + time.Second, 0, time.Millisecond, false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			begin := time.Now()
			pe := Period{Begin: begin, End: begin.Add(grace)}
			now := begin.Add(ca.after)
			g.Expect(pe.Takes(Request{Deadline: now.Add(ca.deadline), Length: ca.length}, now)).To(Equal(ca.takes))
		})
	}
}

// Requests that waited for an endpoint when a shutdown began were sent when their turn
// came, however late that was.
func TestWhileWaiting(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	sd := &Schedule{Clock: clock}
	wait := func(length time.Duration) context.Context {
		re := Request{Deadline: clock.Now().Add(time.Minute), Length: length}
		ctx, cancel := sd.WhileWaiting(context.Background(), func() Request { return re })
		t.Cleanup(cancel)
		return ctx
	}
	short, long, unknown := wait(2*time.Second), wait(7*time.Second), wait(0)
	clock.Advance(10 * time.Second)
	g.Expect(short.Err()).NotTo(HaveOccurred())
	_, begun := sd.Period()
	g.Expect(begun).To(BeFalse())
	begin(sd)
	g.Expect(IsCause(context.Cause(long))).To(BeTrue())
	g.Expect(IsCause(context.Cause(unknown))).To(BeTrue())
	later := wait(2 * time.Second)
	clock.Advance(4900 * time.Millisecond)
	g.Expect(short.Err()).NotTo(HaveOccurred())
	clock.Advance(200 * time.Millisecond)
	g.Eventually(short.Done(), "5s").Should(BeClosed())
	g.Eventually(later.Done(), "5s").Should(BeClosed())
	g.Expect(IsCause(context.Cause(short))).To(BeTrue())
	g.Expect(IsCause(context.Cause(wait(2 * time.Second)))).To(BeTrue())
}

func begin(sd *Schedule) {
	now := sd.Clock.Now()
	sd.Start(Period{Begin: now, Accepting: now, End: now.Add(grace)})
}

// A request whose deadline comes before the end of the shutdown ended as cut by it.
func TestDeadlineBeforeTheEndIsNoShutdown(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	sd := &Schedule{Clock: clock}
	re := Request{Deadline: clock.Now().Add(time.Second)}
	ctx, cancel := sd.WhileWaiting(context.Background(), func() Request { return re })
	defer cancel()
	begin(sd)
	clock.Advance(grace)
	g.Consistently(ctx.Err, "50ms").Should(Succeed())
}

func TestWaitsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	sd := &Schedule{Clock: clockwork.NewFakeClock()}
	ctx, cancel := sd.WhileWaiting(context.Background(), func() Request { return Request{} })
	cancel()
	g.Expect(sd.waits).To(BeEmpty())
	g.Expect(IsCause(context.Cause(ctx))).To(BeFalse())
	begin(sd)
	g.Expect(IsCause(context.Cause(ctx))).To(BeFalse())
}

func TestLengths(t *testing.T) {
	g := NewWithT(t)
	var le Lengths
	now := time.Now()
	record := func(count int, took time.Duration, whole bool) {
		for range count {
			le.Begin("r", now.Add(-took)).End(now, whole)
		}
	}
	longest := func() time.Duration { return le.Longest("r", now) }
	record(spanAnswers-1, time.Second, true)
	record(spanAnswers, time.Millisecond, false)
	g.Expect(longest()).To(BeZero())
	record(1, 5*time.Second, true)
	g.Expect(longest()).To(Equal(5 * time.Second))
	record(1, 6*time.Second, false)
	g.Expect(longest()).To(Equal(6 * time.Second))
	record(spanAnswers, time.Second, true)
	g.Expect(longest()).To(Equal(6 * time.Second))
	record(spanAnswers, time.Second, true)
	g.Expect(longest()).To(Equal(time.Second))
	g.Expect(le.Longest("other", now)).To(BeZero())

	first, second := le.Begin("r", now), le.Begin("r", now)
	now = now.Add(3 * time.Second)
	g.Expect(longest()).To(Equal(3 * time.Second))
	first.End(now, true)
	first.End(now.Add(time.Hour), true)
	second.End(now, true)
	g.Expect(longest()).To(Equal(3 * time.Second))
	(*Answer)(nil).End(now, true)
}
