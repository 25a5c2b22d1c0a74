package relay

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/peer"
)

const (
	// watchWait is how long a reader may hold a call open for a change, and
	// relayedWatchWait how long an instance may that follows a reader itself. The
	// latter is shorter because its state is older already.
	watchWait        = 500 * time.Millisecond
	relayedWatchWait = 300 * time.Millisecond
	// responseMargin is the time beyond these that a call may take. Within both, and
	// the time of a search and of a list, the zone has to notice that its reader is
	// lost and to replace it, whoever else is lost.
	responseMargin = 700 * time.Millisecond
	// immediateTimeout is how long a call may take that is answered at once, and
	// contactTimeout how long the first call to a candidate may if this instance has
	// state that it needs to renew.
	immediateTimeout = 500 * time.Millisecond
	contactTimeout   = 300 * time.Millisecond
	// readyTimeout is how long a candidate that reads the store, or starts, may
	// take until it can be followed, idleTimeout how long one may that does not
	// read it yet, and readyPollInterval the interval at which they are asked.
	readyTimeout      = 1500 * time.Millisecond
	idleTimeout       = 500 * time.Millisecond
	readyPollInterval = 100 * time.Millisecond
	// maxHops is the largest number of instances between a candidate and the
	// store with which the candidate is followed.
	maxHops = 2
	// maxConfigurationAge and maxEndpointsAge are the largest ages with which a
	// candidate is followed. Beyond them another one is the better source.
	maxConfigurationAge = 3200 * time.Millisecond
	// maxEndpointsAge is over twice the time that one call about endpoints
	// waits. Without changes, the call that the store answered last was sent up
	// to two such waits ago.
	maxEndpointsAge = 8 * time.Second
)

var (
	errStale     = errors.New("relay: the candidate's state is too old")
	errIdle      = errors.New("relay: the candidate does not read the store, and its state is too old")
	errUnable    = errors.New("relay: the candidate cannot read the store")
	errCircular  = errors.New("relay: the candidate follows this instance")
	errTooFar    = errors.New("relay: too many instances between the candidate and the store")
	errOtherTurn = errors.New("relay: another instance is to be followed now, or this one reads the store")
)

// check returns an error if the sender of a status is not worth following.
func (st Status) check() error {
	stale := st.ConfigurationAge > maxConfigurationAge || st.EndpointsAge > maxEndpointsAge
	switch {
	case st.Unable && st.Hops == 0:
		return errUnable
	case stale && !st.Direct:
		return errIdle
	case stale:
		return errStale
	case st.Hops > maxHops:
		return errTooFar
	default:
		return nil
	}
}

// follow applies the updates of a candidate until the election turns to something
// else: a call fails, the candidate is not worth following, or it is another
// instance's turn.
func (sw *Switch) follow(ctx context.Context, me loadshare.Member) error {
	qu := Query{Members: true}
	following, retried := false, false
	for ctx.Err() == nil {
		up, err := sw.update(ctx, me, qu)
		if following && !retried && isReset(err) {
			retried = true
			continue
		}
		if ctx.Err() != nil {
			break
		}
		sw.handle(sw.answer(me, up, err, following))
		if !sw.el.follows(me.Name) {
			err = cmp.Or(err, errOtherTurn)
			sw.logLeft(me, following, err)
			return err
		}
		if err != nil {
			sw.pause(ctx, readyPollInterval)
			continue
		}
		if !following {
			following = true
			sw.Logger.Info().Str("event", "reader_followed").Str("reader", me.Name).Int("hops", up.Hops).Msg("relay: following a reader")
		}
		if up.Doubtful && sw.reachesStore(ctx, me) {
			sw.handle(event{kind: reached, name: me.Name})
			return errOtherTurn
		}
		qu, retried = nextQuery(up), false
		if sw.el.proven != cmp.Or(up.Reader, me.Name) {
			qu.Wait = readyPollInterval
		}
	}
	return ctx.Err()
}

// answer returns the event of a candidate's answer. One that is followed already
// gets no time to become ready.
func (sw *Switch) answer(me loadshare.Member, up Update, err error, following bool) event {
	ev := event{name: me.Name, reader: cmp.Or(up.Reader, me.Name), direct: up.Direct}
	switch {
	case err == nil:
		ev.kind = updated
	case errors.Is(err, errUnable):
		sw.Log.noteFailure()
		ev.kind = unable
	case errors.Is(err, errStale), sw.starting() && !following && peer.IsKind(err, peer.Unreachable):
		ev.kind, ev.wait = notReady, readyTimeout
	case errors.Is(err, errIdle), errors.Is(err, errCircular), errors.Is(err, errTooFar):
		ev.kind, ev.wait = notReady, idleTimeout
	default:
		ev.kind = unreachable
	}
	if following {
		ev.wait = 0
	}
	return ev
}

// logLeft logs why a candidate is not followed. During an outage there are many
// that can't be followed, which is logged at level debug.
func (sw *Switch) logLeft(me loadshare.Member, following bool, err error) {
	level := zerolog.DebugLevel
	if following && !errors.Is(err, errOtherTurn) {
		level = zerolog.InfoLevel
	}
	sw.Logger.WithLevel(level).Str("event", "reader_left").Str("reader", me.Name).Bool("abroad", me.Zone != sw.Self.Zone).Err(err).Msg("relay: not following this candidate any more")
}

// isReset reports whether a call failed because its connection broke. The next
// call opens another one.
func isReset(err error) bool {
	return peer.IsKind(err, peer.Lost) && !errors.Is(err, context.DeadlineExceeded)
}

// nextQuery returns the query that follows an update.
func nextQuery(up Update) Query {
	qu := Query{Epoch: up.Epoch, Sequence: up.Sequence, Members: true, MembersSequence: up.MembersSequence, Wait: watchWait}
	if !up.Direct {
		qu.Wait = relayedWatchWait
	}
	return qu
}

// update makes one call to a candidate and applies the answer.
func (sw *Switch) update(ctx context.Context, me loadshare.Member, qu Query) (Update, error) {
	begun := sw.Boot.Now()
	var up Update
	timeout := immediateTimeout
	if _, confirmed := sw.State.Age(); qu.Wait > readyPollInterval {
		timeout = qu.Wait + responseMargin
	} else if confirmed {
		timeout = qu.Wait + contactTimeout
	}
	if err := sw.call(ctx, me, timeout, "Watch", qu, &up); err != nil {
		return up, err
	}
	if err := up.status().check(); err != nil {
		return up, err
	}
	if up.Reader == sw.Self.Name {
		return up, errCircular
	}
	sw.apply(up)
	// The candidate answered no earlier than this.
	answered := begun + up.Held
	if up.HasOrders {
		sw.Log.Orders.Put(up.Orders)
		sw.Log.Orders.Confirm(answered - up.OrdersAge)
	}
	sw.Log.CallAnswered(answered - up.EndpointsAge)
	sw.Log.noteAnswer(answered - up.answeredAge())
	if up.OutageAge > 0 {
		sw.Log.noteOutage(up.OutageAge - 1 + sw.Boot.Now() - answered)
	}
	sw.Log.setRole(role{hops: up.Hops + 1, reader: cmp.Or(up.Reader, me.Name)})
	err := sw.confirm(ctx, me, up, answered)
	sw.Log.observeSilence()
	return up, err
}

func (sw *Switch) call(ctx context.Context, me loadshare.Member, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return sw.Caller.Call(ctx, me.Address.String(), ServiceName+"."+method, args, reply)
}

// apply passes an update to the roster and to the list of instances.
func (sw *Switch) apply(up Update) {
	if up.Silent {
		sw.Log.noteSilence()
	}
	if up.Era > 0 {
		sw.Log.Eras.Note(up.Era - 1)
	}
	// A new process has no endpoints before it knows which zones are evacuated.
	if up.ZonesUnknown {
		sw.Roster.AddEvacuatedZones(up.Zones)
	} else {
		sw.Roster.SetEvacuatedZones(up.Zones)
	}
	sw.Roster.Replicate(up.Full, up.Endpoints, up.Removed)
	if len(up.Members) > 0 && sw.Members.Add(up.Members) {
		sw.Log.Observe()
	}
}

// confirm applies the candidate's confirmation, once this instance has the
// version that it refers to. The candidate answered no earlier than at the boot
// time answered, and the confirmation had the reported age at that moment.
func (sw *Switch) confirm(ctx context.Context, me loadshare.Member, up Update, answered time.Duration) error {
	if !sw.hasVersion(up.Version) {
		if err := sw.fetchConfiguration(ctx, me); err != nil {
			return err
		}
	}
	if sw.hasVersion(up.Version) {
		sw.State.Confirm(answered - up.ConfigurationAge)
	}
	return nil
}

// hasVersion reports whether this version or a newer one is in force.
func (sw *Switch) hasVersion(version int64) bool {
	cf := sw.State.Load()
	return cf != nil && cf.Version >= version
}

// fetchConfiguration fetches the configuration from the candidate, and from the
// store only if that fails. If each of many instances read each version from the
// store, these reads would be most of the store's load.
func (sw *Switch) fetchConfiguration(ctx context.Context, me loadshare.Member) error {
	err := sw.fetchFromReader(ctx, me)
	if err == nil {
		return nil
	}
	if ferr := sw.Fetch(ctx); ferr != nil {
		return errors.Join(err, ferr)
	}
	return nil
}

// fetchFromReader fetches the configuration from a reader and brings it into
// force if it is newer.
func (sw *Switch) fetchFromReader(ctx context.Context, me loadshare.Member) error {
	var te Text
	if err := sw.call(ctx, me, immediateTimeout, "Configuration", None{}, &te); err != nil {
		return err
	}
	cf, err := sw.Decode(te.Source)
	if err != nil {
		return err
	}
	if sw.State.Put(cf) {
		sw.Logger.Info().Str("event", "configuration").Int64("version", cf.Version).Int("keys", cf.Keys()).Str("reader", me.Name).Msg("relay: applied a configuration received from a reader")
		sw.Log.Observe()
	}
	return nil
}
