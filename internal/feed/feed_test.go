package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
)

// step is one scripted answer of a source.
type step struct {
	list    []Object[string]
	changes []Change[string]
	at      int64
	era     int64
	err     error
}

// scriptedSource answers calls with its steps in order and records the calls.
// After the last step it blocks until the context ends.
type scriptedSource struct {
	mu    sync.Mutex
	steps []step
	calls []string
}

func (sc *scriptedSource) next(ctx context.Context, call string) step {
	sc.mu.Lock()
	sc.calls = append(sc.calls, call)
	if len(sc.steps) == 0 {
		sc.mu.Unlock()
		<-ctx.Done()
		return step{err: ctx.Err()}
	}
	st := sc.steps[0]
	sc.steps = sc.steps[1:]
	sc.mu.Unlock()
	return st
}

func (sc *scriptedSource) List(ctx context.Context) ([]Object[string], Position, error) {
	st := sc.next(ctx, "list")
	return st.list, Position{Era: st.era, Revision: st.at}, st.err
}

func (sc *scriptedSource) Watch(ctx context.Context, after Position, _ time.Duration) ([]Change[string], Position, error) {
	st := sc.next(ctx, "watch "+string(rune('0'+after.Revision)))
	return st.changes, Position{Era: st.era, Revision: st.at}, st.err
}

func (sc *scriptedSource) recordedCalls() []string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return append([]string(nil), sc.calls...)
}

// sink records the calls that it gets.
type sink struct {
	mu       sync.Mutex
	recorded []string
	answers  int
}

func (si *sink) add(what string) {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.recorded = append(si.recorded, what)
}

func (si *sink) Reset(list []Object[string]) {
	for _, ob := range list {
		si.add("=" + ob.Name)
	}
}

func (si *sink) Apply(list []Change[string]) {
	for _, ch := range list {
		si.add("+" + ch.Object.Name)
	}
}

func (si *sink) CallAnswered(time.Duration) {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.answers++
}

func (si *sink) Restored() { si.add("restored") }

func (si *sink) CallFailed(error) { si.add("failed") }

func (si *sink) events() []string {
	si.mu.Lock()
	defer si.mu.Unlock()
	return append([]string(nil), si.recorded...)
}

func TestFollower(t *testing.T) {
	object := func(name string) Object[string] { return Object[string]{Name: name} }
	changes := func(names ...string) []Change[string] {
		var list []Change[string]
		for _, name := range names {
			list = append(list, Change[string]{Object: object(name)})
		}
		return list
	}
	failure := errors.New("no answer")
	for _, ca := range []struct {
		name  string
		steps []step
		calls []string
		got   []string
	}{
		{
			"lists, then watches from the listed revision",
			[]step{{list: []Object[string]{object("a")}, at: 1}, {changes: changes("b", "c"), at: 3}, {at: 4}},
			[]string{"list", "watch 1", "watch 3", "watch 4"}, []string{"=a", "+b", "+c"},
		},
		{
			"lists again when the history is gone",
			[]step{{at: 1}, {err: ErrHistoryGone}, {list: []Object[string]{object("a")}, at: 7}},
			[]string{"list", "watch 1", "list", "watch 7"}, []string{"=a"},
		},
		{
			"lists again after changes that are too large for one answer",
			[]step{{at: 1}, {err: ErrTooLarge}, {list: []Object[string]{object("a")}, at: 7}},
			[]string{"list", "watch 1", "list", "watch 7"}, []string{"failed", "=a"},
		},
		{
			"continues from the same revision after a failure",
			[]step{{at: 1}, {err: failure}, {changes: changes("b"), at: 2}},
			[]string{"list", "watch 1", "watch 1", "watch 2"}, []string{"failed", "+b"},
		},
		{
			"repeats the list until it is answered",
			[]step{{err: failure}, {err: failure}, {list: []Object[string]{object("a")}, at: 1}},
			[]string{"list", "list", "list", "watch 1"}, []string{"failed", "failed", "=a"},
		},
		{
			"lists again in a new era and continues from its lower revision",
			[]step{{at: 9}, {err: ErrRestored}, {list: []Object[string]{object("a")}, at: 4, era: 1}, {changes: changes("b"), at: 5, era: 1}},
			[]string{"list", "watch 9", "list", "watch 4", "watch 5"}, []string{"restored", "=a", "+b"},
		},
		{
			"notices two new eras, the second one while it lists",
			[]step{{at: 9}, {err: ErrRestored}, {err: ErrRestored}, {at: 3, era: 2}},
			[]string{"list", "watch 9", "list", "list", "watch 3"}, []string{"restored"},
		},
		{
			"notices a new era after a failure",
			[]step{{at: 9}, {err: failure}, {err: ErrHistoryGone}, {at: 2, era: 1}},
			[]string{"list", "watch 9", "watch 9", "list", "watch 2"}, []string{"failed", "restored"},
		},
		{
			"never returns to an older revision",
			[]step{{at: 5}, {at: 3}},
			[]string{"list", "watch 5", "watch 5"}, nil,
		},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			sc, si := &scriptedSource{steps: ca.steps}, &sink{}
			fo := &Follower[string]{Kind: "k", Source: sc, Sink: si, Clock: clockwork.NewRealClock(), Boot: &boottime.Manual{}, Log: zerolog.Nop()}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = fo.Run(ctx)
			}()
			g.Eventually(sc.recordedCalls, "5s").Should(Equal(ca.calls))
			cancel()
			<-done
			g.Expect(si.events()).To(HaveExactElements(ca.got))
		})
	}
}

// The answer to a call that was in flight when the follower stopped is ignored.
func TestStoppedFollowerAppliesNothing(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	si := &sink{}
	fo := &Follower[string]{Source: cancelingSource{cancel}, Sink: si, Clock: clockwork.NewRealClock(), Boot: &boottime.Manual{}, Log: zerolog.Nop()}
	g.Expect(fo.Run(ctx)).To(Succeed())
	g.Expect(si.events()).To(BeEmpty())
}

// cancelingSource cancels the follower's context before it answers.
type cancelingSource struct{ cancel func() }

func (cs cancelingSource) List(context.Context) ([]Object[string], Position, error) {
	cs.cancel()
	return []Object[string]{{Name: "a"}}, Position{Revision: 1}, nil
}

func (cancelingSource) Watch(context.Context, Position, time.Duration) ([]Change[string], Position, error) {
	return nil, Position{}, errors.New("unexpected call to Watch")
}

// A follower whose call the store holds open lists again as soon as another follower
// notices a new era. It does so once, even if its own list is of an older era.
func TestFollowerLearnsOfNewEra(t *testing.T) {
	g := NewWithT(t)
	eras := &Eras{}
	sc, si := &scriptedSource{steps: []step{{at: 9}}}, &sink{}
	fo := &Follower[string]{Kind: "k", Source: sc, Sink: si, Clock: clockwork.NewRealClock(), Boot: &boottime.Manual{}, Log: zerolog.Nop(), Eras: eras}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = fo.Run(ctx) }()
	g.Eventually(sc.recordedCalls, "5s").Should(Equal([]string{"list", "watch 9"}))
	sc.mu.Lock()
	sc.steps = []step{{at: 4, era: 1}}
	sc.mu.Unlock()
	eras.Note(2)
	g.Eventually(sc.recordedCalls, "5s").Should(Equal([]string{"list", "watch 9", "list", "watch 4"}))
	g.Expect(si.events()).To(Equal([]string{"restored"}))
	g.Consistently(sc.recordedCalls, "50ms").Should(HaveLen(4))
}

// A process that starts after the store was restored takes its era for the first one. Later
// eras are noticed as in other processes.
func TestNewProcessTakesTheErasOfTheStoreFromItsFirst(t *testing.T) {
	g := NewWithT(t)
	for _, ca := range []struct {
		told int64
		got  []string
	}{{-1, []string{"restored"}}, {1, []string{"restored", "restored"}}} {
		eras := &Eras{}
		if ca.told >= 0 {
			eras.Note(ca.told) // a reader has told it of the era before
		}
		sc, si := &scriptedSource{steps: []step{{at: 4, era: 2}, {err: ErrRestored}, {at: 3, era: 3}}}, &sink{}
		fo := &Follower[string]{Kind: "k", Source: sc, Sink: si, Clock: clockwork.NewRealClock(), Boot: &boottime.Manual{}, Log: zerolog.Nop(), Eras: eras}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = fo.Run(ctx) }()
		g.Eventually(sc.recordedCalls, "5s").Should(Equal([]string{"list", "watch 4", "list", "watch 3"}))
		g.Expect(si.events()).To(Equal(ca.got))
		cancel()
	}
}
