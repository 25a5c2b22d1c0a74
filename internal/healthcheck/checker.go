package healthcheck

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// probeInterval is the time between two rounds. It is short because an engine
	// shuts down 1.5 s after its notice, and because its answer to a probe is up to
	// half a second old.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is the timeout of one round of probes.
	probeTimeout = 400 * time.Millisecond
	// maxConcurrentProbes limits the in-flight probes of one round.
	maxConcurrentProbes = 32
)

// Engines sends probes to engines.
type Engines interface {
	// Leaving asks an engine whether it is about to shut down. An error means
	// that the engine did not answer.
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
	// Leave is called with the ID of an engine that is about to shut down. Calls
	// may be concurrent.
	Leave func(id string)
	Clock clockwork.Clock
	Log   zerolog.Logger

	probing bool
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
		return
	}
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
