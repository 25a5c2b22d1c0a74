package dispatch

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/roster"
)

// countedSlots counts the requests in progress that need no slot.
type countedSlots struct {
	changingSlots
	entered, ended atomic.Int64
	// turns is the number of turns that the limits gave out.
	turns int
}

func (cs *countedSlots) Enter(roster.Endpoint) backpressure.Use {
	cs.entered.Add(1)
	return cs
}

func (cs *countedSlots) End(bool) { cs.ended.Add(1) }

// resumingUnderLimit returns the stream of a run whose engine crashes and whose standby
// copy is at an engine with a rate limit. While it waits there for the first time,
// something changes.
func resumingUnderLimit(t *testing.T, change func(ha *harness, en roster.Endpoint)) (*harness, *countedSlots, Reply) {
	t.Helper()
	ha := newHarness(t, crashes, crashes)
	cs := &countedSlots{}
	ha.Gate.Slots = cs
	rp := ha.Serve(t.Context(), ha.longRequest())
	ql := ha.limit(map[string]time.Duration{"e0": 5 * time.Millisecond, "e1": 5 * time.Millisecond})
	ha.Gate.Limiter = changedLimiter{ql, func(en roster.Endpoint) {
		if cs.turns++; cs.turns == 1 {
			change(ha, en)
		}
	}}
	return ha, cs, rp
}

// changedLimiter lets something change while it is asked.
type changedLimiter struct {
	*queueLimiter
	change func(roster.Endpoint)
}

func (cl changedLimiter) Take(ctx context.Context, en roster.Endpoint, limit backpressure.Limit, maxWait time.Duration) (time.Duration, bool) {
	cl.change(en)
	return cl.queueLimiter.Take(ctx, en, limit, maxWait)
}

// paused returns a change: the endpoint asks for a pause, which ends soon if ends is set.
func paused(pause time.Duration, ends bool) func(*harness, roster.Endpoint) {
	return func(ha *harness, en roster.Endpoint) {
		ha.Gate.Registry.Observe(en, backpressure.Signal{RetryAfter: pause, Limit: backpressure.Limit{Rate: 2, Named: true}})
		if ends {
			time.AfterFunc(pause/2, func() { ha.boot.Advance(pause) })
		}
	}
}

// Guards against the end of a stream whose permit did not allow its call after the wait,
// though nothing was sent and the engine takes the run soon.
func TestResumedStreamAsksForAnotherPermit(t *testing.T) {
	for _, ca := range []struct {
		name   string
		change func(*harness, roster.Endpoint)
		want   string
	}{
		{"expired", func(ha *harness, _ roster.Endpoint) { ha.boot.Advance(3 * time.Second) }, numbered(1, 6)},
		{"limited", func(ha *harness, en roster.Endpoint) {
			ha.Gate.Registry.Observe(en, backpressure.Signal{Limit: backpressure.Limit{Named: true}})
		}, numbered(1, 6)},
		{"short pause", paused(100*time.Millisecond, true), numbered(1, 6)},
		{"long pause", paused(time.Hour, false), numbered(1, 3)},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha, cs, rp := resumingUnderLimit(t, ca.change)
			begun := time.Now()
			got, _ := readEvents(rp)
			g.Expect(got).To(Equal(ca.want))
			g.Expect(ha.received()).To(Equal(len(got) / len(numbered(1, 3))))
			g.Expect(time.Since(begun)).To(BeNumerically("<", maxResumeWait), "a hopeless one ends at once")
			g.Expect(ha.Tracker.Loads()).To(BeEmpty())
			g.Expect(cs.turns).To(Equal(len(got)/len(numbered(1, 3))), "no call is sent at the first turn")
			g.Expect(cs.ended.Load()).To(Equal(cs.entered.Load()), "each permit is released once")
		})
	}
}

// stoppedAt is a roll-out that allows no runs at one endpoint.
type stoppedAt struct {
	stoppable
	endpoint string
}

func (st *stoppedAt) Allows(en roster.Endpoint) bool { return en.ID != st.endpoint }

// Guards against a run that goes on at an engine whose version was stopped, or that restarted
// and has no copy of it, while it waited there. A run that was moved goes back; the copy of
// one whose engine crashed is not used.
func TestTargetChangesWhileRunWaits(t *testing.T) {
	for name, change := range map[string]func(*harness, roster.Endpoint){
		"stopped": func(ha *harness, en roster.Endpoint) { ha.Rollouts = &stoppedAt{endpoint: en.ID} },
		"restarted": func(ha *harness, en roster.Endpoint) {
			en.Started++
			ha.restart(en)
		},
	} {
		for _, moves := range []bool{true, false} {
			t.Run(name+", moves "+strconv.FormatBool(moves), func(t *testing.T) {
				g := NewWithT(t)
				ha := newHarness(t, crashes, crashes)
				want := numbered(1, 3)
				if moves {
					ha.Roster.Leave("e1")
					target, _ := ha.Roster.View().Get("e1")
					ha.Runs = &moverOnce{harness: ha, target: target}
					want = numbered(1, 6)
				}
				rp := ha.Serve(t.Context(), ha.longRequest())
				changed := ""
				ha.Gate.Limiter = changedLimiter{ha.limit(map[string]time.Duration{"e0": 0, "e1": 0}), func(en roster.Endpoint) {
					if changed == "" {
						changed = en.ID
						change(ha, en)
					}
				}}
				got, _ := readEvents(rp)
				g.Expect(got).To(Equal(want))
				for _, rp := range ha.replicas {
					if rp.id == changed {
						g.Expect(rp.requestCount()).To(BeZero())
					}
				}
				g.Expect(ha.Tracker.Loads()).To(BeEmpty())
			})
		}
	}
}

// Guards against a run that goes on at another engine although it was found, while it waited
// there, that engines crash under a part of its prompt.
func TestPartIsBlamedWhileRunWaits(t *testing.T) {
	for _, moves := range []bool{true, false} {
		for losses, received := range map[int]int{0: 2, 3: 1} {
			t.Run(fmt.Sprint("moves ", moves, ", losses ", losses), func(t *testing.T) {
				g := NewWithT(t)
				ha := newHarness(t, crashes, crashes)
				re := ha.suspecting()
				if moves {
					ha.Roster.Leave("e1")
					target, _ := ha.Roster.View().Get("e1")
					ha.Runs = &moverOnce{harness: ha, target: target}
				}
				rp := ha.Serve(t.Context(), ha.withPart("bad"))
				ql := ha.limit(map[string]time.Duration{"e0": 0, "e1": 0})
				ha.Gate.Limiter = changedLimiter{ql, func(roster.Endpoint) { ha.crashesOf(re, "", "bad", losses) }}
				_, err := readEvents(rp)
				g.Expect(err == nil).To(Equal(losses == 0))
				g.Expect(ha.received()).To(Equal(received))
				g.Expect(ha.Tracker.Loads()).To(BeEmpty())
			})
		}
	}
}
