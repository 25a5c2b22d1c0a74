package reservation

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/ratelimit"
)

const (
	// minInstances is the number of instances of a zone from which on they ask an
	// allocator. Fewer hear of each other's requests soon enough.
	minInstances = 4
	// askTimeout limits a call to an allocator, which delays a request.
	askTimeout = 80 * time.Millisecond
	// askPause is the time for which an allocator that did not answer is not asked
	// again.
	askPause = time.Second
)

// outcome is what came of asking for an engine.
type outcome string

const (
	outcomeGranted outcome = "granted"
	// outcomeOtherZone means that another zone's allocator granted the engine.
	outcomeOtherZone outcome = "other_zone"
	outcomeAlone     outcome = "alone"
)

var outcomes = []outcome{outcomeGranted, outcomeOtherZone, outcomeAlone}

// Client asks the allocator of the zone for engines. Set the exported fields before use.
// It is safe for concurrent use.
type Client struct {
	Peers *ratelimit.Peers
	// Allocator is that of this instance.
	Allocator *Allocator
	Caller    peer.Caller
	Boot      boottime.Clock
	Log       zerolog.Logger
	// Scope receives the counters. Nil counts nothing.
	Scope tally.Scope

	counters metric.Events[outcome]
	// skips has the instances that did not answer lately.
	skips peer.Skips

	mu sync.Mutex
	// settled are the grants that load messages name as included.
	settled []settledGrant
}

// Grant is an engine that the request got.
type Grant struct {
	Endpoint string
	Cost     float64
	Load     placement.Load

	id        uint64
	allocator string
	client    *Client
}

// Reserve asks the allocator of the zone for an engine. It returns nil and no error if
// this instance has to choose by itself. An error is of type *Error.
func (cl *Client) Reserve(ctx context.Context, re Request) (*Grant, error) {
	zone := cl.Peers.Self.Zone
	vi := cl.Peers.Zone(zone, re.Service)
	if vi.Alive < minInstances {
		return nil, nil
	}
	ar := TakeArgs{Request: re, Zone: zone, From: cl.Peers.Self.Name}
	begun := cl.Boot.Now()
	reply, why := cl.ask(ctx, vi, ar)
	if reply.Decision != Granted {
		cl.counters.Count(cl.Scope, "reservations", outcomes, outcomeAlone)
		cl.Log.Info().Str("event", "reservation_alone").Str("request", re.ID).Str("allocator", vi.Allocator.Name).
			Str("cause", why).Dur("took", cl.Boot.Now()-begun).Msg("reservation: choosing without the zone's allocator")
		return nil, nil
	}
	gr := &Grant{Endpoint: reply.Endpoint, Cost: reply.Cost, Load: reply.Load, id: reply.Grant, allocator: vi.Allocator.Name, client: cl}
	ou := outcomeGranted
	if other := cl.askOtherZone(ctx, ar, reply); other != nil {
		gr.Settle()
		gr, ou = other, outcomeOtherZone
	}
	cl.counters.Count(cl.Scope, "reservations", outcomes, ou)
	cl.Log.Info().Str("event", "reservation_granted").Str("request", re.ID).Str("endpoint", gr.Endpoint).Str("allocator", gr.allocator).
		Float64("cost_ms", gr.Cost).Dur("waited", cl.Boot.Now()-begun).Msg("reservation: engine granted")
	return gr, nil
}

// askOtherZone asks the allocator of another zone for an engine there that is better than
// the one of the own zone. It returns nil if there is none.
func (cl *Client) askOtherZone(ctx context.Context, ar TakeArgs, reply TakeReply) *Grant {
	if reply.OtherZone == "" {
		return nil
	}
	vi := cl.Peers.Zone(reply.OtherZone, ar.Request.Service)
	ar.Zone, ar.Within, ar.MaxCost = reply.OtherZone, true, reply.MaxCost
	re, _ := cl.ask(ctx, vi, ar)
	if re.Decision != Granted {
		return nil
	}
	return &Grant{Endpoint: re.Endpoint, Cost: re.Cost, Load: re.Load, id: re.Grant, allocator: vi.Allocator.Name, client: cl}
}

// ask asks an allocator. If it does not answer with a grant, ask returns why.
func (cl *Client) ask(ctx context.Context, vi ratelimit.ZoneView, ar TakeArgs) (TakeReply, string) {
	if vi.Allocator == nil {
		return TakeReply{}, "none"
	}
	name, now := vi.Allocator.Name, cl.Boot.Now()
	if name == cl.Peers.Self.Name {
		return describe(cl.Allocator.Take(ar))
	}
	if cl.skips.Has(name, now) {
		return TakeReply{}, "silent"
	}
	// A canceled call would close the connection, which other requests use, too.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	var re TakeReply
	if err := cl.Caller.Call(ctx, vi.Allocator.Address.String(), ServiceName+".Take", ar, &re); err != nil {
		cl.skips.Add(name, now+askPause)
		return TakeReply{}, err.Error()
	}
	if re.Decision == NotAllocator {
		cl.skips.Add(name, now+askPause)
	}
	return describe(re)
}

// describe returns an answer and, if it is no grant, its meaning.
func describe(re TakeReply) (TakeReply, string) {
	switch re.Decision {
	case NotAllocator:
		return re, "not_allocator"
	case NoEngine:
		return re, "no_engine"
	default:
		return re, ""
	}
}
