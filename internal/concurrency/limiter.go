package concurrency

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
)

const (
	// askTimeout limits a call to the allocator, beyond the time that the request waits
	// there.
	askTimeout = 80 * time.Millisecond
	// maxAllocatorWait is the longest time that a request waits at the allocator. It is
	// shorter than the time that a call may take.
	maxAllocatorWait = peer.CallTimeout - 500*time.Millisecond
	// askPause is the time for which an allocator that did not answer is not asked
	// again.
	askPause = time.Second
	// turnPeriod is the length of a turn of instances that can't ask the allocator.
	turnPeriod = 500 * time.Millisecond
)

// Limiter takes slots of endpoints for the requests of this instance. It implements
// backpressure.Slots. Set the exported fields before use. It is safe for concurrent use.
type Limiter struct {
	Peers *ratelimit.Peers
	// Allocator is that of this instance.
	Allocator *Allocator
	Caller    peer.Caller
	Boot      boottime.Clock

	// IsBrittle reports whether an endpoint says that it is brittle. Only then are requests
	// in progress reported to its allocator. If it is nil, none are.
	IsBrittle func(en roster.Endpoint) bool
	// Running returns how many requests all instances have in progress at an endpoint, as
	// far as this one knows. Without an allocator, none is sent beyond the endpoint's
	// slots. If it is nil, that is not known.
	Running func(id string) int

	// reports numbers the reports.
	reports atomic.Uint64
	// skips has the instances that did not answer recently.
	skips peer.Skips
	mu    sync.Mutex
	// alone has the endpoints with a request that was sent without asking, aloneAfter
	// those that turned one away, and when the next may be sent.
	alone      map[key]bool
	aloneAfter map[key]time.Duration
	// inProgress has the endpoints with requests of this instance, epochs the processes
	// of the allocators.
	inProgress map[key]*progress
	epochs     map[string]int64
}

// Enter implements backpressure.Slots.
func (li *Limiter) Enter(en roster.Endpoint) backpressure.Use { return li.enter(en, grantor{}, nil) }

// Take implements backpressure.Slots.
func (li *Limiter) Take(ctx context.Context, en roster.Endpoint, maxWait, lease time.Duration) (us backpressure.Use, wait time.Duration, taken bool) {
	ar := TakeArgs{Endpoint: en.ID, Started: en.Started, Zone: en.Zone, Slots: max(en.Slots, 1), MaxWait: min(maxWait, maxAllocatorWait), Lease: lease}
	vi := li.Peers.View(en.ID, en.Zone)
	if vi.Allocator == nil {
		return li.takeTurn(en, ar, vi)
	}
	giveBack := func(slot uint64, turnedAway bool) {
		if slot > 0 {
			rel := ReleaseArgs{Endpoint: en.ID, Started: en.Started, Slot: slot, TurnedAway: turnedAway}
			li.release(vi.Allocator.Name, vi.Allocator.Address.String(), rel)
		}
	}
	re, answered := peer.Ask(ctx, func() TakeReply { return li.ask(ctx, vi, ar) }, func(re TakeReply) { giveBack(re.Slot, false) })
	switch {
	case !answered:
		return nil, retryAfter, false
	case !re.IsAllocator:
		return li.takeTurn(en, ar, vi)
	case re.Slot == 0:
		return nil, retryAfter, false
	}
	li.learnEpoch(vi.Allocator.Name, re.Epoch)
	gr := grantor{instance: vi.Allocator.Name, epoch: re.Epoch}
	return li.enter(en, gr, func(turnedAway bool) { giveBack(re.Slot, turnedAway) }), 0, true
}

// ask asks the allocator. IsAllocator is not set in the answer if it does not answer.
func (li *Limiter) ask(ctx context.Context, vi ratelimit.View, ar TakeArgs) TakeReply {
	if vi.Allocator.Name == li.Peers.Self.Name {
		return li.Allocator.Take(ar)
	}
	name, now := vi.Allocator.Name, li.Boot.Now()
	if li.skips.Has(name, now) {
		return TakeReply{}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ar.MaxWait+askTimeout)
	defer cancel()
	var re TakeReply
	if err := li.Caller.Call(ctx, vi.Allocator.Address.String(), ServiceName+".Take", ar, &re); err != nil || !re.IsAllocator {
		li.skips.Add(name, now+askPause)
		return TakeReply{}
	}
	return re
}

// release gives a slot back. If the message is lost, the slot's lease ends it.
func (li *Limiter) release(name, address string, rel ReleaseArgs) {
	if name == li.Peers.Self.Name {
		li.Allocator.Release(rel)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var re ReleaseReply
		_ = li.Caller.Call(ctx, address, ServiceName+".Release", rel, &re)
	}()
}

// takeTurn lets the instance send one request at a time without an allocator while it is
// its turn.
func (li *Limiter) takeTurn(en roster.Endpoint, ar TakeArgs, vi ratelimit.View) (us backpressure.Use, wait time.Duration, taken bool) {
	groups := uint64((max(vi.Total, 1) + ar.Slots - 1) / ar.Slots)
	now := li.Boot.Now()
	turn := uint64(now / turnPeriod)
	if turn%groups != li.groupOf(li.Peers.Self.Name, ar.Endpoint, groups) {
		return nil, turnPeriod - now%turnPeriod, false
	}
	ke := ar.key()
	if !li.mayHaveRoom(ar, turn, groups) || !li.beginTurn(ke, now) {
		return nil, retryAfter, false
	}
	return li.enter(en, grantor{}, func(turnedAway bool) { li.endTurn(ke, turnedAway) }), 0, true
}

// groupOf returns the number of the group with which an instance has its turn.
func (li *Limiter) groupOf(name, endpoint string, groups uint64) uint64 {
	return xxhash.Sum64String(endpoint+"/"+name) % groups
}

// mayHaveRoom reports whether the endpoint has room for a request of this instance, if each
// instance before it sends one, too. Their order changes with each turn. Without it, all
// instances of a group would send a request for one free slot.
func (li *Limiter) mayHaveRoom(ar TakeArgs, turn, groups uint64) bool {
	if li.Running == nil {
		return true
	}
	running := li.Running(ar.Endpoint)
	if running == 0 || running >= ar.Slots {
		return running == 0
	}
	place := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprint(ar.Endpoint, "/", name, "/", turn)) }
	own, before := place(li.Peers.Self.Name), 0
	for _, me := range li.Peers.Members.List() {
		if li.groupOf(me.Name, ar.Endpoint, groups) == turn%groups && place(me.Name) < own {
			before++
		}
	}
	return running+before < ar.Slots
}

// beginTurn reports whether no request is in progress that was sent without asking, and
// none was turned away recently.
func (li *Limiter) beginTurn(ke key, now time.Duration) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.alone[ke] || now < li.aloneAfter[ke] {
		return false
	}
	delete(li.aloneAfter, ke)
	if li.alone == nil {
		li.alone = make(map[key]bool)
	}
	li.alone[ke] = true
	return true
}

func (li *Limiter) endTurn(ke key, turnedAway bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	delete(li.alone, ke)
	if !turnedAway {
		return
	}
	if li.aloneAfter == nil {
		li.aloneAfter = make(map[key]time.Duration)
	}
	li.aloneAfter[ke] = li.Boot.Now() + roomStep
}
