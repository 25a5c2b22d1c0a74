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
			Members: platform.Members(store), Registry: store,
			ConfigurationName: platform.ConfigurationName, DecodeConfiguration: platform.DecodeConfiguration, Codec: platform.Codec{}, IDHeader: platform.IDHeader, ReadyPath: platform.ReadyPath, Relocate: store.Relocate,
			Engines: func(se dispatch.Sender) gw.Engines { return platform.Engines{Sender: se} },
		},
	}
	go watchSettings(ctx, path, in, log)
	if err := in.Run(ctx); err != nil {
		log.Error().Str("event", "failed").Err(err).Msg("gateway: failed")
		return fault{err}
	}
	return nil
}

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when their file changes. A
// file that can't be read changes nothing.
func watchSettings(ctx context.Context, path string, in *gw.Gateway, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ti := time.NewTicker(settingsInterval)
	defer ti.Stop()
	changed := changeTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ti.C:
			if now := changeTime(path); now.Equal(changed) {
				continue
			}
		}
		changed = changeTime(path)
		settings, err := platform.LoadSettings(path)
		if err != nil {
			log.Error().Str("event", "reload_failed").Err(err).Msg("gateway: the old settings stay in force")
			continue
		}
		in.Reload(settings)
	}
}

// changeTime returns when a file last changed, or the zero time.
func changeTime(path string) time.Time {
	info, err := os.Stat(path) //nolint:gosec // the operator names the file
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
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
