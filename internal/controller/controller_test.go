package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scripted is a controller that makes its steps in order, one for each Run, and then
// waits for the end of the context.
type scripted struct {
	steps []func() error
	runs  chan struct{}
}

func (*scripted) Name() string { return "scripted" }

func (sc *scripted) Run(ctx context.Context) error {
	sc.runs <- struct{}{}
	if len(sc.steps) > 0 {
		step := sc.steps[0]
		sc.steps = sc.steps[1:]
		return step()
	}
	<-ctx.Done()
	return ctx.Err()
}

// One unexpected value made a controller panic, which took the whole process down.
func TestPanicRestartsOneController(t *testing.T) {
	g := NewWithT(t)
	sc := &scripted{steps: []func() error{func() error { panic("malformed") }}, runs: make(chan struct{}, 9)}
	other := &scripted{runs: make(chan struct{}, 9)}
	var panicked string
	gr := Group{Controllers: []Controller{sc, other}, OnPanic: func(name string, cause any) { panicked = name + ": " + cause.(string) }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- gr.Run(ctx) }()
	g.Eventually(sc.runs, 4*restartDelay).Should(HaveLen(2))
	g.Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
	cancel()
	g.Eventually(done, "5s").Should(Receive(BeNil()))
	g.Expect(panicked).To(Equal("scripted: malformed"))
	g.Expect(other.runs).To(HaveLen(1))
}

func TestErrorStopsTheGroup(t *testing.T) {
	g := NewWithT(t)
	failure := errors.New("port in use")
	sc := &scripted{steps: []func() error{func() error { return failure }}, runs: make(chan struct{}, 9)}
	gr := Group{Controllers: []Controller{sc, &scripted{runs: make(chan struct{}, 9)}}}
	g.Expect(gr.Run(t.Context())).To(MatchError(failure))
}
