package inquiry

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

	"filbertstall.example/filbertstall/internal/loadshare"
)

// fleet has the instances that an inquiry asks. Those that are neither informed nor new
// are silent.
type fleet struct {
	mu                sync.Mutex
	informed, isNew   map[string]bool
	refusing, isNewer bool
	asked             []string
}

func (fl *fleet) ask(ctx context.Context, me loadshare.Member) (bool, error) {
	fl.mu.Lock()
	fl.asked = append(fl.asked, me.Name)
	informed, isNew, refusing := fl.informed[me.Name], fl.isNew[me.Name], fl.refusing
	fl.mu.Unlock()
	switch {
	case informed, isNew:
		return informed, nil
	case refusing:
		return false, errors.New("connection refused")
	default:
		<-ctx.Done()
		return false, ctx.Err()
	}
}

func (fl *fleet) setNewer(isNewer bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.isNewer = isNewer
}

func (fl *fleet) outdated() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.isNewer
}

func (fl *fleet) countAsked() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return len(fl.asked)
}

func namesOf(first, after int) map[string]bool {
	names := make(map[string]bool)
	for ix := first; ix < after; ix++ {
		names[fmt.Sprint("i", ix)] = true
	}
	return names
}

func membersOf(names map[string]bool) []loadshare.Member {
	members := []loadshare.Member{{Name: "i0"}}
	for name := range names {
		members = append(members, loadshare.Member{Name: name})
	}
	return members
}

// start runs the inquiry of instance i0.
func (fl *fleet) start(t *testing.T, members []loadshare.Member, clock clockwork.Clock) *Inquiry {
	t.Helper()
	registered := make(chan struct{})
	close(registered)
	in := &Inquiry{
		Self: "i0", Members: func() []loadshare.Member { return members }, Registered: registered, Ask: fl.ask, Outdated: fl.outdated, Clock: clock, Log: zerolog.Nop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = in.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return in
}

// The clock stands still: no answer is waited for by time.
func TestInquiryEndsAtOnce(t *testing.T) {
	for _, ca := range []struct {
		name             string
		size             int
		fl               *fleet
		fewest, mostAsks int
	}{
		{"two instances know something", 9, &fleet{informed: namesOf(1, 9)}, enoughAnswers, firstAsked},
		{"there is one other instance", 2, &fleet{informed: namesOf(1, 2)}, 1, 1},
		{"there is none", 1, &fleet{}, 0, 0},
		{"all others are absent", 40, &fleet{refusing: true}, maxAsked, maxAsked},
		{"all others have just started, too", 40, &fleet{isNew: namesOf(1, 40)}, maxAsked, maxAsked},
		{"most others have just started", 8, &fleet{isNew: namesOf(1, 6), informed: namesOf(6, 8)}, enoughAnswers, 7},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			in := ca.fl.start(t, membersOf(namesOf(1, ca.size)), clockwork.NewFakeClock())
			g.Eventually(in.Ended, "5s").Should(BeTrue())
			g.Expect(ca.fl.countAsked()).To(And(BeNumerically(">=", ca.fewest), BeNumerically("<=", ca.mostAsks)))
		})
	}
}

// Silent instances do not hold up a start for longer than maxTime, and others are asked
// meanwhile.
func TestSilentInstancesAreNotAwaited(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	fl := &fleet{}
	in := fl.start(t, membersOf(namesOf(1, 40)), clock)
	g.Eventually(fl.countAsked, "5s").Should(Equal(firstAsked))
	for passed := hedgeInterval; passed < maxTime; passed += hedgeInterval {
		g.Expect(clock.BlockUntilContext(t.Context(), 3)).To(Succeed())
		g.Expect(in.Ended()).To(BeFalse())
		before := fl.countAsked()
		clock.Advance(hedgeInterval)
		g.Eventually(fl.countAsked, "5s").Should(Equal(before + 1))
	}
	clock.Advance(hedgeInterval)
	g.Eventually(in.Ended, "5s").Should(BeTrue())
}

// An instance that has been told of a newer configuration does not serve without it,
// until maxOutdatedTime.
func TestNewerConfigurationIsAwaited(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		t.Run(fmt.Sprint("arrives: ", arrives), func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			fl := &fleet{informed: namesOf(1, 4), isNewer: true}
			in := fl.start(t, membersOf(namesOf(1, 4)), clock)
			for passed := time.Duration(0); passed < maxOutdatedTime/2; passed += outdatedInterval {
				g.Expect(clock.BlockUntilContext(t.Context(), 2)).To(Succeed())
				g.Expect(in.Ended()).To(BeFalse())
				clock.Advance(outdatedInterval)
			}
			if arrives {
				fl.setNewer(false)
			}
			begun := clock.Now()
			g.Eventually(func() bool {
				clock.Advance(outdatedInterval)
				return in.Ended()
			}, "5s", "1ms").Should(BeTrue())
			g.Expect(arrives || clock.Since(begun) >= maxOutdatedTime/2).To(BeTrue())
		})
	}
}

// A thousand instances that start together ask each other a few times each.
func TestStartOfManyInstances(t *testing.T) {
	g := NewWithT(t)
	const size = 1000
	asked, names := make(map[string]int), namesOf(1, size)
	members := membersOf(names)
	for range size {
		fl := &fleet{isNew: names}
		in := fl.start(t, members, clockwork.NewFakeClock())
		g.Eventually(in.Ended, "5s", "100us").Should(BeTrue())
		for _, name := range fl.asked {
			asked[name]++
		}
	}
	for name, count := range asked {
		g.Expect(count).To(BeNumerically("<", 4*maxAsked), name)
	}
}
