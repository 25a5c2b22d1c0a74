package allocation

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/explain"
	"filbertstall.example/filbertstall/internal/lease"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/internal/suspicion"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Members lists the entry instances.
type Members interface {
	Members() []platform.Instance
}

// Endpoints reads the load reports and cache events that endpoints publish.
type Endpoints interface {
	Load(url string) (endpoint.Load, error)
	CacheEvents(url string, after int64) ([]endpoint.CacheEvent, error)
}

// Source says where a place comes from. It labels the grants counter.
type Source string

// The sources of places.
const (
	// OwnZone places are granted by the holder of the instance's own
	// availability zone.
	OwnZone Source = "own_zone"
	// OtherZone places are granted by the holder of another availability zone.
	OtherZone Source = "other_zone"
	// Fallback places come from the instance's share of the places that
	// holders never grant.
	Fallback Source = "standing"
	// Share places come from the instance's share of the whole capacity, which
	// the holder reserves while the instance is silent.
	Share Source = "share"
	// Resumed places belong to generations that are already running.
	Resumed Source = "resumed"
)

var sources = []Source{OwnZone, OtherZone, Fallback, Share, Resumed}

// Granter is the admission.Granter of an entry instance. The exported fields
// must be set before the first call. It is safe for concurrent use.
type Granter struct {
	Instance string
	Zone     string
	// Address is this instance's peer address.
	Address       string
	Store         platform.Store
	Members       Members
	Caller        peer.Caller
	Endpoints     Endpoints
	Configuration *snapshot.Holder[kind.Configuration]
	Clock         clockwork.Clock
	Log           zerolog.Logger
	// Scope receives the counters. Nil disables them.
	Scope tally.Scope
	// Suspicion and Explain are optional.
	Suspicion *suspicion.Registry
	Explain   *explain.Ring

	once          sync.Once
	began         time.Time
	serial        atomic.Int64
	grantCounters map[Source]tally.Counter
	views         snapshot.Holder[map[string]*views]
	// viewLock serializes writers of views.
	viewLock      sync.Mutex
	syncRequested chan struct{}
	leaving       atomic.Bool

	mu      sync.Mutex
	links   map[Group]*link
	holders map[Group]*holder
	leases  map[Group]*lease.Lease
	records map[Group]lease.Record
	places  map[*admission.Grant]*grantedPlace
	// crashChecks maps the fingerprints of lost requests to channels that are
	// closed when it is known whether the endpoint crashed.
	crashChecks map[uint64]chan struct{}
	// refusedAt maps groups to the last time at which they had no free place.
	refusedAt map[Group]time.Time
}

// grantedPlace is a place that is in use, and the link that it belongs to.
type grantedPlace struct {
	li *link
	pl *place
}

func (gt *Granter) prepare() {
	gt.once.Do(func() {
		if gt.Scope == nil {
			gt.Scope = tally.NoopScope
		}
		gt.grantCounters = metric.Reasons(gt.Scope, "grants", sources)
		gt.began = gt.Clock.Now()
		gt.syncRequested = make(chan struct{}, 1)
		gt.links = make(map[Group]*link)
		gt.holders = make(map[Group]*holder)
		gt.leases = make(map[Group]*lease.Lease)
		gt.records = make(map[Group]lease.Record)
		gt.places = make(map[*admission.Grant]*grantedPlace)
		gt.crashChecks = make(map[uint64]chan struct{})
		gt.refusedAt = make(map[Group]time.Time)
		gt.views.Store(&map[string]*views{})
	})
}

// newKey returns a key that is unique among all Acquire calls of all
// instances.
func (gt *Granter) newKey() string {
	return gt.processName() + "-" + strconv.FormatInt(gt.serial.Add(1), 36)
}

// processName returns a name that a later process of the same instance does not
// have.
func (gt *Granter) processName() string {
	return gt.Instance + "-" + strconv.FormatInt(gt.began.UnixNano(), 36)
}

// viewsOf returns the member views of a zone, which are empty if the zone is
// unknown.
func (gt *Granter) viewsOf(zone string) *views {
	if vi, found := (*gt.views.Load())[zone]; found {
		return vi
	}
	return &views{}
}

// link returns the link of a group and creates it if there is none yet.
func (gt *Granter) link(gr Group) *link {
	gt.prepare()
	gt.mu.Lock()
	defer gt.mu.Unlock()
	li, found := gt.links[gr]
	if !found {
		li = newLink(gr, gt.Clock.Now(), func() bool { return gr.Zone == gt.Zone || gt.isCandidate(gr.Zone) })
		gt.links[gr] = li
	}
	return li
}

// isCandidate reports whether this instance may hold the zone's leases and has
// a share of its endpoints.
func (gt *Granter) isCandidate(zone string) bool {
	for _, name := range gt.viewsOf(zone).newest() {
		if name == gt.Instance {
			return true
		}
	}
	return false
}

// holder returns the decision core of a group, or nil if this instance does
// not hold the lease.
func (gt *Granter) holder(gr Group) *holder {
	gt.prepare()
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.holders[gr]
}

// holderOf returns the peer address of a group's holder: that of the lease
// record or of the last exchange, whichever has the higher epoch.
func (gt *Granter) holderOf(gr Group) (address string, ok bool) {
	address, epoch := gt.link(gr).lastHolder()
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if re, found := gt.records[gr]; found && re.Epoch > epoch {
		address = re.Address
	}
	return address, address != ""
}

// call calls a method of another instance. Calls to this instance bypass the
// network.
func (gt *Granter) call(ctx context.Context, address, method string, args, reply any) error {
	if address != gt.Address {
		return gt.Caller.Call(ctx, address, ServiceName+"."+method, args, reply)
	}
	se := gt.Service()
	switch args := args.(type) {
	case *AcquireArgs:
		return se.Acquire(args, reply.(*AcquireReply))
	case *SyncArgs:
		return se.Sync(args, reply.(*SyncReply))
	case *InFlightArgs:
		return se.InFlight(args, reply.(*InFlightReply))
	case *ViewArgs:
		return se.View(args, reply.(*ViewReply))
	default:
		return se.Probe(args.(*ProbeArgs), reply.(*ProbeReply))
	}
}

// requestSync makes the sync loop send without waiting for the next
// SyncInterval.
func (gt *Granter) requestSync() {
	select {
	case gt.syncRequested <- struct{}{}:
	default:
	}
}

// Release implements admission.Granter. It ignores grants that it does not
// know or that were already released.
func (gt *Granter) Release(gr *admission.Grant, ou admission.Outcome) {
	gt.mu.Lock()
	it, found := gt.places[gr]
	delete(gt.places, gr)
	gt.mu.Unlock()
	if !found {
		return
	}
	gt.Explain.Add(gr.Request.ID, explain.Event{Step: explain.Released, Endpoint: it.pl.endpoint, Reason: string(ou.Result)})
	gt.recordOutcome(it.pl, ou.Result)
	it.li.finish(it.pl.key, ou)
	gt.requestSync()
}
