package command

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	gw "filbertstall.example/filbertstall/internal/gateway"
	"filbertstall.example/filbertstall/internal/process"
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
	stop, reloads := process.Listen()
	path := ga.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	modified := modTime(path)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return commandError{err}
	}
	if limit := settings.HeapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	log, closeLog := newLog(ga.output, settings.Instance)
	defer closeLog()
	clock := clockwork.NewRealClock()
	store := platform.NewStore(settings.Store)
	store.Memory = settings.StoreMemory()
	in := &gw.Gateway{
		Settings: settings, Clock: clock, Boot: boottime.System{}, Log: log,
		Adapter: gw.Adapter{
			Endpoints: platform.Endpoints(store), Configurations: platform.Configurations(store), Evacuations: platform.Evacuations(store),
			Members: platform.Members(store), Registry: store, Rollouts: platform.Rollouts(store), StatusWriter: store,
			ConfigurationName: platform.ConfigurationName, DecodeConfiguration: platform.DecodeConfiguration, Codec: platform.Codec{}, IDHeader: platform.IDHeader, ReadyPath: platform.ReadyPath, Relocate: store.Relocate,
			Engines: func(ga *backpressure.Gate) gw.Engines { return platform.Engines{Gate: ga} },
		},
	}
	watch := &settingsWatch{path: path, modified: modified, reloads: reloads, apply: in.Reload, clock: clock, log: log}
	go watch.run()
	if err := in.Run(stop); err != nil {
		log.Error().Str("event", "failed").Err(err).Msg("gateway: instance failed; exiting")
		return commandError{err}
	}
	return nil
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
