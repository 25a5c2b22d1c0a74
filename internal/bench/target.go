package bench

// target is the deployment size that the design has to support. A daemon is one
// filbertstall process.
type target struct {
	daemons, replicas, accelerators float64
	requestsPerSecond               float64
	tokensPerSecond                 float64
	// tokensPerStream is the rate of one stream, in tokens per second, at the
	// target of 41 ms between tokens.
	tokensPerStream float64
	teams, models   float64
	regions, zones  float64
	changesPerDay   float64
}

// designTarget is the size expected in two years.
var designTarget = target{
	daemons: 340, replicas: 1200, accelerators: 4600, requestsPerSecond: 3800, tokensPerSecond: 1e6,
	tokensPerStream: 1 / 0.041, teams: 290, models: 5, regions: 4, zones: 8, changesPerDay: 1900,
}

// Resource limits for the control traffic of one daemon (cores, bytes of memory,
// bytes per second) and for the platform as a whole (operations per second,
// bytes of a value).
const (
	controlCores       = 0.011
	controlBytes       = 128e6
	controlBytesPerSec = 27e3
	platformReads      = 2000
	platformWrites     = 500
	platformValue      = 1 << 20
)

func (ta target) perDaemon(total float64) float64 { return total / ta.daemons }

// groups is the number of pairs of a zone and a model. Each pair has its own
// allocator.
func (ta target) groups() float64 { return ta.models * ta.zones }

// openStreams is the number of concurrently open streams in the whole deployment.
func (ta target) openStreams() float64 { return ta.tokensPerSecond / ta.tokensPerStream }
