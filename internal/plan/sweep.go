package plan

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/platform"
)

const (
	// sweepInterval is the time between two sweeps. A shard is removed only if it
	// was unreferenced at two consecutive sweeps and not written in between,
	// because a publisher writes the shards before the head that references them.
	// The interval is much longer than a publisher takes for this.
	sweepInterval = 10 * time.Minute
	// planRetention is how long plans in a terminal state are kept.
	planRetention = 30 * 24 * time.Hour
)

// Sweeper is the garbage collector of the platform's objects: a controller that
// removes unreferenced shards and expired plans. Set the fields before Run.
type Sweeper struct {
	*Service
	// Elected reports whether this instance is the one that sweeps.
	Elected func() bool

	// unreferenced maps the key of each shard that the last sweep found
	// unreferenced to the version of its object.
	unreferenced map[string]int64
}

// Name implements controller.Controller.
func (sw *Sweeper) Name() string { return "sweep" }

// Run sweeps at every sweepInterval at which Elected reports true, until ctx
// ends. It always returns nil.
func (sw *Sweeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-sw.Clock.After(sweepInterval):
		}
		if !sw.Elected() {
			sw.unreferenced = nil
			continue
		}
		if err := sw.Sweep(ctx); err != nil {
			sw.Log.Warn().Err(err).Msg("plan: sweep failed; it will be retried after the sweep interval")
		}
	}
	return nil
}

// Sweep removes the shards that were unreferenced at the last sweep, still are,
// and have not been written since. The head references its shards, and a plan
// that is not in a terminal state references those of its base version. Sweep
// also removes the plans that ended more than planRetention ago. It returns an
// error and removes nothing if this instance is not settled, or if the platform
// cannot be read or shows an older configuration than the one in force.
func (sw *Sweeper) Sweep(ctx context.Context) error {
	shards, err := sw.Store.List(ctx, configuration.ShardPrefix)
	if err != nil {
		return err
	}
	plans, err := sw.Store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	bu, _, err := sw.readHead(ctx, "sweep", "")
	if err != nil {
		return err
	}
	referenced := slices.Clone(bu.Head.Shards)
	for _, ob := range plans.Objects {
		var pl Plan
		if err := json.Unmarshal(ob.Value, &pl); err != nil {
			continue
		}
		if !pl.State.Terminal() {
			referenced = append(referenced, pl.Base.Shards...)
		} else if sw.Clock.Since(pl.Ended) > planRetention {
			sw.remove(ctx, ob, SweptPlan)
		}
	}
	sw.sweepShards(ctx, shards.Objects, referenced)
	return nil
}

func (sw *Sweeper) sweepShards(ctx context.Context, shards []platform.Object, referenced []string) {
	unreferenced := make(map[string]int64)
	for _, ob := range shards {
		if slices.Contains(referenced, strings.TrimPrefix(ob.Key, configuration.ShardPrefix)) {
			continue
		}
		if sw.unreferenced[ob.Key] == ob.Version {
			sw.remove(ctx, ob, SweptShard)
			continue
		}
		unreferenced[ob.Key] = ob.Version
	}
	sw.unreferenced = unreferenced
}

// remove deletes an object if it has not been written since it was read. It
// ignores errors, since a later sweep finds the object again.
func (sw *Sweeper) remove(ctx context.Context, ob platform.Object, re Reason) {
	if err := sw.Store.Delete(ctx, ob.Key, ob.Version); err == nil {
		sw.count(re)
	}
}
