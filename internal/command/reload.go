package command

import (
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	gw "filbertstall.example/filbertstall/internal/gateway"
	"filbertstall.example/filbertstall/platform"
)

// settingsPollInterval is the interval at which the modification time of the
// settings file is checked. The file may change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsWatch reloads the settings of a gateway on SIGHUP and when their file
// changes. Set the fields before run.
type settingsWatch struct {
	path string
	// modified is the modification time of the file before it was loaded first.
	modified time.Time
	reloads  <-chan os.Signal
	// apply returns false if the gateway cannot apply settings yet.
	apply func(gw.Settings) bool
	clock clockwork.Clock
	log   zerolog.Logger
}

// run reloads settings as long as the process runs, also in a graceful shutdown. A
// reload that cannot be applied yet is tried again at the next poll. If the file
// cannot be loaded, the current settings stay in force.
func (sw *settingsWatch) run() {
	ti := sw.clock.NewTicker(settingsPollInterval)
	defer ti.Stop()
	pending := false
	for {
		select {
		case <-sw.reloads:
			pending = true
		case <-ti.Chan():
		}
		now := modTime(sw.path)
		if !pending && now.Equal(sw.modified) {
			continue
		}
		sw.modified = now
		settings, err := platform.LoadSettings(sw.path)
		if err != nil {
			sw.log.Error().Str("event", "reload_failed").Err(err).Msg("gateway: settings file cannot be loaded; keeping the current settings")
			pending = false
			continue
		}
		pending = !sw.apply(settings)
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be
// read.
func modTime(path string) time.Time {
	info, err := os.Stat(path) //nolint:gosec // the operator names the file
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
