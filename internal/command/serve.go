package command

import (
	"encoding/json"
	"os"
	"runtime/debug"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/daemon"
	"filbertstall.example/filbertstall/internal/process"
	"filbertstall.example/filbertstall/internal/setting"
)

// serve is the command that runs an entry instance.
type serve struct {
	output
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"The settings file"`
}

// Execute implements flags.Commander. It prints a daemon.Report as one JSON line to
// standard output when the instance listens, and logs to standard error. SIGHUP has no
// effect in any state of the instance.
func (se *serve) Execute([]string) error {
	stop, reloads := process.Listen()
	settings, err := setting.Load(se.Settings)
	if err != nil {
		return commandError{err}
	}
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		return commandError{err}
	}
	if limit := settings.Limits.HeapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	log := zerolog.New(se.err).Level(level).With().Timestamp().Str("instance", settings.Name).Logger()
	go logReloads(reloads, log)
	da := &daemon.Daemon{
		Settings: settings, Log: log, Clock: clockwork.NewRealClock(),
		Ready: func(re daemon.Report) { _ = json.NewEncoder(se.out).Encode(re) },
	}
	if err := da.Run(stop); err != nil {
		return commandError{err}
	}
	return nil
}

// logReloads answers each request for a reload with a log line. An instance reads its
// settings file only at the start; certificates are reloaded when their files change.
func logReloads(reloads <-chan os.Signal, log zerolog.Logger) {
	for range reloads {
		log.Info().Msg("serve: SIGHUP has no effect; the settings file is read at the start, certificates when their files change")
	}
}
