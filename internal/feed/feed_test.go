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

func (sc *scriptedSource) List(ctx context.Context) ([]Object[string], int64, error) {
	st := sc.next(ctx, "list")
	return st.list, st.at, st.err
}

func (sc *scriptedSource) Watch(ctx context.Context, revision int64, _ time.Duration) ([]Change[string], int64, error) {
	st := sc.next(ctx, "watch "+string(rune('0'+revision)))
	return st.changes, st.at, st.err
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

func (cs cancelingSource) List(context.Context) ([]Object[string], int64, error) {
	cs.cancel()
	return []Object[string]{{Name: "a"}}, 1, nil
}

func (cancelingSource) Watch(context.Context, int64, time.Duration) ([]Change[string], int64, error) {
	return nil, 0, errors.New("unexpected call to Watch")
}
