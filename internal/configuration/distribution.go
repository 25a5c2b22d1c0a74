package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/peer"
)

// ServiceName is the RPC name under which Service is registered with a
// peer.Server.
const ServiceName = "Configuration"

const (
	// noticeTimeout limits the wait for the acknowledgement of a notice.
	// noticeAttempts limits how often the notice is sent.
	noticeTimeout  = 300 * time.Millisecond
	noticeAttempts = 6
)

// fetchRetryInterval is the time between the starts of two attempts to fetch a
// version.
const fetchRetryInterval = 300 * time.Millisecond

// fetchTimeouts are the timeouts of the attempts to fetch a version. The first
// is short, so that an unresponsive connection is dropped before the second
// attempt. The last ones leave time for a complete configuration over a slow link.
var fetchTimeouts = []time.Duration{
	fetchRetryInterval, 2 * fetchRetryInterval, 4 * fetchRetryInterval, 8 * fetchRetryInterval, 8 * fetchRetryInterval, 8 * fetchRetryInterval,
}

// Peer is another instance. Address is that of its peer listener.
type Peer struct {
	Name    string
	Zone    string
	Address string
}

// Peers selects the gossip recipients of a new version.
type Peers interface {
	// ZonePeers returns the other instances of the own zone.
	ZonePeers() []Peer
	// RemoteZonePeers returns a few instances of each other zone.
	RemoteZonePeers() []Peer
}

// Notice announces the version in force at the sender. Zone and Address are
// those of the sender.
type Notice struct {
	Version int64
	Zone    string
	Address string
}

// FetchArgs is a request for the bundle in force.
type FetchArgs struct {
	// Have holds the hashes of the shards that the caller already has. They are
	// left out of the reply.
	Have []string
}

// FetchReply is a bundle without the shards that the caller already has. The
// keys of Shards are hashes.
type FetchReply struct {
	Head   Head
	Shards map[string][]byte
}

// Distributor is the controller that distributes the configuration between
// instances: it announces new versions and fetches those announced by others.
// Set the fields before Run.
type Distributor struct {
	State  *State
	Peers  Peers
	Caller peer.Caller
	Clock  clockwork.Clock
	Log    zerolog.Logger
	// Zone and Address are the zone and the peer address of this instance.
	Zone    string
	Address string

	mu sync.Mutex
	// fetching is true while fetchUntilCurrent runs. targetNotice is the notice
	// that it handles, or if fetchPending is true the one that it handles next.
	fetching     bool
	targetNotice Notice
	fetchPending bool
	ctx          context.Context //nolint:containedctx // limits the fetches that notices start
}

// Name implements controller.Controller.
func (di *Distributor) Name() string { return "spread" }

// Run announces each new version to other instances until ctx ends. An instance
// that received the version from outside its zone notifies its zone. One that
// read it from the platform also notifies a few instances of each other zone.
func (di *Distributor) Run(ctx context.Context) error {
	di.mu.Lock()
	di.ctx = ctx
	di.mu.Unlock()
	var announced int64
	for ctx.Err() == nil {
		changed, source := di.State.Changed()
		if version := di.State.Version(); version > announced {
			announced = version
			di.announce(ctx, version, source)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

func (di *Distributor) announce(ctx context.Context, version int64, source Source) {
	var recipients []Peer
	if source != FromZone {
		recipients = di.Peers.ZonePeers()
	}
	if source == FromPlatform {
		recipients = append(recipients, di.Peers.RemoteZonePeers()...)
	}
	no := Notice{Version: version, Zone: di.Zone, Address: di.Address}
	for _, pe := range recipients {
		go di.notify(ctx, pe, no)
	}
}

// notify sends a notice until it is acknowledged, a newer version is in force,
// or all attempts have failed. In the last case the peer learns of the version
// from the next membership digest.
func (di *Distributor) notify(ctx context.Context, pe Peer, no Notice) {
	for range noticeAttempts {
		var ok bool
		if di.call(ctx, noticeTimeout, pe.Address, "Notify", no, &ok) == nil {
			return
		}
		di.State.count(NoticeUnanswered)
		if ctx.Err() != nil || di.State.Version() > no.Version {
			return
		}
	}
}

func (di *Distributor) call(ctx context.Context, timeout time.Duration, address, method string, args, reply any) error {
	ctx, cancel := clockwork.WithTimeout(ctx, di.Clock, timeout)
	defer cancel()
	return di.Caller.Call(ctx, address, ServiceName+"."+method, args, reply)
}

// HandleNotice handles the announcement of a version by another instance. If
// the version is higher than the one in force, it starts a fetch in the
// background. If a fetch is already running, a notice of a higher version than
// those announced before makes another fetch follow. Before Run, HandleNotice
// does nothing.
func (di *Distributor) HandleNotice(no Notice) {
	if no.Version <= di.State.Version() {
		return
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	if di.ctx == nil {
		return
	}
	if di.fetching {
		if no.Version > di.targetNotice.Version {
			di.fetchPending, di.targetNotice = true, no
		}
		return
	}
	di.fetching, di.targetNotice, di.fetchPending = true, no, false
	go di.fetchUntilCurrent(di.ctx, no)
}

// fetchUntilCurrent fetches the announced version. As long as a notice is
// pending after that, it continues with the pending notice.
func (di *Distributor) fetchUntilCurrent(ctx context.Context, no Notice) {
	for {
		di.fetchWithRetries(ctx, no)
		di.mu.Lock()
		if !di.fetchPending {
			di.fetching = false
			di.mu.Unlock()
			return
		}
		di.fetchPending = false
		no = di.targetNotice
		di.mu.Unlock()
	}
}

// fetchWithRetries starts a fetch, and a further one after each
// fetchRetryInterval, until the announced version or a higher one is in force.
// If another version comes into force first, the next attempt starts at once. If
// all attempts fail, the next membership digest of any instance starts a new
// fetch.
func (di *Distributor) fetchWithRetries(ctx context.Context, no Notice) {
	for _, timeout := range fetchTimeouts {
		changed, _ := di.State.Changed()
		if ctx.Err() != nil || di.State.Version() >= no.Version {
			return
		}
		go func() {
			if err := di.fetch(ctx, timeout, no); err != nil {
				di.State.count(FetchFailed)
				di.Log.Warn().Err(err).Str("peer", no.Address).Msg("configuration: cannot fetch the announced version from the peer")
			}
		}()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-di.Clock.After(fetchRetryInterval):
		}
	}
}

func (di *Distributor) fetch(ctx context.Context, timeout time.Duration, no Notice) error {
	known := di.State.Bundle()
	var have []string
	if known != nil {
		have = known.Head.Shards
	}
	var re FetchReply
	if err := di.call(ctx, timeout, no.Address, "Fetch", FetchArgs{Have: have}, &re); err != nil {
		return err
	}
	shards := make(map[string][]byte, len(re.Head.Shards))
	for _, from := range []map[string][]byte{shardsOf(known), re.Shards} {
		for hash, data := range from {
			shards[hash] = data
		}
	}
	bu, err := Unpack(re.Head, shards)
	if err != nil {
		return err
	}
	source := FromOtherZone
	if no.Zone == di.Zone {
		source = FromZone
	}
	di.State.Apply(bu, source)
	return nil
}

// Service is the RPC service that other instances call.
type Service struct {
	State       *State
	Distributor *Distributor
}

// Notify receives the announcement of a version and acknowledges it with true.
func (se *Service) Notify(no Notice, ok *bool) error {
	*ok = true
	se.Distributor.HandleNotice(no)
	return nil
}

// Fetch returns the bundle in force. It fails with an error of kind Incomplete
// if there is none yet.
func (se *Service) Fetch(args FetchArgs, re *FetchReply) error {
	bu := se.State.Bundle()
	if bu == nil {
		return &Error{Op: "fetch", Kind: Incomplete}
	}
	have := make(map[string][]byte, len(args.Have))
	for _, hash := range args.Have {
		have[hash] = nil
	}
	re.Head = bu.Head
	re.Shards = make(map[string][]byte)
	for _, hash := range bu.Head.MissingShards(have) {
		re.Shards[hash] = bu.shards[hash]
	}
	return nil
}
