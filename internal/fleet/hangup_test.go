package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/fleet"
	"filbertstall.example/filbertstall/pkg/client"
)

const streamedTokens = 60

// stream reads one generation from an instance and returns its number of events. It
// closes begun after the first event.
func stream(ctx context.Context, entry string, begun chan<- struct{}) (events int, err error) {
	cl := &client.Client{Token: fleet.CallerToken, Entries: []string{entry}}
	st := cl.Generate(ctx, client.Generation{Path: "/v1/completions", Body: fmt.Appendf(nil, `{"model":"filbert","prompt":"p","stream":true,"max_tokens":%d}`, streamedTokens)})
	defer st.Close()
	for {
		_, err := st.Next()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		if events++; events == 1 {
			close(begun)
		}
	}
}

// An entry instance, an engine, a service or the platform's stand-in was ended by
// SIGHUP, with all that was in flight, while serving and in a graceful shutdown.
func TestHangupDoesNotEndAProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	g := NewWithT(t)
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/...").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	fl, err := fleet.Start(t.Context(), fleet.Options{Bin: bin, Dir: t.TempDir(), Entries: 1, EngineArgs: []string{"--step-base", "20ms"}})
	g.Expect(err).NotTo(HaveOccurred())
	entry := fl.Report.Entries[0]
	pids := []int{entry.PID, fl.Report.Platform.PID}
	for _, en := range fl.Report.Endpoints {
		pids = append(pids, en.PID)
	}
	begun, ended := make(chan struct{}), make(chan error, 1)
	events := 0
	go func() {
		var err error
		events, err = stream(t.Context(), entry.Caller, begun)
		ended <- err
	}()
	g.Eventually(begun, "10s").Should(BeClosed())
	hangUp := func() {
		for _, pid := range pids {
			g.Expect(syscall.Kill(pid, syscall.SIGHUP)).To(Succeed())
		}
	}
	hangUp()
	g.Expect(syscall.Kill(entry.PID, syscall.SIGTERM)).To(Succeed())
	time.Sleep(100 * time.Millisecond)
	hangUp()
	g.Eventually(ended, "10s").Should(Receive(BeNil()))
	g.Expect(events).To(BeNumerically(">=", streamedTokens))
	g.Expect(fl.Stop()).To(Succeed(), "every process ends by itself, with exit code 0")
}
