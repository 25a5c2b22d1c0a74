package gateway

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/feed"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/relay"
	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
)

// StatusWriter writes the status of roll-outs into the store.
type StatusWriter interface {
	// WriteStatus writes a status if the order has the transition's revision. It
	// returns the order as the store has it after that, and whether it has it. After
	// an error it is unknown whether the status was written.
	WriteStatus(ctx context.Context, tr rollout.Transition) (or rollout.Order, found bool, err error)
}

const (
	// rolloutInterval is the interval at which roll-outs are evaluated.
	rolloutInterval = 100 * time.Millisecond
	// statusPause is the pause after a write of a status that succeeded, so that the
	// store's change arrives before the next one, or that failed.
	statusPause = 300 * time.Millisecond
	// offerTime is the time for which a transition that Next returned stays due. Next
	// returns it again sooner if it still is.
	offerTime = 400 * time.Millisecond
	// zoneTurn is how much later the evaluator of each further zone writes a status:
	// by then it knows of the write of another one, unless that failed.
	zoneTurn = 400 * time.Millisecond
	// reportedTime is the time from a change of a stage until all instances in contact
	// have reported what still runs at the endpoints that are to stop.
	reportedTime = 1500 * time.Millisecond
	// rolloutsWait and orderedWait are the long-poll times of the calls that watch the
	// orders. The latter is used while an order is not finished, or a service has
	// several versions. Each answer confirms the orders: their age reaches twice that
	// at a reader and a second more at its followers.
	rolloutsWait = 4 * time.Second
	orderedWait  = 500 * time.Millisecond
)

// rollouts connects the roll-outs that operators order with the parts of an instance.
// It is the controller that evaluates them and writes their status, and implements
// dispatch.Rollouts.
type rollouts struct {
	*rollout.Registry
	gw     *Gateway
	mover  *migration.Mover
	orders relay.Orders
	// exchange is nil if the instance exchanges nothing with others.
	exchange *loadshare.Exchange

	// The rest is used by Run only. seen has when each stage of an order began, and due
	// when each transition was first asked for.
	seen map[rollout.Order]time.Time
	due  map[rollout.Transition]time.Time
	// offer is the transition that is due, offeredAt when the registry last said so.
	offer     rollout.Transition
	offeredAt time.Time
	// writing is the result of the write in progress; nil if there is none.
	writing     chan writeResult
	pausedUntil time.Time
}

type writeResult struct {
	transition rollout.Transition
	order      rollout.Order
	found      bool
	err        error
}

// buildRollouts returns what follows the roll-outs, or nil if operators order none.
func (gw *Gateway) buildRollouts(mover *migration.Mover) *rollouts {
	if gw.Settings.Rollout.Share <= 0 || gw.Adapter.Rollouts == nil {
		return nil
	}
	ro := &rollouts{gw: gw, mover: mover, seen: make(map[rollout.Order]time.Time), due: make(map[rollout.Transition]time.Time)}
	ro.Registry = &rollout.Registry{Bounds: gw.Settings.Rollout, Instance: gw.Settings.Instance, Clock: gw.Clock, Log: gw.Log, Scope: gw.metrics.Scope}
	ro.orders = relay.Orders{Registry: ro.Registry, Clock: gw.Clock, Boot: gw.Boot, OnChange: ro.changed}
	return ro
}

// Name implements controller.Controller.
func (*rollouts) Name() string { return "rollouts" }

// Run implements controller.Controller.
func (ro *rollouts) Run(ctx context.Context) error {
	ti := ro.gw.Clock.NewTicker(rolloutInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
		}
		if list := ro.orders.List(); len(list) > 0 {
			ro.step(ctx, list)
		}
	}
}

func (ro *rollouts) step(ctx context.Context, list []rollout.Order) {
	ro.observe(list)
	for _, en := range ro.mover.Endpoints() {
		if !en.Leaving && ro.Leaves(en) {
			ro.mover.Vacate(en)
		}
	}
	if tr, wanted := ro.Next(ro.evaluates, ro.pending); wanted {
		if tr.State != ro.offer.State || tr.Revision != ro.offer.Revision || tr.Service != ro.offer.Service {
			ro.logVerdict(tr)
		}
		ro.offer, ro.offeredAt = tr, ro.gw.Clock.Now()
	}
	if ro.exchange != nil {
		ro.exchange.SendReports(ro.evaluators)
	}
	tr := ro.offer
	if ro.awaitsWrite() || !ro.isDue(tr, list) || !ro.isTurn(tr) {
		return
	}
	results := make(chan writeResult, 1)
	ro.writing = results
	go func() {
		or, found, err := ro.gw.Adapter.StatusWriter.WriteStatus(ctx, tr)
		results <- writeResult{transition: tr, order: or, found: found, err: err}
	}()
}

// isDue reports whether a transition was offered recently and its order did not change.
func (ro *rollouts) isDue(tr rollout.Transition, list []rollout.Order) bool {
	return ro.gw.Clock.Since(ro.offeredAt) < offerTime && slices.ContainsFunc(list, func(or rollout.Order) bool {
		return or.Service == tr.Service && or.Target == tr.Target && or.Revision == tr.Revision && or.State != tr.State
	})
}

// logVerdict logs the counts by which an evaluator promotes a target or rolls it back.
func (ro *rollouts) logVerdict(tr rollout.Transition) {
	if tr.State != rollout.Promoting && tr.State != rollout.RolledBack {
		return
	}
	co := ro.Counts(tr.Service)
	ro.gw.Log.Info().Str("event", "rollout_verdict").Str("service", tr.Service).Str("target", tr.Target).Str("state", tr.State.String()).Str("reason", tr.Reason).
		Int("sent_old", co.SentOld).Int("sent_new", co.SentNew).Int("answers_old", co.AnswersOld).Int("answers_new", co.AnswersNew).
		Int("failures_old", co.FailuresOld).Int("failures_new", co.FailuresNew).Dur("age", tr.Age).Msg("gateway: a version on trial was judged by the answers of all instances")
}

// observe records when each stage of the orders began, and forgets those of others.
func (ro *rollouts) observe(list []rollout.Order) {
	now := ro.gw.Clock.Now()
	current := make(map[rollout.Order]time.Time, len(list))
	for _, or := range list {
		key := or.WithAge(0).WithRevision(0)
		current[key] = now
		if at, known := ro.seen[key]; known {
			current[key] = at
		}
	}
	ro.seen = current
}

// awaitsWrite takes the result of the write in progress, if it has arrived, and reports
// whether the next write must wait.
func (ro *rollouts) awaitsWrite() bool {
	if ro.writing == nil {
		return ro.gw.Clock.Now().Before(ro.pausedUntil)
	}
	select {
	case re := <-ro.writing:
		ro.writing = nil
		if re.err != nil || re.order.State == re.transition.State {
			ro.pausedUntil = ro.gw.Clock.Now().Add(statusPause)
		}
		ro.finishWrite(re)
	default:
	}
	return true
}

// finishWrite records what the store has after a write.
func (ro *rollouts) finishWrite(re writeResult) {
	tr := re.transition
	if re.err != nil {
		ro.gw.Log.Warn().Str("event", "rollout_not_written").Str("service", tr.Service).Str("target", tr.Target).Str("state", tr.State.String()).Err(re.err).
			Msg("gateway: status of a roll-out could not be written, trying again")
		return
	}
	ro.gw.Log.Info().Str("event", "rollout_written").Str("service", tr.Service).Str("target", tr.Target).Str("state", tr.State.String()).Str("reason", tr.Reason).
		Bool("found", re.found).Str("stored", re.order.State.String()).Dur("age", tr.Age).Msg("gateway: asked the store to write the status of a roll-out")
	if re.found {
		ro.orders.Replace(re.order)
	}
}

// isTurn reports whether this instance may write a status now. The evaluator of the zone
// that is first for a service writes at once, each further one later.
func (ro *rollouts) isTurn(tr rollout.Transition) bool {
	key := tr
	key.Age, key.Reason = 0, ""
	now := ro.gw.Clock.Now()
	at, known := ro.due[key]
	if !known {
		// Only one transition of an order is due at a time.
		for other := range ro.due {
			if other.Service == tr.Service {
				delete(ro.due, other)
			}
		}
		at = now
		ro.due[key] = now
	}
	return now.Sub(at) >= time.Duration(ro.zoneRank(tr.Service))*zoneTurn
}

// zones returns the zones that have instances, the first to write for a service first.
func (ro *rollouts) zones(service string) []string {
	var list []string
	for _, me := range ro.gw.members.List() {
		if !slices.Contains(list, me.Zone) {
			list = append(list, me.Zone)
		}
	}
	rank := func(zone string) uint64 { return xxhash.Sum64String(service + "/" + zone) }
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return list
}

func (ro *rollouts) zoneRank(service string) int {
	return max(slices.Index(ro.zones(service), ro.gw.Settings.Zone), 0)
}

// evaluators returns the instances that evaluate the roll-out of a service, one for each
// zone, so that each zone has one when it is cut off.
func (ro *rollouts) evaluators(service string) []loadshare.Member {
	var list []loadshare.Member
	for _, zone := range ro.zones(service) {
		if me := ro.gw.peers.View(service, zone).Allocator; me != nil && !slices.Contains(list, *me) {
			list = append(list, *me)
		}
	}
	return list
}

// evaluates reports whether this instance evaluates the roll-out of a service. One that
// knows no others does; one that gets messages of less than half of them doesn't.
func (ro *rollouts) evaluates(service string) bool {
	vi := ro.gw.peers.View(service, ro.gw.Settings.Zone)
	if vi.Allocator == nil {
		return true
	}
	return vi.Allocator.Name == ro.gw.Settings.Instance && 2*vi.Alive >= vi.Total
}

// pending returns how many requests are at endpoints of other versions than the target,
// as far as instances report them. Until they have had time to do so, it counts one.
func (ro *rollouts) pending(service, target string) int {
	count := 0
	for id, en := range ro.gw.roster.View().All() {
		if en.Service == service && en.Version != target {
			count += ro.gw.tracker.Running(id)
		}
	}
	now := ro.gw.Clock.Now()
	for or, since := range ro.seen {
		if or.Service == service && or.State == rollout.Promoting && now.Sub(since) >= reportedTime {
			return count
		}
	}
	return max(count, 1)
}

// leavesByID reports whether runs move off an endpoint because of a roll-out.
func (ro *rollouts) leavesByID(id string) bool {
	en, known := ro.gw.roster.View().Get(id)
	return known && ro.Leaves(en)
}

// Ordered implements dispatch.Rollouts.
func (ro *rollouts) Ordered(service string) bool {
	return ro.orders.Has(service)
}

// Record implements dispatch.Rollouts. It also counts answers by version.
func (ro *rollouts) Record(en roster.Endpoint, sa rollout.Sample) {
	ro.Registry.Record(en, sa)
	if ro.Ordered(en.Service) {
		tags := map[string]string{"service": en.Service, "version": en.Version, "failed": strconv.FormatBool(sa.Failed)}
		ro.gw.metrics.Scope.Tagged(tags).Counter("rollout_answers").Inc(1)
	}
}

// changed logs what is new of the orders and tells other instances.
func (ro *rollouts) changed(before, after []rollout.Order) {
	for _, or := range after {
		ix := slices.IndexFunc(before, func(old rollout.Order) bool { return old.Service == or.Service && old.Target == or.Target })
		if ix < 0 {
			ro.log("rollout_ordered", or, "gateway: an operator ordered a roll-out")
		}
		if ix >= 0 && before[ix].State == or.State || ix < 0 && or.State == rollout.Pending {
			continue
		}
		switch or.State {
		case rollout.Completed:
			ro.log("rollout_completed", or, "gateway: a roll-out is complete")
		case rollout.RolledBack:
			ro.log("rollout_rolled_back", or, "gateway: a roll-out was rolled back")
		case rollout.Pending, rollout.Canary, rollout.Promoting:
			ro.log("rollout_stage", or, "gateway: stage of a roll-out changed")
		}
	}
	ro.gw.relay.Observe()
}

func (ro *rollouts) log(event string, or rollout.Order, message string) {
	ro.gw.Log.Info().Str("event", event).Str("service", or.Service).Str("target", or.Target).Str("state", or.State.String()).
		Dur("budget", or.Budget).Dur("age", or.Age).Int64("revision", or.Revision).Msg(message)
}

// rolloutSource makes calls that watch orders shorter while instances need a fresh
// confirmation of them.
type rolloutSource struct {
	feed.Source[rollout.Order]
	orders *relay.Orders
	roster *roster.Roster
}

// Watch implements feed.Source.
func (rs rolloutSource) Watch(ctx context.Context, after feed.Position, wait time.Duration) ([]feed.Change[rollout.Order], feed.Position, error) {
	if rs.needsFresh() {
		wait = min(wait, orderedWait)
	}
	return rs.Source.Watch(ctx, after, wait)
}

// needsFresh reports whether an order is not finished, or a service has endpoints of
// several versions, so that one may be new. Before the endpoints are listed, that is not
// known.
func (rs rolloutSource) needsFresh() bool {
	vi := rs.roster.View()
	if !vi.Listed {
		return true
	}
	if slices.ContainsFunc(rs.orders.List(), func(or rollout.Order) bool { return !or.State.Final() }) {
		return true
	}
	versions := make(map[string]string)
	for _, en := range vi.All() {
		if before, seen := versions[en.Service]; seen && before != en.Version {
			return true
		}
		versions[en.Service] = en.Version
	}
	return false
}
