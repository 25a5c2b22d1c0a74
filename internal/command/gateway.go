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

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	gw "filbertstall.example/filbertstall/internal/gateway"
	"filbertstall.example/filbertstall/platform"
)

// gateway is the command that runs an instance on the users' platform.
type gateway struct {
	output
	Settings string `long:"settings" value-name:"FILE" description:"The platform's settings file; its environment variable otherwise"`
}

const (
	// logBufferLines is the number of lines that are buffered while standard
	// output is slow.
	logBufferLines = 4096
	// logLinesPerSecond limits the rate of lines at level info, which include
	// those about requests.
	logLinesPerSecond = 400
)

// Execute implements flags.Commander. It logs to standard output without ever
// blocking on it. Lines that do not fit into the buffer are dropped and counted.
func (ga *gateway) Execute([]string) error {
	path := ga.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return commandError{err}
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
			Members: platform.Members(store), Registry: store, Rollouts: platform.Rollouts(store), StatusWriter: store,
			ConfigurationName: platform.ConfigurationName, DecodeConfiguration: platform.DecodeConfiguration, Codec: platform.Codec{}, IDHeader: platform.IDHeader, ReadyPath: platform.ReadyPath, Relocate: store.Relocate,
			Engines: func(ga *backpressure.Gate) gw.Engines { return platform.Engines{Gate: ga} },
		},
	}
	go watchSettings(ctx, path, in, log)
	if err := in.Run(ctx); err != nil {
		log.Error().Str("event", "failed").Err(err).Msg("gateway: instance failed; exiting")
		return commandError{err}
	}
	return nil
}

// settingsPollInterval is the interval at which the modification time of the
// settings file is checked. The file may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when their file changes. If the
// file cannot be loaded, the current settings stay in force.
func watchSettings(ctx context.Context, path string, in *gw.Gateway, log zerolog.Logger) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	ti := time.NewTicker(settingsPollInterval)
	defer ti.Stop()
	lastModified := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		case <-ti.C:
			if now := modTime(path); now.Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(path)
		settings, err := platform.LoadSettings(path)
		if err != nil {
			log.Error().Str("event", "reload_failed").Err(err).Msg("gateway: settings file cannot be loaded; keeping the current settings")
			continue
		}
		in.Reload(settings)
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

// newLog returns a logger that never blocks, and a function that closes it.
func newLog(ou output, instance string) (zerolog.Logger, func()) {
	var log zerolog.Logger
	writer := diode.NewWriter(ou.out, logBufferLines, 0, func(missed int) {
		log.Warn().Str("event", "log_dropped").Int("lines", missed).Msg("log: buffer full; lines dropped")
	})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log = zerolog.New(writer).With().Timestamp().Str("instance", instance).Logger().
		Sample(&zerolog.LevelSampler{InfoSampler: &zerolog.BurstSampler{Burst: logLinesPerSecond, Period: time.Second}})
	return log, func() { _ = writer.Close() }
}
