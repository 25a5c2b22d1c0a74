package healthcheck

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// probeInterval is the time between two rounds. It is short because an engine
	// shuts down 1.5 s after its notice.
	probeInterval = 250 * time.Millisecond
	// roundsPerReport is the number of rounds for each one in which engines are asked
	// for their report even if they are healthy: a health check may be false.
	roundsPerReport = 4
	// probeTimeout is the timeout of one round of probes.
	probeTimeout = 400 * time.Millisecond
	// maxConcurrentProbes limits the in-flight probes of one round.
	maxConcurrentProbes = 32
)

// Engines sends probes to engines.
type Engines interface {
	// Healthy asks an engine for its health, which it denies as soon as it is about to
	// shut down, and at other times. An error means that it did not answer, or takes no
	// health check now.
	Healthy(ctx context.Context, en roster.Endpoint, path string) (bool, error)
	// Leaving asks an engine whether it is about to shut down. What it answers is up to
	// half a second old. An error means that the engine did not answer.
	Leaving(ctx context.Context, en roster.Endpoint) (bool, error)
}

// Checker probes engines. Set the fields before Run.
type Checker struct {
	Engines Engines
	// Runs returns the engines that serve runs of this instance. A run is one
	// stream at an engine.
	Runs func() []roster.Endpoint
	// StoreStale reports whether the view of the store is stale.
	StoreStale func() bool
	// Path returns the path of the health check of a service's endpoints. An empty path
	// means that they have none.
	Path func(service string) string
	// Leave is called with the ID of an engine that is about to shut down, and Evacuate
	// with one that denies its health and may be. Calls may be concurrent.
	Leave    func(id string)
	Evacuate func(en roster.Endpoint)
	Clock    clockwork.Clock
	Log      zerolog.Logger

	probing bool
	rounds  int

	mu sync.Mutex
	// unhealthy has the engines that denied their health at the last probe, by ID.
	unhealthy map[string]bool
}

// Name implements controller.Controller.
func (*Checker) Name() string { return "healthcheck" }

// Run probes the engines at probeInterval until ctx ends.
func (ch *Checker) Run(ctx context.Context) error {
	ti := ch.Clock.NewTicker(probeInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
		}
		ch.probeAll(ctx)
	}
}

// probeAll probes each engine once if the view of the store is stale. Engines
// that are known to be leaving are skipped.
func (ch *Checker) probeAll(ctx context.Context) {
	stale := ch.StoreStale()
	if stale != ch.probing {
		ch.probing = stale
		ch.Log.Info().Str("event", "engines_asked").Bool("asking", stale).Msg("healthcheck: engines are probed only while the view of the store is stale")
	}
	if !stale {
		ch.unhealthy = nil
		return
	}
	ch.rounds++
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	eg, ctx := errgroup.WithContext(ctx)
	eg.SetLimit(maxConcurrentProbes)
	for _, en := range ch.Runs() {
		if en.Leaving {
			continue
		}
		eg.Go(func() error {
			ch.probe(ctx, en)
			return nil
		})
	}
	_ = eg.Wait() // the functions return no errors
}

// probe probes one engine. A missing answer does not mean that the engine is
// about to shut down, because the network path may be interrupted.
func (ch *Checker) probe(ctx context.Context, en roster.Endpoint) {
	if ch.isHealthy(ctx, en) && ch.rounds%roundsPerReport != 0 {
		return
	}
	leaving, err := ch.Engines.Leaving(ctx, en)
	if err != nil {
		ch.Log.Debug().Str("event", "engine_silent").Str("endpoint", en.ID).Err(err).Msg("healthcheck: engine did not answer the probe; its state is left unchanged")
		return
	}
	if leaving {
		ch.Log.Info().Str("event", "engine_leaves").Str("endpoint", en.ID).Msg("healthcheck: engine reports that it is about to shut down")
		ch.Leave(en.ID)
	}
}

// isHealthy reports whether an engine says that it is healthy. The runs of one that begins
// to deny it are moved off before its report can tell whether it is about to shut down.
func (ch *Checker) isHealthy(ctx context.Context, en roster.Endpoint) bool {
	path := ch.Path(en.Service)
	if path == "" {
		return false
	}
	healthy, err := ch.Engines.Healthy(ctx, en, path)
	if err != nil {
		return false
	}
	if ch.setHealth(en.ID, healthy) && !healthy {
		ch.Log.Info().Str("event", "engine_unhealthy").Str("endpoint", en.ID).Msg("healthcheck: engine denies its health; moving its runs away")
		ch.Evacuate(en)
	}
	return healthy
}

// setHealth records the health of an engine and reports whether it has changed.
func (ch *Checker) setHealth(id string, healthy bool) bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.unhealthy[id] != healthy {
		return false
	}
	if ch.unhealthy == nil {
		ch.unhealthy = make(map[string]bool)
	}
	ch.unhealthy[id] = !healthy
	return true
}
