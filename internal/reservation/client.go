package reservation

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/ratelimit"
)

const (
	// minInstances is the number of instances of a zone from which on they ask an
	// allocator. Fewer learn of each other's requests soon enough.
	minInstances = 4
	// askTimeout limits a call to an allocator, beyond the time that a request waits
	// there.
	askTimeout = 80 * time.Millisecond
	// askPause is the time for which an instance that did not answer is not asked again.
	askPause = time.Second
)

// outcome is what came of asking for an engine.
type outcome string

const (
	outcomeGranted outcome = "granted"
	// outcomeWaited means that the request waited before it was granted an engine.
	outcomeWaited outcome = "waited"
	// outcomeOtherZone means that another zone's allocator granted the engine.
	outcomeOtherZone outcome = "other_zone"
	// outcomeAlone means that the instance has to choose by itself.
	outcomeAlone   outcome = "alone"
	outcomeRefused outcome = "refused"
)

var outcomes = []outcome{outcomeGranted, outcomeWaited, outcomeOtherZone, outcomeAlone, outcomeRefused}

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
	// skips has the instances that did not answer recently.
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

// Reserve asks the allocator of the zone for an engine and waits there until one has
// room. It returns nil and no error if this instance has to choose by itself. An error is
// of type *Error.
func (cl *Client) Reserve(ctx context.Context, re Request) (*Grant, error) {
	zone := cl.Peers.Self.Zone
	vi := cl.Peers.Zone(zone, re.Service)
	if vi.Alive < minInstances {
		return nil, nil
	}
	as := &asking{cl: cl, ctx: ctx, begun: cl.Boot.Now(), args: TakeArgs{Request: re, Zone: zone, From: cl.Peers.Self.Name}}
	reply, cause := as.take()
	if reply.Decision == Granted && reply.OtherZone != "" {
		gr, declined := as.takeElsewhere(reply)
		if gr != nil {
			return gr, nil
		}
		if declined && reply.MaxCost == 0 {
			// No engine of the own zone has room, nor does one of the other.
			as.grant(reply).Settle()
			as.args.Within = true
			reply, cause = as.take()
		}
	}
	return as.finish(reply, cause)
}

// asking is the state of one Reserve, or of its call to another zone's allocator.
type asking struct {
	cl    *Client
	ctx   context.Context
	begun time.Duration
	args  TakeArgs
	// allocator is the instance that was asked last.
	allocator loadshare.Member
	// waited is set once the allocator has let the request wait.
	waited bool
}

// finish returns what Reserve does for the last answer. cause is as in ask.
func (as *asking) finish(reply TakeReply, cause string) (*Grant, error) {
	switch reply.Decision {
	case Granted:
		gr := as.grant(reply)
		ou := outcomeGranted
		if as.waited {
			ou = outcomeWaited
		}
		as.logGrant(gr, ou)
		return gr, nil
	case Full:
		return nil, as.refuse(reply)
	case Waiting:
		as.leave()
		return nil, &Error{Op: "reserve", Kind: Left}
	default:
		as.cl.count(outcomeAlone)
		as.cl.Log.Info().Str("event", "reservation_alone").Str("request", as.args.Request.ID).Str("allocator", as.allocator.Name).
			Str("cause", cause).Dur("took", as.cl.Boot.Now()-as.begun).Msg("reservation: choosing without the zone's allocator")
		return nil, nil
	}
}

// take asks the allocator of the own zone, again and again as long as the request waits
// there. The result is Waiting only if the caller left. The string is as in ask.
func (as *asking) take() (TakeReply, string) {
	re := &as.args.Request
	onTime, remaining, maxWait := re.OnTime, re.Remaining, re.MaxWait
	for {
		elapsed := as.cl.Boot.Now() - as.begun
		re.OnTime, re.Remaining = onTime-elapsed, remaining-elapsed
		// A request that may wait keeps a positive MaxWait: zero means an engine without room.
		re.MaxWait = max(maxWait-elapsed, min(maxWait, time.Millisecond))
		reply, cause := as.ask()
		if reply.Decision != Waiting || as.ctx.Err() != nil {
			return reply, cause
		}
		as.waited, as.args.Hold = true, maxHold
	}
}

// takeElsewhere asks the allocator of another zone for an engine there that is better than
// the one of the own zone. If it returns nil, declined tells whether that allocator has
// none.
func (as *asking) takeElsewhere(own TakeReply) (gr *Grant, declined bool) {
	other := &asking{cl: as.cl, ctx: as.ctx, begun: as.begun, args: as.args}
	other.args.Zone, other.args.Within, other.args.Foreign, other.args.MaxCost = own.OtherZone, true, true, own.MaxCost
	reply, _ := other.ask()
	if reply.Decision != Granted {
		return nil, reply.Decision == NoEngine
	}
	as.grant(own).Settle()
	gr = other.grant(reply)
	other.logGrant(gr, outcomeOtherZone)
	return gr, false
}

// ask asks an allocator once. If the instance has to choose by itself, the string tells
// the cause for the log.
func (as *asking) ask() (TakeReply, string) {
	cl, now := as.cl, as.cl.Boot.Now()
	as.args.Without = cl.skips.List(now)
	vi := cl.Peers.Zone(as.args.Zone, as.args.Request.Service, as.args.Without...)
	if vi.Allocator == nil {
		return TakeReply{}, "none"
	}
	as.allocator = *vi.Allocator
	late := *as
	an, answered := peer.Ask(as.ctx, late.call, func(an taken) {
		if an.err == nil && an.reply.Decision == Granted {
			late.grant(an.reply).Settle()
		}
	})
	if !answered {
		return TakeReply{Decision: Waiting}, ""
	}
	if an.err != nil || an.reply.Decision == NotAllocator {
		cl.skips.Add(as.allocator.Name, now+askPause)
	}
	if an.err != nil {
		return TakeReply{}, an.err.Error()
	}
	return describe(an.reply)
}

// taken is the answer of an allocator, or the error of the call.
type taken struct {
	reply TakeReply
	err   error
}

// call asks the allocator that ask has found.
func (as *asking) call() taken {
	cl := as.cl
	if as.allocator.Name == cl.Peers.Self.Name {
		return taken{reply: cl.Allocator.Take(as.args)}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(as.ctx), as.args.Hold+askTimeout)
	defer cancel()
	var re TakeReply
	err := cl.Caller.Call(ctx, as.allocator.Address.String(), ServiceName+".Take", as.args, &re)
	return taken{reply: re, err: err}
}

// describe returns an answer and, if it means that the instance has to choose by itself,
// the cause.
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

// grant returns the grant of an answer.
func (as *asking) grant(re TakeReply) *Grant {
	return &Grant{Endpoint: re.Endpoint, Cost: re.Cost, Load: re.Load, id: re.Grant, allocator: as.allocator.Name, client: as.cl}
}

// logGrant counts and logs a grant.
func (as *asking) logGrant(gr *Grant, ou outcome) {
	as.cl.count(ou)
	as.cl.Log.Info().Str("event", "reservation_granted").Str("request", as.args.Request.ID).Str("endpoint", gr.Endpoint).Str("allocator", gr.allocator).
		Float64("cost_ms", gr.Cost).Int("priority", as.args.Request.Priority).Dur("waited", as.cl.Boot.Now()-as.begun).Msg("reservation: engine granted")
}

// refuse counts and logs a request for which there is no room in time, and returns its
// error.
func (as *asking) refuse(re TakeReply) *Error {
	er := &Error{Op: "reserve", Kind: Refused, After: re.After}
	if as.waited {
		er.Kind = NoRoom
	}
	as.cl.count(outcomeRefused)
	as.cl.Log.Info().Str("event", "reservation_refused").Str("request", as.args.Request.ID).Str("allocator", as.allocator.Name).
		Str("cause", string(er.Kind)).Dur("expected", re.After).Dur("waited", as.cl.Boot.Now()-as.begun).Msg("reservation: no engine has room in time")
	return er
}

// leave tells the allocator that the request no longer waits.
func (as *asking) leave() {
	cl, ar := as.cl, LeaveArgs{Service: as.args.Request.Service, ID: as.args.Request.ID}
	if as.allocator.Name == cl.Peers.Self.Name {
		cl.Allocator.Leave(ar)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(as.ctx), askTimeout)
	defer cancel()
	var re LeaveReply
	// If the call gets lost, the allocator drops the request after renewal.
	_ = cl.Caller.Call(ctx, as.allocator.Address.String(), ServiceName+".Leave", ar, &re)
}

func (cl *Client) count(ou outcome) { cl.counters.Count(cl.Scope, "reservations", outcomes, ou) }
