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

	"filbertstall.example/filbertstall/internal/placement"
)

const (
	// heartbeat is how often an instance sends at least.
	heartbeat = time.Second
	// gap is how seldom an instance sends at most.
	gap = 10 * time.Millisecond
	// farTime is how much each instance of another zone adds to the gap between
	// two messages there.
	farTime = 4 * time.Millisecond
	// silence is the time after which what an instance said is dropped.
	silence = 3 * heartbeat
)

// Conn sends and receives datagrams; net.UDPConn is one.
type Conn interface {
	ReadFromUDPAddrPort(into []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Exchange tells other instances the loads of this one and takes in theirs.
// Set the exported fields before Run.
type Exchange struct {
	Conn     Conn
	Instance string
	Zone     string
	Board    *placement.Board
	Members  *Members
	// Turns gets what others announce; set its Instance.
	Turns *Turns
	Clock clockwork.Clock
	Log   zerolog.Logger

	mu    sync.Mutex
	heard map[string]*sender
}

// sender is another instance.
type sender struct {
	started  uint64
	sequence uint64
	at       time.Time
}

// Name implements controller.Controller.
func (ex *Exchange) Name() string { return "loadshare" }

// Run sends and receives until ctx ends.
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
	var toldFar time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
			ex.forget()
		case <-ex.Board.Changes:
		}
		near, far := ex.Members.audience(ex.Instance, ex.Zone)
		moves, news := ex.Turns.mine()
		if now := ex.Clock.Now(); news || now.Sub(toldFar) >= farGap(len(far)) {
			toldFar = now
			near = append(near, far...)
		}
		me.Sequence++
		me.Loads, me.Moves = ex.Board.Loads(), moves
		data := encode(me)
		for _, to := range near {
			// An address that can't be sent to now is told with the next heartbeat.
			_, _ = ex.Conn.WriteToUDPAddrPort(data, to)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ex.Clock.After(gap):
		}
	}
}

// farGap returns how seldom other zones are told at most: with the number of
// instances there, so that what one instance sends stays bounded.
func farGap(instances int) time.Duration {
	return min(time.Duration(instances)*farTime, heartbeat)
}

func (ex *Exchange) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := ex.Conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An earlier datagram to an address without a listener can show here.
			continue
		}
		ex.take(buffer[:count])
	}
}

// take takes in one message, unless a newer one of its sender came before.
func (ex *Exchange) take(data []byte) {
	me, err := decode(data)
	if err != nil {
		ex.Log.Info().Str("event", "loads_unreadable").Err(err).Msg("loadshare: message dropped")
		return
	}
	if me.Instance == ex.Instance {
		return
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.heard == nil {
		ex.heard = make(map[string]*sender)
	}
	se := ex.heard[me.Instance]
	if se != nil && (me.Started < se.started || me.Started == se.started && me.Sequence <= se.sequence) {
		return
	}
	ex.heard[me.Instance] = &sender{started: me.Started, sequence: me.Sequence, at: ex.Clock.Now()}
	ex.Board.SetRemoteLoads(me.Instance, me.Loads)
	ex.Turns.take(me.Instance, me.Moves)
}

// forget drops what silent instances said.
func (ex *Exchange) forget() {
	now := ex.Clock.Now()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for name, se := range ex.heard {
		if now.Sub(se.at) > silence {
			ex.Board.SetRemoteLoads(name, nil)
			ex.Turns.take(name, nil)
			delete(ex.heard, name)
		}
	}
}

// Heard tells whether another instance was heard lately.
func (ex *Exchange) Heard(name string) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.heard[name] != nil
}
