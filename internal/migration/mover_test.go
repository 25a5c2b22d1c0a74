package migration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// fakeEngines answers copies by a script and writes down what was asked.
type fakeEngines struct {
	mu     sync.Mutex
	asked  []string
	freed  []string
	answer func(run, target string, final bool) (Copied, error)
}

func (fe *fakeEngines) Copy(_ context.Context, _ roster.Endpoint, run, target string, final bool) (Copied, error) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.asked = append(fe.asked, fmt.Sprintf("%s to %s final=%v", run, target, final))
	return fe.answer(run, target, final)
}

func (fe *fakeEngines) Free(_ context.Context, _ roster.Endpoint, handle string) error {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.freed = append(fe.freed, handle)
	return nil
}

func (fe *fakeEngines) calls() []string {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return append([]string(nil), fe.asked...)
}

func (fe *fakeEngines) freedHandles() []string {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return append([]string(nil), fe.freed...)
}

func takes(_, target string, _ bool) (Copied, error) {
	return Copied{Handle: "h-" + target, Events: 1}, nil
}

// alone is the order of an instance without others.
type alone struct{}

func (alone) Announce(string, int) {}

func (alone) Ahead(string) int { return 0 }

type world struct {
	*Mover
	engines *fakeEngines
}

func newWorld(answer func(run, target string, final bool) (Copied, error)) *world {
	clock := clockwork.NewRealClock()
	ro := &roster.Roster{Clock: clock, Log: zerolog.Nop()}
	var list []feed.Object[roster.Endpoint]
	for _, id := range []string{"e1", "e2", "e3"} {
		list = append(list, feed.Object[roster.Endpoint]{Name: id, Value: &roster.Endpoint{ID: id, Address: id, Service: "s", Zone: "a"}})
	}
	ro.Reset(list)
	fe := &fakeEngines{answer: answer}
	return &world{engines: fe, Mover: &Mover{
		Engines: fe, Roster: ro, Board: &placement.Board{Clock: clock, Zone: "a"}, Clock: clock, Log: zerolog.Nop(), Turns: alone{},
	}}
}

var testEngine = &routing.Engine{Slots: 24, MemoryTokens: 30_000, TokensPerEvent: 4, Migrates: true}

func (wo *world) run(id string) *Run {
	ru := &Run{ID: id, Service: "s", Engine: testEngine, Prompt: 3000, MaxOutput: 2000}
	ru.At(wo.endpoint("e1"))
	ru.Progress(3)
	wo.Add(ru)
	return ru
}

func (wo *world) endpoint(id string) roster.Endpoint {
	en, _ := wo.Roster.View().Get(id)
	return en
}

func await(ru *Run) (Moved, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for !ru.Stopping() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return ru.Await(ctx)
}

func TestRunIsCopiedThenStoppedThenMoved(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(takes)
	ru := wo.run("r1")
	wo.Roster.Leave("e1")
	wo.Leaving(wo.endpoint("e1"))
	mv, moved := await(ru)
	g.Expect(moved).To(BeTrue())
	g.Expect(mv.From.ID).To(Equal("e1"))
	g.Expect(mv.Target.ID).To(BeElementOf("e2", "e3"))
	g.Expect(mv.Handle).To(Equal("h-" + mv.Target.ID))
	g.Expect(ru.Endpoint().ID).To(Equal(mv.Target.ID))
	to := "r1 to " + mv.Target.ID
	g.Expect(wo.engines.calls()).To(Equal([]string{to + " final=false", to + " final=false", to + " final=true"}))
}

// Each run is stopped before the next one's long copy begins.
func TestRunsMoveOneAfterAnother(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(takes)
	runs := []*Run{wo.run("r1"), wo.run("r2"), wo.run("r3")}
	wo.Roster.Leave("e1")
	wo.Leaving(wo.endpoint("e1"))
	for _, ru := range runs {
		_, moved := await(ru)
		g.Expect(moved).To(BeTrue())
	}
	calls := wo.engines.calls()
	g.Expect(calls).To(HaveLen(9))
	for ix := 0; ix < 9; ix += 3 {
		g.Expect(calls[ix][:2]).To(Equal(calls[ix+2][:2]))
		g.Expect(calls[ix+2]).To(HaveSuffix("final=true"))
	}
}

// Pattern: engines leave while the others are half full. A target in the zone
// is taken although it could not hold the longest answer that may come.
func TestTargetsArePlannedWithTheExpectedAnswer(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(takes)
	far := roster.Endpoint{ID: "far", Address: "far", Service: "s", Zone: "b"}
	wo.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: "far", Value: &far}}})
	for _, id := range []string{"e2", "e3"} {
		for range 6 {
			wo.Board.Begin(wo.endpoint(id), placement.Work{Engine: testEngine, Prompt: 3500, Output: 400}).Started()
		}
	}
	ru := wo.run("r1")
	ru.Output = 400
	wo.Roster.Leave("e1")
	wo.Leaving(wo.endpoint("e1"))
	mv, moved := await(ru)
	g.Expect(moved).To(BeTrue())
	g.Expect(mv.Target.Zone).To(Equal("a"))
}

// Pattern: more runs at an engine that leaves than can be copied in time. Those
// with a standby copy go on from it when the engine is gone, unless the engine
// of the copy leaves, too.
func TestRunsWithAStandbyStay(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(takes)
	safe, lost := wo.run("safe"), wo.run("lost")
	safe.Keep("e2")
	lost.Keep("e3")
	wo.Roster.Leave("e3")
	wo.Roster.Leave("e1")
	wo.Leaving(wo.endpoint("e1"))
	mv, moved := await(lost)
	g.Expect(moved).To(BeTrue())
	g.Expect(mv.Target.ID).To(Equal("e2"))
	for _, call := range wo.engines.calls() {
		g.Expect(call).To(HavePrefix("lost"))
	}
}

func TestTargetWithoutRoomIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	full := ""
	wo := newWorld(nil)
	wo.engines.answer = func(run, target string, final bool) (Copied, error) {
		if full == "" {
			full = target
		}
		if target == full {
			return Copied{}, ErrNoRoom
		}
		return takes(run, target, final)
	}
	first, second := wo.run("r1"), wo.run("r2")
	wo.Roster.Leave("e1")
	wo.Leaving(wo.endpoint("e1"))
	for _, ru := range []*Run{first, second} {
		mv, moved := await(ru)
		g.Expect(moved).To(BeTrue())
		g.Expect(mv.Target.ID).NotTo(Equal(full))
	}
	asked := 0
	for _, call := range wo.engines.calls() {
		if call[6:8] == full {
			asked++
		}
	}
	g.Expect(asked).To(Equal(1), "no other run asks the full engine")
}

// A last copy that fails leaves the run where it is, unless it was stopped:
// then its own engine goes on with what it holds.
func TestLastCopyFails(t *testing.T) {
	for _, ca := range []struct {
		name  string
		co    Copied
		moved bool
	}{
		{"the run goes on", Copied{}, false},
		{"the run was stopped", Copied{Handle: "kept"}, true},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			wo := newWorld(func(run, target string, final bool) (Copied, error) {
				if final {
					return ca.co, ErrNoRoom
				}
				return takes(run, target, final)
			})
			ru := wo.run("r1")
			ev := &evacuation{source: wo.endpoint("e1"), notice: wo.Clock.Now(), tries: map[*Run]int{}, full: map[string]bool{"e1": true}}
			g.Expect(wo.moveAll(context.Background(), ev, []candidate{ru.state()})).To(BeTrue())
			mv, moved := ru.Await(context.Background())
			g.Expect(moved).To(Equal(ca.moved))
			if !moved {
				g.Eventually(wo.engines.freedHandles, "5s").Should(HaveLen(1), "the copy at the target is freed")
				g.Expect(wo.engines.freedHandles()[0]).To(HavePrefix("h-e"))
			}
			if moved {
				g.Expect(mv.Target.ID).To(Equal("e1"))
				g.Expect(mv.Handle).To(Equal("kept"))
			}
		})
	}
}

func TestUnusedCopiesAreFreed(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(nil)
	var ru *Run
	wo.engines.answer = func(run, target string, final bool) (Copied, error) {
		if final {
			return Copied{}, errors.New("never asked")
		}
		ru.end()
		return takes(run, target, final)
	}
	ru = wo.run("r1")
	wo.Roster.Leave("e1")
	wo.Leaving(wo.endpoint("e1"))
	g.Eventually(wo.engines.freedHandles, "5s").Should(HaveLen(1))
	for _, call := range wo.engines.calls() {
		g.Expect(call).To(HaveSuffix("final=false"))
	}
	g.Expect(wo.Board.Loads()).To(BeEmpty())
}

// A run that was moved when its caller had left frees the copy.
func TestMovedRunWithoutCaller(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(takes)
	ru := wo.run("r1")
	ru.Complete(Moved{From: wo.endpoint("e1"), Handle: "h1", Target: wo.endpoint("e2")})
	wo.Remove(ru)
	g.Eventually(wo.engines.freedHandles, "5s").Should(Equal([]string{"h1"}))
	_, moved := ru.Await(context.Background())
	g.Expect(moved).To(BeFalse())
}

// turns says for a while that others come first.
type turns struct {
	mu   sync.Mutex
	left int
	told []int
}

func (tu *turns) Announce(_ string, runs int) {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	tu.told = append(tu.told, runs)
}

func (tu *turns) Ahead(string) int {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	tu.left = max(tu.left-1, 0)
	return tu.left
}

func (tu *turns) lastTold() []int {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	return append([]int(nil), tu.told...)
}

func TestOthersComeFirst(t *testing.T) {
	g := NewWithT(t)
	wo := newWorld(takes)
	tu := &turns{left: 4}
	wo.Turns = tu
	ru := wo.run("r1")
	begun := wo.Clock.Now()
	wo.Roster.Leave("e1")
	wo.Leaving(wo.endpoint("e1"))
	_, moved := await(ru)
	g.Expect(moved).To(BeTrue())
	g.Expect(wo.Clock.Since(begun)).To(BeNumerically(">=", announceTime+3*turnInterval))
	wo.Remove(ru)
	g.Eventually(func() bool { return len(tu.lastTold()) > 1 }, "5s").Should(BeTrue())
	g.Expect(tu.lastTold()[0]).To(Equal(1), "the run is announced")
	g.Expect(tu.lastTold()[1:]).To(HaveEach(0), "and not any more once it has moved")
}

func TestTurnsAreBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(turnBound(0)).To(BeZero())
	g.Expect(turnBound(3)).To(Equal(3 * turnTime))
}
