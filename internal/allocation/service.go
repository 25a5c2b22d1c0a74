package allocation

import (
	"time"
)

// Service exposes a Granter to other instances over net/rpc.
type Service struct{ gt *Granter }

// Service returns the receiver to register with peer.Server under ServiceName.
func (gt *Granter) Service() *Service { return &Service{gt: gt} }

// maxWait limits how long a holder keeps an Acquire call open. The caller
// repeats the call with the same key until the request is decided.
const maxWait = time.Second

// Acquire requests a place and waits for the decision for at most args.Wait,
// limited to maxWait. A request that is still undecided by then is reported as
// pending and stays queued.
func (se *Service) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	ho := se.gt.holder(args.Group)
	if ho == nil {
		reply.Failure = NotHolder
		return nil
	}
	rq, failure := ho.submit(se.gt.Clock.Now(), args)
	if failure != "" {
		reply.Failure, reply.Epoch = failure, ho.epoch
		return nil
	}
	timer := se.gt.Clock.NewTimer(min(args.Wait, maxWait))
	defer timer.Stop()
	select {
	case <-rq.done:
	case <-timer.Chan():
	}
	*reply = ho.replyTo(rq)
	return nil
}

// Sync processes the requests that an instance has in flight, for each of the
// groups in args.
func (se *Service) Sync(args *SyncArgs, reply *SyncReply) error {
	for ix := range args.Groups {
		gs := &args.Groups[ix]
		ho := se.gt.holder(gs.Group)
		if ho == nil {
			reply.Groups = append(reply.Groups, GroupReply{Group: gs.Group, Failure: NotHolder})
			continue
		}
		reply.Groups = append(reply.Groups, ho.sync(se.gt.Clock.Now(), args.Instance, gs))
	}
	return nil
}

// InFlight tells a new holder what this instance has in flight. After it has
// answered, this instance rejects grants of earlier epochs that are still on
// the way, because the new holder does not know about them.
func (se *Service) InFlight(args *InFlightArgs, reply *InFlightReply) error {
	li := se.gt.link(args.Group)
	now := se.gt.Clock.Now()
	li.mu.Lock()
	defer li.mu.Unlock()
	if args.Epoch < li.epoch {
		return nil
	}
	li.setHolder(args.Epoch, args.Address)
	li.stamp = max(li.stamp, args.Stamp)
	li.sendUntil = now.Add(disconnectedAfter)
	for _, pl := range li.places {
		pl.sendRequest = true
	}
	reply.Sync = li.nextSync(now)
	li.dirty = true
	return nil
}

// Probe reports whether this instance holds a group's lease.
func (se *Service) Probe(args *ProbeArgs, reply *ProbeReply) error {
	if ho := se.gt.holder(args.Group); ho != nil {
		reply.Epoch, reply.Held = ho.epoch, ho.held()
	}
	return nil
}

// View returns the newest member view that this instance has of a zone.
func (se *Service) View(args *ViewArgs, reply *ViewReply) error {
	se.gt.prepare()
	vi := se.gt.viewsOf(args.Zone)
	reply.Members, reply.Closed = vi.newest(), vi.coversOlder(se.gt.Clock.Now())
	return nil
}
