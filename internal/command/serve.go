package command

import (
	"context"
	"encoding/json"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/daemon"
	"filbertstall.example/filbertstall/internal/setting"
)

// serve is the command that runs an entry instance.
type serve struct {
	output
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"The settings file"`
}

// Execute implements flags.Commander. It prints a daemon.Report as one JSON line to
// standard output when the instance listens, and logs to standard error.
func (se *serve) Execute([]string) error {
	settings, err := setting.Load(se.Settings)
	if err != nil {
		return commandError{err}
	}
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		return commandError{err}
	}
	log := zerolog.New(se.err).Level(level).With().Timestamp().Str("instance", settings.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	da := &daemon.Daemon{
		Settings: settings, Log: log, Clock: clockwork.NewRealClock(),
		Ready: func(re daemon.Report) { _ = json.NewEncoder(se.out).Encode(re) },
	}
	if err := da.Run(ctx); err != nil {
		return commandError{err}
	}
	return nil
}
