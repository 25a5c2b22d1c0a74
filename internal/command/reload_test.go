package command

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	gw "filbertstall.example/filbertstall/internal/gateway"
)

// A reload that came while an instance was being built was dropped, and the change of
// its settings file with it.
func TestReloadBeforeTheStartIsAppliedLater(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "local.json")
	settings := `{"node": "edge-1", "ip": "10.0.0.1", "zone": "a", "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"}, "port_range": [7200, 7215], "platform": {"address": "10.0.0.9:82"}}`
	g.Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	reloads, applied, built := make(chan os.Signal, 1), make(chan gw.Settings), make(chan bool, 1)
	clock := clockwork.NewFakeClock()
	sw := &settingsWatch{path: path, modified: modTime(path), reloads: reloads, clock: clock, log: zerolog.Nop()}
	sw.apply = func(se gw.Settings) bool {
		applied <- se
		return <-built
	}
	go sw.run()
	reloads <- syscall.SIGHUP
	g.Eventually(applied).Should(Receive())
	built <- false
	g.Expect(clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	var se gw.Settings
	g.Eventually(func() bool {
		clock.Advance(settingsPollInterval)
		select {
		case se = <-applied:
			return true
		case <-time.After(time.Millisecond):
			return false
		}
	}).Should(BeTrue())
	built <- true
	g.Expect(se.Store).To(Equal("10.0.0.9:82"))
	clock.Advance(settingsPollInterval)
	g.Consistently(applied, "50ms").ShouldNot(Receive())
}
