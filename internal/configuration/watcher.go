package configuration

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/platform"
)

const (
	// minBackoff and maxBackoff bound the back-off after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// electionCheckInterval is how often an instance that is not elected checks
	// whether it has been elected.
	electionCheckInterval = time.Second
	// pollInterval is how often an elected instance reads the head. It limits
	// the time until a platform that was restored from an old backup is
	// detected: the watch does not report it, because the revisions are lower
	// than those that it waits for.
	pollInterval = 5 * time.Second
)

// Watcher is the controller that reads new versions of the configuration from
// the platform. Set the fields before Run.
type Watcher struct {
	Store platform.Store
	State *State
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Elected reports whether this instance watches the platform for its zone.
	// Nil means that it always does.
	Elected func() bool

	revision          atomic.Int64
	headObjectVersion atomic.Int64
}

// Name implements controller.Controller.
func (wa *Watcher) Name() string { return "configuration" }

// Run watches and polls the platform until ctx ends.
func (wa *Watcher) Run(ctx context.Context) error {
	gr, ctx := errgroup.WithContext(ctx)
	gr.Go(func() error { return wa.loop(ctx, wa.watch, 0) })
	gr.Go(func() error { return wa.loop(ctx, wa.poll, pollInterval) })
	return gr.Wait()
}

// loop calls step at the given interval while this instance is elected. After
// a failure it waits for an exponential back-off instead.
func (wa *Watcher) loop(ctx context.Context, step func(context.Context) error, interval time.Duration) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if wa.Elected != nil && !wa.Elected() {
			sleep(ctx, wa.Clock, electionCheckInterval)
			continue
		}
		if err := step(ctx); err != nil {
			wa.Log.Warn().Err(err).Msg("configuration: cannot follow the platform; retrying after a back-off")
			sleep(ctx, wa.Clock, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		wa.State.RecordPlatformAnswer(wa.Clock.Now())
		backoff = minBackoff
		sleep(ctx, wa.Clock, interval)
	}
	return nil
}

func sleep(ctx context.Context, clock clockwork.Clock, du time.Duration) {
	if du <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-clock.After(du):
	}
}

func (wa *Watcher) watch(ctx context.Context) error {
	revision := wa.revision.Load()
	li, err := wa.listOrWatch(ctx, revision)
	if err != nil {
		return err
	}
	for _, ob := range li.Objects {
		if ob.Key == HeadKey && !ob.Deleted {
			if err := wa.apply(ctx, ob); err != nil {
				return err
			}
		}
	}
	wa.revision.CompareAndSwap(revision, li.Revision)
	return nil
}

func (wa *Watcher) listOrWatch(ctx context.Context, revision int64) (platform.Listing, error) {
	if revision == 0 {
		return wa.Store.List(ctx, HeadKey)
	}
	return wa.Store.Watch(ctx, HeadKey, revision)
}

// poll reads the head. If its version is lower than the one in force, or if
// there is no head, poll writes the bundle in force to the platform.
func (wa *Watcher) poll(ctx context.Context) error {
	ob, err := wa.Store.Get(ctx, HeadKey)
	if platform.IsKind(err, platform.NotFound) {
		return wa.repair(ctx, platform.Object{})
	}
	if err != nil {
		return err
	}
	// A lower object version means that the platform has been restored from an
	// old backup. The next watch then starts with a new listing.
	if wa.headObjectVersion.Swap(ob.Version) > ob.Version {
		wa.revision.Store(0)
	}
	return wa.apply(ctx, ob)
}

func (wa *Watcher) apply(ctx context.Context, ob platform.Object) error {
	bu, err := readBundle(ctx, wa.Store, ob.Value, wa.State.Bundle())
	var er *platform.Error
	if errors.As(err, &er) && er.Kind != platform.NotFound {
		return err
	}
	if err != nil {
		wa.Log.Error().Err(err).Msg("configuration: cannot load the version in the platform; keeping the one in force")
		return nil
	}
	wa.State.Apply(bu, FromPlatform)
	if bu.Head.Version < wa.State.Version() {
		return wa.repair(ctx, ob)
	}
	return nil
}

// repair overwrites an older or missing head with the bundle in force, so that
// an accepted configuration is not lost when the platform is restored from an
// old backup.
func (wa *Watcher) repair(ctx context.Context, old platform.Object) error {
	bu := wa.State.Bundle()
	if bu == nil {
		return nil
	}
	_, err := PublishBundle(ctx, wa.Store, old.Version, bu, nil)
	if IsKind(err, Conflict) {
		return nil
	}
	if err == nil {
		wa.State.count(Repaired)
		wa.Log.Warn().Int64("version", bu.Head.Version).Msg("configuration: platform had an older version or none; wrote the version in force")
	}
	return err
}
