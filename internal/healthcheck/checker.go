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
	// interval is the pause between two rounds: an engine goes 1.5 s after its
	// notice, and what it says of itself is half a second old.
	interval = 250 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 400 * time.Millisecond
	// maxAsked bounds the questions of one round that are open at once.
	maxAsked = 32
)

// Engines answers for engines.
type Engines interface {
	// Leaving asks an engine whether it is about to leave.
	Leaving(ctx context.Context, en roster.Endpoint) (bool, error)
}

// Checker asks engines. Set the fields before Run.
type Checker struct {
	Engines Engines
	// Runs returns the engines at which this instance has runs.
	Runs func() []roster.Endpoint
	// Stale tells whether what is known of the store is old.
	Stale func() bool
	// Leave takes in that an engine leaves.
	Leave func(id string)
	Clock clockwork.Clock
	Log   zerolog.Logger

	asking bool
}

// Name implements controller.Controller.
func (*Checker) Name() string { return "healthcheck" }

// Run implements controller.Controller.
func (ch *Checker) Run(ctx context.Context) error {
	ti := ch.Clock.NewTicker(interval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
		}
		ch.round(ctx)
	}
}

// round asks each engine once, if the store can't tell.
func (ch *Checker) round(ctx context.Context) {
	stale := ch.Stale()
	if stale != ch.asking {
		ch.asking = stale
		ch.Log.Info().Str("event", "engines_asked").Bool("asking", stale).Msg("healthcheck: engines are asked while the store can't tell")
	}
	if !stale {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	eg, ctx := errgroup.WithContext(ctx)
	eg.SetLimit(maxAsked)
	for _, en := range ch.Runs() {
		if en.Leaving {
			continue
		}
		eg.Go(func() error {
			ch.ask(ctx, en)
			return nil
		})
	}
	_ = eg.Wait() // no question fails the round
}

// ask asks one engine. No answer proves nothing: the way may be cut.
func (ch *Checker) ask(ctx context.Context, en roster.Endpoint) {
	leaving, err := ch.Engines.Leaving(ctx, en)
	if err != nil {
		ch.Log.Debug().Str("event", "engine_silent").Str("endpoint", en.ID).Err(err).Msg("healthcheck: no answer")
		return
	}
	if leaving {
		ch.Log.Info().Str("event", "engine_leaves").Str("endpoint", en.ID).Msg("healthcheck: the engine says that it leaves")
		ch.Leave(en.ID)
	}
}
