package loadshare

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/placement"
)

const (
	// heartbeat is the maximum time between two messages of an instance to its own
	// zone.
	heartbeat = time.Second
	// minSendInterval is the minimum time between two messages of an instance.
	minSendInterval = 10 * time.Millisecond
	// remoteIntervalPerInstance is what each instance in another zone adds to
	// remoteSendInterval.
	remoteIntervalPerInstance = 4 * time.Millisecond
	// senderExpiry is the time without messages after which the loads of an
	// instance expire.
	senderExpiry = 3 * heartbeat
)

// Conn sends and receives datagrams. *net.UDPConn implements it.
type Conn interface {
	ReadFromUDPAddrPort(into []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Exchange sends the loads of this instance to the others and applies theirs to
// the Tracker. Set the exported fields before Run.
type Exchange struct {
	Conn     Conn
	Instance string
	Zone     string
	Tracker  *placement.LoadTracker
	Members  *Members
	// MoveOrder supplies the pending moves of this instance and receives those of
	// the others. Its Instance must be set.
	MoveOrder *MoveOrder
	// Statements supplies what endpoints stated to this instance, and receives what
	// they stated to others. Nil exchanges none.
	Statements Statements
	// Suspects supplies the features of requests under which endpoints crashed, and
	// receives those that others know. Nil exchanges none.
	Suspects Suspects
	// Paths supplies the services whose endpoints this instance cannot reach, and
	// receives those of others. Nil exchanges none.
	Paths Paths
	// Rollouts supplies the reports of roll-outs that SendReports sends, and receives
	// those of others. Nil exchanges none.
	Rollouts Rollouts
	// Outliers supplies the failures that this instance saw at endpoints, and receives
	// those that others saw. Nil exchanges none.
	Outliers Outliers
	// Grants supplies the grants that the loads of this instance include, and receives
	// those of others. Nil exchanges none.
	Grants Grants
	// Stopping states whether this instance shuts down, and receives which others do. Nil
	// exchanges nothing.
	Stopping *Stopping
	// Heard is called with the name of the sender of each message. It may be nil.
	Heard func(instance string)
	Clock clockwork.Clock
	Log   zerolog.Logger

	mu      sync.Mutex
	senders map[string]*sender
	// reports is used by SendReports only.
	reports reportState
}

// Statements are what endpoints state about the requests that they take.
// backpressure.Registry implements it.
type Statements interface {
	// Changed returns the statements that changed recently, and whether there are new
	// ones since the last call.
	Changed() (list []backpressure.Statement, unsent bool)
	// Merge records statements that endpoints made to another instance.
	Merge(list []backpressure.Statement)
}

// sender is the state of another instance as of its newest message.
type sender struct {
	// startedAt is Started of the message, in Unix milliseconds.
	startedAt  uint64
	sequence   uint64
	receivedAt time.Time
}

// Name implements controller.Controller.
func (ex *Exchange) Name() string { return "loadshare" }

// Run sends and receives until ctx ends. It closes Conn then.
func (ex *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = ex.Conn.Close() })
	defer stop()
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return ex.send(ctx) })
	eg.Go(func() error { return ex.receive(ctx) })
	return eg.Wait()
}

func (ex *Exchange) send(ctx context.Context) error {
	ti := ex.Clock.NewTicker(heartbeat)
	defer ti.Stop()
	me := message{Instance: ex.Instance, Started: uint64(max(ex.Clock.Now().UnixMilli(), 0))}
	var lastRemoteSend time.Time
	for {
		due := false
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
			ex.expireSilent()
			due = true
		case <-ex.Tracker.Changes:
		}
		ex.sendStatements(due)
		ex.sendSuspects(due)
		ex.sendPaths(due)
		ex.sendOutliers(due)
		ex.sendStopping(due)
		sameZone, otherZones := ex.Members.recipients(ex.Instance, ex.Zone)
		moves, unsent := ex.MoveOrder.announced()
		// A message with changed announcements goes to other zones at once. Other
		// messages go there at most once per remoteSendInterval.
		if now := ex.Clock.Now(); unsent || now.Sub(lastRemoteSend) >= remoteSendInterval(len(otherZones)) {
			lastRemoteSend = now
			sameZone = append(sameZone, otherZones...)
		}
		me.Sequence++
		me.Settled = settledOf(ex.Grants)
		me.Loads, me.Moves = ex.Tracker.Loads(), moves
		data := encode(me)
		for _, to := range sameZone {
			// A failed send is ignored: the next heartbeat sends to the address again.
			_, _ = ex.Conn.WriteToUDPAddrPort(data, to)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ex.Clock.After(minSendInterval):
		}
	}
}

// sendStatements sends what endpoints stated to all other instances, if there is
// something new or if it is due to be repeated.
func (ex *Exchange) sendStatements(due bool) {
	if ex.Statements == nil {
		return
	}
	list, unsent := ex.Statements.Changed()
	if len(list) > 0 && (unsent || due) {
		ex.sendToAll(encodeStatements(ex.Instance, list))
	}
}

// sendToAll sends a datagram to all other instances. Failed sends are ignored: what is
// sent this way is repeated.
func (ex *Exchange) sendToAll(data []byte) {
	sameZone, otherZones := ex.Members.recipients(ex.Instance, ex.Zone)
	for _, to := range append(sameZone, otherZones...) {
		_, _ = ex.Conn.WriteToUDPAddrPort(data, to)
	}
}

// remoteSendInterval returns the minimum time between two messages to other
// zones, unless announcements of moves have changed. It grows with the number of
// instances there, up to heartbeat, so that the send rate of one instance stays
// bounded. The first change or heartbeat after the interval is sent there.
func remoteSendInterval(instances int) time.Duration {
	return min(time.Duration(instances)*remoteIntervalPerInstance, heartbeat)
}

func (ex *Exchange) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := ex.Conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A read can fail because an earlier datagram went to an address without a
			// listener.
			continue
		}
		ex.apply(buffer[:count])
	}
}

// apply processes one received datagram. It ignores messages of this instance
// itself, and loads that are not newer than the last ones of their sender.
func (ex *Exchange) apply(data []byte) {
	switch {
	case isStatements(data):
		ex.applyStatements(data)
	case isSuspects(data):
		ex.applySuspects(data)
	case isPaths(data):
		ex.applyPaths(data)
	case isReport(data):
		ex.applyReport(data)
	case isOutliers(data):
		ex.applyOutliers(data)
	case isStopping(data):
		ex.applyStopping(data)
	default:
		ex.applyLoads(data)
	}
}

// applyLoads processes a datagram with the loads and moves of another instance.
func (ex *Exchange) applyLoads(data []byte) {
	me, err := decode(data)
	if err != nil {
		ex.Log.Info().Str("event", "loads_unreadable").Err(err).Msg("loadshare: dropped a datagram that could not be decoded")
		return
	}
	if me.Instance == ex.Instance {
		return
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.senders == nil {
		ex.senders = make(map[string]*sender)
	}
	se := ex.senders[me.Instance]
	if se != nil && (me.Started < se.startedAt || me.Started == se.startedAt && me.Sequence <= se.sequence) {
		return
	}
	ex.senders[me.Instance] = &sender{startedAt: me.Started, sequence: me.Sequence, receivedAt: ex.Clock.Now()}
	if ex.Heard != nil {
		ex.Heard(me.Instance)
	}
	ex.Tracker.SetRemoteLoads(me.Instance, me.Loads)
	ex.settle(me.Settled)
	ex.MoveOrder.apply(me.Instance, me.Moves)
}

// expireSilent drops the loads and announced moves of instances that have sent
// nothing for senderExpiry.
func (ex *Exchange) expireSilent() {
	now := ex.Clock.Now()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for name, se := range ex.senders {
		if now.Sub(se.receivedAt) > senderExpiry {
			ex.Tracker.SetRemoteLoads(name, nil)
			ex.MoveOrder.apply(name, nil)
			delete(ex.senders, name)
		}
	}
}

// IsAlive reports whether a message of another instance has arrived and not yet
// expired.
func (ex *Exchange) IsAlive(name string) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.senders[name] != nil
}
