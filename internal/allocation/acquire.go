package allocation

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/explain"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

const (
	// spilloverAfter is the time that a request waits in its own zone before
	// other zones are asked.
	spilloverAfter = 100 * time.Millisecond
	// fullZoneBackoff is the time for which a zone that had no free place is
	// not asked again while the request is queued in another zone.
	fullZoneBackoff = 200 * time.Millisecond
	// noHolderTimeout limits how long a request waits while no holder can be
	// reached.
	noHolderTimeout = 5 * time.Second
	// noHolderRetryInterval is the time between two attempts to reach a
	// holder.
	noHolderRetryInterval = 50 * time.Millisecond
	// callMargin is added to the holder's wait to cover the round trip.
	callMargin = 500 * time.Millisecond
	// maxGrantAge is the age up to which a grant may be used. An older one was
	// delayed, for example because this process was paused, and the holder may
	// already have treated it as lost.
	maxGrantAge = 5 * time.Second
)

// attempt is the state of one Acquire call.
type attempt struct {
	re         admission.Request
	key        string
	suspect    bool
	began      time.Time
	groupOrder []Group
	// asked contains the groups whose holders may know the key.
	asked map[Group]bool
	// queueGroup is the group at whose holder the request is queued, if queued
	// is true.
	queueGroup   Group
	queued       bool
	wait         time.Duration
	firstRefusal *refusal.Error
}

// Acquire implements admission.Granter. Its errors are of type *refusal.Error.
func (gt *Granter) Acquire(ctx context.Context, re admission.Request) (*admission.Grant, error) {
	gt.prepare()
	cf := gt.Configuration.Load()
	if cf == nil {
		return nil, refusal.New(refusal.NoConfiguration, "this instance has no configuration yet")
	}
	if re.Only != "" {
		return gt.resume(cf, re)
	}
	suspect, er := gt.checkSuspect(ctx, re)
	if er != nil {
		gt.Explain.Add(re.ID, explain.Event{Step: explain.Refused, Reason: er.Error()})
		return nil, er
	}
	at := &attempt{re: re, key: gt.newKey(), suspect: suspect, began: gt.Clock.Now(), wait: spilloverAfter, asked: make(map[Group]bool)}
	gr, er := gt.findPlace(ctx, at)
	gt.withdrawAll(at)
	if er != nil {
		gt.Explain.Add(re.ID, explain.Event{Step: explain.Refused, Reason: er.Error(), WaitedMS: gt.Clock.Since(at.began).Milliseconds()})
		return nil, er
	}
	return gr, nil
}

// withdrawAll withdraws the key from all groups whose holders may know it.
func (gt *Granter) withdrawAll(at *attempt) {
	for gr := range at.asked {
		gt.link(gr).withdraw(at.key)
	}
	clear(at.asked)
}

// resume registers the place of a generation that is already running at the
// endpoint re.Only. It does not ask the holder, which learns of the place from
// the next sync.
func (gt *Granter) resume(cf *kind.Configuration, re admission.Request) (*admission.Grant, error) {
	en, found := cf.Endpoint(re.Only)
	if !found {
		return nil, refusal.New(refusal.NoCapacity, "endpoint "+re.Only+" is not configured any more")
	}
	li := gt.link(Group{Zone: en.Zone, Service: en.Service})
	pl := &place{key: gt.newKey(), re: re, endpoint: en.Name, url: en.URL, sendRequest: true, tokens: new(atomic.Int64)}
	pl.tokens.Store(re.DoneTokens)
	li.mu.Lock()
	li.places[pl.key] = pl
	li.mu.Unlock()
	return gt.registerGrant(li, pl, en, 0, Resumed), nil
}

// findPlace asks the holders in turn until one of them grants a place, the
// request is refused, or ctx ends.
func (gt *Granter) findPlace(ctx context.Context, at *attempt) (*admission.Grant, *refusal.Error) {
	for {
		if er := contextRefusal(ctx); er != nil {
			return nil, er
		}
		cf := gt.Configuration.Load()
		at.groupOrder = gt.groupOrder(cf, at)
		if len(at.groupOrder) == 0 {
			return nil, refusal.New(refusal.NoCapacity, "no endpoint of service "+at.re.Service+" takes new work")
		}
		at.firstRefusal = nil
		if gr := gt.askAll(ctx, at, cf); gr != nil {
			return gr, nil
		}
		if at.queued || ctx.Err() != nil {
			continue
		}
		if at.firstRefusal != nil {
			return nil, at.firstRefusal
		}
		if gt.Clock.Since(at.began) > noHolderTimeout {
			return nil, refusal.New(refusal.NoCapacity, "no allocator is reached and this instance's share is in use")
		}
		gt.sleep(ctx, noHolderRetryInterval)
	}
}

// contextRefusal returns the refusal for a context that has ended, or nil.
func contextRefusal(ctx context.Context) *refusal.Error {
	switch err := ctx.Err(); {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return refusal.Wrap(refusal.DeadlinePassed, "no endpoint was free before the deadline", err)
	default:
		return refusal.Wrap(refusal.CallerGone, "the caller hung up in the queue", err)
	}
}

func (gt *Granter) sleep(ctx context.Context, du time.Duration) {
	select {
	case <-ctx.Done():
	case <-gt.Clock.After(du):
	}
}

// groupOrder returns the groups to ask: first this instance's zone, then the
// other zones of its region, then all others. Zones of the same rank are in
// rendezvous order, so that instances differ in which one they ask first.
func (gt *Granter) groupOrder(cf *kind.Configuration, at *attempt) []Group {
	rank := make(map[Group]int)
	var list []Group
	own, _ := cf.Zone(gt.Zone)
	for _, en := range cf.ServiceEndpoints(at.re.Service) {
		gr := Group{Zone: en.Zone, Service: en.Service}
		if _, found := rank[gr]; found || !usable(cf, en, at.re) {
			continue
		}
		zo, _ := cf.Zone(en.Zone)
		switch {
		case en.Zone == gt.Zone:
			rank[gr] = 0
		case zo.Region == own.Region:
			rank[gr] = 1
		default:
			rank[gr] = 2
		}
		list = append(list, gr)
	}
	slices.SortFunc(list, func(le, ri Group) int {
		if rank[le] != rank[ri] {
			return rank[le] - rank[ri]
		}
		return cmp.Compare(rendezvousScore(le.Zone, gt.Instance), rendezvousScore(ri.Zone, gt.Instance))
	})
	return list
}

// usable reports whether the configuration and the request allow the endpoint.
func usable(cf *kind.Configuration, en kind.Endpoint, re admission.Request) bool {
	return cf.Eligible(en) && kind.Reachable(en.Half, re.Half) && !slices.Contains(re.Exclude, en.Name)
}

// askAll asks each group once. The request is queued at the first holder that
// has no free place. The other holders are only asked for a place that is free
// now. Where no holder can be reached, askAll tries this instance's own share.
func (gt *Granter) askAll(ctx context.Context, at *attempt, cf *kind.Configuration) *admission.Grant {
	queued := false
	for _, gr := range at.groupOrder {
		if ctx.Err() != nil {
			break
		}
		if queued && gt.recentlyFull(gr) {
			continue
		}
		reply, err := gt.ask(ctx, at, gr, queued)
		switch {
		case err != nil:
			if pl := gt.acquireFromShare(cf, gr, at); pl != nil {
				return pl
			}
		case reply.Reason != "":
			gt.noteRefusal(at, gr, &reply)
		case reply.Pending:
			if !queued {
				queued, at.queueGroup, at.wait = true, gr, maxWait
				gt.noteQueued(at, gr)
			}
		default:
			if pl := gt.acceptGrant(at, gr, &reply); pl != nil {
				return pl
			}
		}
	}
	at.queued = queued
	return nil
}

// noteQueued records that the request waits, once per request.
func (gt *Granter) noteQueued(at *attempt, gr Group) {
	if !at.queued {
		gt.Explain.Add(at.re.ID, explain.Event{Step: explain.Queued, Zone: gr.Zone, Reason: "no room yet"})
	}
}

// noteRefusal keeps the first refusal for the caller, and remembers when the
// group had no free place. The remaining groups are still asked, because one of
// them may have a free place.
func (gt *Granter) noteRefusal(at *attempt, gr Group, reply *AcquireReply) {
	er := reply.refusal()
	if er.Reason == refusal.NoCapacity {
		gt.mu.Lock()
		gt.refusedAt[gr] = gt.Clock.Now()
		gt.mu.Unlock()
	}
	if at.firstRefusal == nil {
		at.firstRefusal = er
	}
}

// recentlyFull reports whether the group refused a request for lack of
// capacity within fullZoneBackoff.
func (gt *Granter) recentlyFull(gr Group) bool {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.Clock.Since(gt.refusedAt[gr]) < fullZoneBackoff
}

// ask makes one Acquire call to the holder of a group.
func (gt *Granter) ask(ctx context.Context, at *attempt, gr Group, noWait bool) (AcquireReply, error) {
	var reply AcquireReply
	address, found := gt.holderOf(gr)
	if !found {
		return reply, gr.newError("acquire", NotHolder, nil)
	}
	li := gt.link(gr)
	if !li.hasShare() {
		li.allowMessages(gt.Clock.Now())
	}
	sequence, allowed := li.addWaiting(gt.Clock.Now(), at.key)
	if !allowed {
		return reply, gr.newError("acquire", NoAnswer, errors.New("disconnected from the lease holder; waiting for a probe to be answered"))
	}
	at.asked[gr] = true
	args := AcquireArgs{
		Group: gr, Instance: gt.Instance, Sequence: sequence, Key: at.key, Request: at.re,
		Suspect: at.suspect, NoWait: noWait, Wait: at.wait,
	}
	args.Request.ID = ""
	if noWait {
		args.Wait = 0
	}
	begun := gt.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, args.Wait+callMargin)
	defer cancel()
	if err := gt.call(ctx, address, "Acquire", &args, &reply); err != nil {
		return reply, gr.newError("acquire", NoAnswer, err)
	}
	if reply.Failure != "" {
		return reply, gr.newError("acquire", reply.Failure, nil)
	}
	if gt.Clock.Since(begun) > maxGrantAge && reply.Endpoint != "" {
		return reply, gr.newError("acquire", NoAnswer, errors.New("the reply arrived after the maximum age of a grant; ignoring the grant"))
	}
	return reply, nil
}

// acceptGrant turns a holder's grant into a place. It returns nil if the
// configuration of this instance no longer allows the endpoint, or if the link
// does not accept the grant.
func (gt *Granter) acceptGrant(at *attempt, gr Group, reply *AcquireReply) *admission.Grant {
	cf := gt.Configuration.Load()
	en, found := cf.Endpoint(reply.Endpoint)
	if !found || !cf.Eligible(en) {
		gt.withdrawAll(at)
		at.key = gt.newKey()
		return nil
	}
	li := gt.link(gr)
	address, _ := gt.holderOf(gr)
	pl := &place{key: at.key, re: at.re, endpoint: en.Name, url: en.URL, suspect: at.suspect, tokens: new(atomic.Int64)}
	if !li.accept(pl, reply.Epoch, address) {
		return nil
	}
	source := OwnZone
	if gr.Zone != gt.Zone {
		source = OtherZone
	}
	return gt.registerGrant(li, pl, en, reply.Priority, source)
}

// registerGrant returns the grant for a place and remembers it for Release.
func (gt *Granter) registerGrant(li *link, pl *place, en kind.Endpoint, priority int, source Source) *admission.Grant {
	gr := &admission.Grant{Request: pl.re, Endpoint: en, Priority: priority, Tokens: pl.tokens}
	gt.mu.Lock()
	gt.places[gr] = &grantedPlace{li: li, pl: pl}
	gt.mu.Unlock()
	gt.grantCounters[source].Inc(1)
	gt.Explain.Add(pl.re.ID, explain.Event{Step: explain.Granted, Zone: en.Zone, Endpoint: en.Name, Reason: string(source)})
	return gr
}
