package allocation

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/lease"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/pkg/kind"
)

const (
	// leaseInterval is the time between two reads of the leases and members.
	leaseInterval = time.Second
	// tickInterval is the time between two checks of a holder for expired
	// requests and for decisions that are due.
	tickInterval = 25 * time.Millisecond
	// pollInterval is the time between two load polls of a holder.
	pollInterval = 250 * time.Millisecond
	// disconnectedPollInterval is the time between two load polls of an
	// instance that cannot reach the holder.
	disconnectedPollInterval = time.Second
	// probeInterval is the time between two probes of a holder that does not
	// answer.
	probeInterval = 500 * time.Millisecond
	// viewConfirmInterval is the time between two comparisons of an
	// unconfirmed member view with the other members.
	viewConfirmInterval = 2 * time.Second
	// messageTimeout limits calls to other instances that return without
	// waiting for a decision.
	messageTimeout = 500 * time.Millisecond
	// takeoverStagger spreads the leases over the instances of a zone. After
	// its start, an instance waits this long for each candidate that precedes
	// it in the lease's rendezvous order before it tries to take the lease.
	takeoverStagger = time.Second
)

// Name implements controller.Controller.
func (gt *Granter) Name() string { return "allocation" }

// Run renews and takes leases, reports requests in flight to the holders, and
// decides for the groups whose lease this instance holds. It returns when ctx
// ends.
func (gt *Granter) Run(ctx context.Context) error {
	gt.prepare()
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return gt.every(ctx, leaseInterval, gt.keepLeases) })
	eg.Go(func() error { return gt.every(ctx, tickInterval, gt.tick) })
	eg.Go(func() error { return gt.every(ctx, pollInterval, gt.poll) })
	eg.Go(func() error { return gt.every(ctx, disconnectedPollInterval, gt.pollDisconnected) })
	eg.Go(func() error { return gt.every(ctx, probeInterval, gt.probeHolders) })
	eg.Go(func() error { return gt.every(ctx, viewConfirmInterval, gt.confirmViews) })
	eg.Go(func() error { return gt.syncLoop(ctx) })
	return eg.Wait()
}

// every runs step now and then once per interval until ctx ends.
func (gt *Granter) every(ctx context.Context, interval time.Duration, step func(ctx context.Context)) error {
	ticker := gt.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// Leave releases all leases for a graceful shutdown, so that other instances
// can take them at once instead of waiting for them to expire. This instance
// takes no lease afterwards. It returns when ctx ends at the latest.
func (gt *Granter) Leave(ctx context.Context) {
	gt.prepare()
	gt.leaving.Store(true)
	gt.mu.Lock()
	leases := make([]*lease.Lease, 0, len(gt.leases))
	for _, le := range gt.leases {
		leases = append(leases, le)
	}
	clear(gt.holders)
	gt.mu.Unlock()
	var eg errgroup.Group
	for _, le := range leases {
		eg.Go(func() error {
			if err := le.Release(ctx); err != nil {
				gt.Log.Warn().Err(err).Msg("allocation: releasing a lease failed; it may stay taken until it expires")
			}
			return nil
		})
	}
	_ = eg.Wait()
}

// keepLeases reads the members and leases, and takes or renews the leases for
// which that is due.
func (gt *Granter) keepLeases(ctx context.Context) {
	cf := gt.Configuration.Load()
	if cf == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lease.RenewInterval)
	defer cancel()
	gt.updateViews(cf)
	listing, err := gt.Store.List(ctx, leasePrefix)
	if err != nil {
		gt.Log.Warn().Err(err).Msg("allocation: listing the leases failed; keeping the last known records")
	} else {
		gt.observe(cf, listing.Objects)
	}
	var eg errgroup.Group
	for _, gr := range groups(cf) {
		eg.Go(func() error {
			gt.keepLease(ctx, gr)
			return nil
		})
	}
	_ = eg.Wait()
}

// observe passes the stored lease records to the leases and remembers the last
// record of each group.
func (gt *Granter) observe(cf *kind.Configuration, list []platform.Object) {
	found := make(map[Group]platform.Object, len(list))
	for _, ob := range list {
		if gr, ok := parseKey(ob.Key); ok {
			found[gr] = ob
		}
	}
	for _, gr := range groups(cf) {
		le := gt.lease(gr)
		if err := le.Observe(found[gr]); err != nil {
			gt.Log.Error().Err(err).Msg("allocation: reading a lease record failed; ignoring the record")
			continue
		}
		if re, held := le.Current(); held {
			gt.mu.Lock()
			gt.records[gr] = re
			gt.mu.Unlock()
		}
	}
}

func (gt *Granter) lease(gr Group) *lease.Lease {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	le, found := gt.leases[gr]
	if !found {
		le = &lease.Lease{Store: gt.Store, Clock: gt.Clock, Key: gr.Key(), Holder: gt.processName(), Address: gt.Address}
		gt.leases[gr] = le
	}
	return le
}

// keepLease takes or renews one lease. It starts a decision core when this
// instance has gained the lease and removes it when the lease is lost.
func (gt *Granter) keepLease(ctx context.Context, gr Group) {
	le := gt.lease(gr)
	warm := gt.link(gr).warmBoots(gt.Clock.Now())
	_, held := le.Held()
	if !held && !gt.mayTake(gr) {
		return
	}
	if err := le.TakeOrRenew(ctx); err != nil {
		gt.Log.Warn().Err(err).Msg("allocation: taking or renewing a lease failed; trying again at the next interval")
	}
	epoch, held := le.Held()
	gt.mu.Lock()
	ho, found := gt.holders[gr]
	if found && (!held || ho.epoch != epoch) {
		delete(gt.holders, gr)
	}
	fresh := held && (!found || ho.epoch != epoch) && !gt.leaving.Load()
	if fresh {
		ho = (&holder{
			group: gr, epoch: epoch, since: gt.Clock.Now(), current: gt.Configuration.Load, warm: warm,
			views: func() *views { return gt.viewsOf(gr.Zone) }, listed: gt.listed, reporting: gt.reportsLoad(gr.Service),
			held: func() bool {
				current, held := le.Held()
				return held && current == epoch
			},
		}).prepare()
		gt.holders[gr] = ho
	}
	gt.mu.Unlock()
	if fresh {
		gt.Log.Info().Str("group", gr.String()).Int64("epoch", epoch).Msg("allocation: took the lease; starting the decision core")
		gt.collectInFlight(ctx, ho)
	}
}

// mayTake reports whether this instance may try to take a group's lease now.
func (gt *Granter) mayTake(gr Group) bool {
	if gt.leaving.Load() || !gt.isCandidate(gr.Zone) {
		return false
	}
	rank := 0
	own := rendezvousScore(gr.String(), gt.Instance)
	for _, name := range gt.viewsOf(gr.Zone).newest() {
		if rendezvousScore(gr.String(), name) < own {
			rank++
		}
	}
	return gt.Clock.Since(gt.began) >= time.Duration(rank)*takeoverStagger
}

// collectInFlight asks all members what they have in flight, so that the new
// holder does not have to wait for their next sync.
func (gt *Granter) collectInFlight(ctx context.Context, ho *holder) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var eg errgroup.Group
	for _, in := range gt.Members.Members() {
		eg.Go(func() error {
			args := &InFlightArgs{Group: ho.group, Address: gt.Address, Epoch: ho.epoch, Stamp: ho.stamp(gt.Clock.Now())}
			var reply InFlightReply
			if err := gt.call(ctx, in.Peer, "InFlight", args, &reply); err == nil && reply.Sync.Sequence > 0 {
				ho.sync(gt.Clock.Now(), in.Name, &reply.Sync)
			}
			return nil
		})
	}
	_ = eg.Wait()
}

func (gt *Granter) activeHolders() []*holder {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	list := make([]*holder, 0, len(gt.holders))
	for _, ho := range gt.holders {
		list = append(list, ho)
	}
	return list
}

func (gt *Granter) tick(context.Context) {
	for _, ho := range gt.activeHolders() {
		ho.tick(gt.Clock.Now())
	}
}
