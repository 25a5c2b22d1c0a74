package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/dispatch"
	gw "filbertstall.example/filbertstall/internal/gateway"
	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/platform"
)

// gateway runs an instance on the users' platform.
type gateway struct {
	output
	Settings string `long:"settings" value-name:"FILE" description:"The platform's settings file; its environment variable otherwise"`
}

const (
	// logLines is how many lines wait for a slow standard output.
	logLines = 4096
	// logLinesPerSecond bounds the lines about requests.
	logLinesPerSecond = 400
)

// Execute implements flags.Commander. It logs to standard output, and never
// waits for it: lines that find no room are counted and dropped.
func (ga *gateway) Execute([]string) error {
	path := ga.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return fault{err}
	}
	log, closeLog := newLog(ga.output, settings.Instance)
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store := platform.NewStore(settings.Store)
	in := &gw.Gateway{
		Settings: settings, Clock: clockwork.NewRealClock(), Boot: boottime.System{}, Log: log,
		Adapter: gw.Adapter{
			Endpoints: platform.Endpoints(store), Configurations: platform.Configurations(store), Evacuations: platform.Evacuations(store),
			ConfigurationName: platform.ConfigurationName, Codec: platform.Codec{}, IDHeader: platform.IDHeader, ReadyPath: platform.ReadyPath,
			Engines: func(se dispatch.Sender) migration.Engines { return platform.Engines{Sender: se} },
		},
	}
	if err := in.Run(ctx); err != nil {
		log.Error().Str("event", "failed").Err(err).Msg("gateway: failed")
		return fault{err}
	}
	return nil
}

// newLog returns a log that never blocks.
func newLog(ou output, instance string) (zerolog.Logger, func()) {
	var log zerolog.Logger
	writer := diode.NewWriter(ou.out, logLines, 0, func(missed int) {
		log.Warn().Str("event", "log_dropped").Int("lines", missed).Msg("log: lines dropped")
	})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log = zerolog.New(writer).With().Timestamp().Str("instance", instance).Logger().
		Sample(&zerolog.LevelSampler{InfoSampler: &zerolog.BurstSampler{Burst: logLinesPerSecond, Period: time.Second}})
	return log, func() { _ = writer.Close() }
}
