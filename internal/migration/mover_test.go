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

// fakeEngines answers copies with a given function and records all calls.
type fakeEngines struct {
	mu     sync.Mutex
	copied []string
	freed  []string
	answer func(run, target string, final bool) (Copied, error)
}

func (fe *fakeEngines) Copy(_ context.Context, _ roster.Endpoint, run, target string, final bool) (Copied, error) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.copied = append(fe.copied, fmt.Sprintf("%s to %s final=%v", run, target, final))
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
	return append([]string(nil), fe.copied...)
}

func (fe *fakeEngines) freedHandles() []string {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return append([]string(nil), fe.freed...)
}

func copySucceeds(_, target string, _ bool) (Copied, error) {
	return Copied{Handle: "h-" + target, Events: 1}, nil
}

// noOtherInstances is the MoveOrder of a single instance.
type noOtherInstances struct{}

func (noOtherInstances) Announce(string, int) {}

func (noOtherInstances) Ahead(string) int { return 0 }

type harness struct {
	*Mover
	engines *fakeEngines
}

func newHarness(answer func(run, target string, final bool) (Copied, error)) *harness {
	clock := clockwork.NewRealClock()
	ro := &roster.Roster{Clock: clock, Log: zerolog.Nop()}
	var list []feed.Object[roster.Endpoint]
	for _, id := range []string{"e1", "e2", "e3"} {
		list = append(list, feed.Object[roster.Endpoint]{Name: id, Value: &roster.Endpoint{ID: id, Address: id, Service: "s", Zone: "a"}})
	}
	ro.Reset(list)
	fe := &fakeEngines{answer: answer}
	return &harness{engines: fe, Mover: &Mover{
		Engines: fe, Roster: ro, Tracker: &placement.LoadTracker{Clock: clock, Zone: "a"}, Clock: clock, Log: zerolog.Nop(), MoveOrder: noOtherInstances{},
	}}
}

var testEngine = &routing.Engine{Slots: 24, MemoryTokens: 30_000, TokensPerEvent: 4, Migrates: true}

func (ha *harness) addRun(id string) *Run {
	ru := &Run{ID: id, Service: "s", Engine: testEngine, Prompt: 3000, MaxOutput: 2000}
	ru.SetEndpoint(ha.endpoint("e1"))
	ru.SetEvents(3)
	ha.Add(ru)
	return ru
}

func (ha *harness) endpoint(id string) roster.Endpoint {
	en, _ := ha.Roster.View().Get(id)
	return en
}

func await(ru *Run) (Moved, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for ru.Known().mayOrder() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return ru.Await(ctx)
}

func TestRunIsCopiedThenStoppedThenMoved(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	ru := ha.addRun("r1")
	ha.Roster.Leave("e1")
	ha.Evacuate(ha.endpoint("e1"))
	mv, moved := await(ru)
	g.Expect(moved).To(BeTrue())
	g.Expect(mv.From.ID).To(Equal("e1"))
	g.Expect(mv.Target.ID).To(BeElementOf("e2", "e3"))
	g.Expect(mv.Handle).To(Equal("h-" + mv.Target.ID))
	g.Expect(ru.Endpoint().ID).To(Equal(mv.Target.ID))
	to := "r1 to " + mv.Target.ID
	g.Expect(ha.engines.calls()).To(Equal([]string{to + " final=false", to + " final=false", to + " final=true"}))
}

// Each run is stopped before the first copy of the next run begins.
func TestRunsMoveOneAfterAnother(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	runs := []*Run{ha.addRun("r1"), ha.addRun("r2"), ha.addRun("r3")}
	ha.Roster.Leave("e1")
	ha.Evacuate(ha.endpoint("e1"))
	for _, ru := range runs {
		_, moved := await(ru)
		g.Expect(moved).To(BeTrue())
	}
	calls := ha.engines.calls()
	g.Expect(calls).To(HaveLen(9))
	for ix := 0; ix < 9; ix += 3 {
		g.Expect(calls[ix][:2]).To(Equal(calls[ix+2][:2]))
		g.Expect(calls[ix+2]).To(HaveSuffix("final=true"))
	}
}

// Scenario: an engine leaves while the others are half full. A target in the
// same zone is chosen even if it could not hold the longest possible answer.
func TestTargetsArePlannedWithTheExpectedAnswer(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	far := roster.Endpoint{ID: "far", Address: "far", Service: "s", Zone: "b"}
	ha.Roster.Apply([]feed.Change[roster.Endpoint]{{Object: feed.Object[roster.Endpoint]{Name: "far", Value: &far}}})
	for _, id := range []string{"e2", "e3"} {
		for range 6 {
			ha.Tracker.Begin(ha.endpoint(id), placement.Demand{Engine: testEngine, Prompt: 3500, Output: 400}).Started()
		}
	}
	ru := ha.addRun("r1")
	ru.Output = 400
	ha.Roster.Leave("e1")
	ha.Evacuate(ha.endpoint("e1"))
	mv, moved := await(ru)
	g.Expect(moved).To(BeTrue())
	g.Expect(mv.Target.Zone).To(Equal("a"))
}

// Scenario: a leaving engine has more runs than can be copied in time. Runs
// with a standby copy are not moved, because they continue from it when the
// engine is gone. A run whose standby engine is also leaving is moved.
func TestRunsWithAStandbyStay(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	safe, lost := ha.addRun("safe"), ha.addRun("lost")
	safe.SetStandby("e2")
	lost.SetStandby("e3")
	ha.Roster.Leave("e3")
	ha.Roster.Leave("e1")
	ha.Evacuate(ha.endpoint("e1"))
	mv, moved := await(lost)
	g.Expect(moved).To(BeTrue())
	g.Expect(mv.Target.ID).To(Equal("e2"))
	for _, call := range ha.engines.calls() {
		g.Expect(call).To(HavePrefix("lost"))
	}
}

// Scenario: an engine that is chosen as a target rejects the copy for lack of
// room. The runs move to the other engine without asking the full one again.
func TestTargetWithoutRoomIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	full := ""
	ha := newHarness(nil)
	ha.engines.answer = func(run, target string, final bool) (Copied, error) {
		if full == "" {
			full = target
		}
		if target == full {
			return Copied{}, ErrNoRoom
		}
		return copySucceeds(run, target, final)
	}
	first, second := ha.addRun("r1"), ha.addRun("r2")
	ha.Roster.Leave("e1")
	ha.Evacuate(ha.endpoint("e1"))
	for _, ru := range []*Run{first, second} {
		mv, moved := await(ru)
		g.Expect(moved).To(BeTrue())
		g.Expect(mv.Target.ID).NotTo(Equal(full))
	}
	asked := 0
	for _, call := range ha.engines.calls() {
		if call[6:8] == full {
			asked++
		}
	}
	g.Expect(asked).To(Equal(1), "no copy of another run is sent to the full engine")
}

// If a final copy fails, the run continues at its engine. If it was already
// stopped, its engine resumes it from the memory that it still holds.
func TestLastCopyFails(t *testing.T) {
	for _, ca := range []struct {
		name  string
		co    Copied
		moved bool
	}{
		{"the run was not stopped", Copied{}, false},
		{"the run was stopped", Copied{Handle: "kept"}, true},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(func(run, target string, final bool) (Copied, error) {
				if final {
					return ca.co, ErrNoRoom
				}
				return copySucceeds(run, target, final)
			})
			ru := ha.addRun("r1")
			ev := &evacuation{source: ha.endpoint("e1"), notice: ha.Clock.Now(), attempts: map[*Run]int{}, full: map[string]bool{"e1": true}}
			g.Expect(ha.moveAll(context.Background(), ev, []candidate{ru.snapshot()})).To(BeTrue())
			mv, moved := ru.Await(context.Background())
			g.Expect(moved).To(Equal(ca.moved))
			if !moved {
				g.Eventually(ha.engines.freedHandles, "5s").Should(HaveLen(1), "the copy at the target is freed")
				g.Expect(ha.engines.freedHandles()[0]).To(HavePrefix("h-e"))
			}
			if moved {
				g.Expect(mv.Target.ID).To(Equal("e1"))
				g.Expect(mv.Handle).To(Equal("kept"))
			}
		})
	}
}

// A run that ends during its first copy is not stopped, and its copy is freed.
func TestUnusedCopiesAreFreed(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(nil)
	var ru *Run
	ha.engines.answer = func(run, target string, final bool) (Copied, error) {
		if final {
			return Copied{}, errors.New("unexpected final copy")
		}
		ru.end()
		return copySucceeds(run, target, final)
	}
	ru = ha.addRun("r1")
	ha.Roster.Leave("e1")
	ha.Evacuate(ha.endpoint("e1"))
	g.Eventually(ha.engines.freedHandles, "5s").Should(HaveLen(1))
	for _, call := range ha.engines.calls() {
		g.Expect(call).To(HaveSuffix("final=false"))
	}
	g.Expect(ha.Tracker.Loads()).To(BeEmpty())
}

// If the caller disconnects before its stream has taken up a completed move,
// the copy is freed.
func TestMovedRunWithoutCaller(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	ru := ha.addRun("r1")
	ru.Complete(Moved{From: ha.endpoint("e1"), Handle: "h1", Target: ha.endpoint("e2")})
	ha.Remove(ru)
	g.Eventually(ha.engines.freedHandles, "5s").Should(Equal([]string{"h1"}))
	_, moved := ru.Await(context.Background())
	g.Expect(moved).To(BeFalse())
}

// fakeMoveOrder reports a decreasing number of runs of other instances.
type fakeMoveOrder struct {
	mu        sync.Mutex
	ahead     int
	announced []int
}

func (fm *fakeMoveOrder) Announce(_ string, runs int) {
	fm.mu.Lock()
	defer fm.mu.Unlock()
	fm.announced = append(fm.announced, runs)
}

func (fm *fakeMoveOrder) Ahead(string) int {
	fm.mu.Lock()
	defer fm.mu.Unlock()
	fm.ahead = max(fm.ahead-1, 0)
	return fm.ahead
}

func (fm *fakeMoveOrder) announcements() []int {
	fm.mu.Lock()
	defer fm.mu.Unlock()
	return append([]int(nil), fm.announced...)
}

// Guards against copies of several instances being queued on the link of a
// leaving engine, which would prolong the pause of a stopped run: an instance
// waits while runs of instances that come first are still to be moved.
func TestOthersComeFirst(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	fm := &fakeMoveOrder{ahead: 4}
	ha.MoveOrder = fm
	ru := ha.addRun("r1")
	begun := ha.Clock.Now()
	ha.Roster.Leave("e1")
	ha.Evacuate(ha.endpoint("e1"))
	_, moved := await(ru)
	g.Expect(moved).To(BeTrue())
	g.Expect(ha.Clock.Since(begun)).To(BeNumerically(">=", announceDelay+3*turnPollInterval))
	ha.Remove(ru)
	g.Eventually(func() bool { return len(fm.announcements()) > 1 }, "5s").Should(BeTrue())
	g.Expect(fm.announcements()[0]).To(Equal(1), "the run is announced")
	g.Expect(fm.announcements()[1:]).To(HaveEach(0), "the run is no longer announced after its move")
}

func TestTurnsAreBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(maxTurnWait(0)).To(BeZero())
	g.Expect(maxTurnWait(3)).To(Equal(3 * maxMoveTime))
}

// A run whose stream is broken is stopped and continues elsewhere, although its
// engine does not leave.
func TestMoveOne(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(copySucceeds)
	ru, other := ha.addRun("r1"), ha.addRun("r2")
	g.Expect(ha.MoveOne(t.Context(), ru)).To(BeTrue())
	mv, moved := await(ru)
	g.Expect(moved).To(BeTrue())
	g.Expect(mv.From.ID).To(Equal("e1"))
	g.Expect(mv.Target.ID).NotTo(Equal("e1"))
	g.Expect(ha.engines.calls()).To(HaveLen(2), "one copy while the run goes on, and the final one")
	g.Expect(other.Known()).To(Equal(Running))
}

// finalCopyFails returns answers with which all copies but the final one succeed.
func finalCopyFails(err error) func(run, target string, final bool) (Copied, error) {
	return func(_, target string, final bool) (Copied, error) {
		if final {
			return Copied{}, err
		}
		return Copied{Handle: "h-" + target}, nil
	}
}

func TestMoveOneFails(t *testing.T) {
	for _, ca := range []struct {
		name   string
		answer func(run, target string, final bool) (Copied, error)
		known  Knowledge
	}{
		{"the run has ended", func(string, string, bool) (Copied, error) { return Copied{}, ErrNoRun }, Running},
		{"no engine has room", func(string, string, bool) (Copied, error) { return Copied{}, ErrNoRoom }, Running},
		{"the final copy does not stop the run", finalCopyFails(ErrBusy), Running},
		{"the answer to the final copy is lost", finalCopyFails(errors.New("lost")), Doubtful},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(ca.answer)
			ru := ha.addRun("r1")
			g.Expect(ha.MoveOne(t.Context(), ru)).To(BeFalse())
			g.Expect(ru.Known()).To(Equal(ca.known))
			g.Expect(ha.Tracker.Loads()).To(BeEmpty(), "the target's ticket is ended")
		})
	}
}
