package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/plan"
)

// ServiceName is the name under which Service is registered with a peer.Server.
const ServiceName = "Control"

// callTimeout is the timeout of a call to another instance.
const callTimeout = time.Second

// Service is the RPC service for other instances.
type Service struct {
	Control *Control
}

// Empty is the argument of a call without arguments.
type Empty struct{}

// StopArgs identifies the instance to stop.
type StopArgs struct {
	Name string
	// Started is the start time in Unix milliseconds, which tells the instance
	// from another one of the same name. Zero matches any start time.
	Started int64
}

// Report returns the status of this instance. It reads the version before the
// counts, so that a count of zero holds for that version.
func (se *Service) Report(_ Empty, re *plan.Report) error {
	*re = se.Control.report()
	return nil
}

func (co *Control) report() plan.Report {
	re := plan.Report{Name: co.Self.Name, Zone: co.Self.Zone, Started: co.Self.Started, Standing: co.State.Standing()}
	re.InFlight = co.counter.InFlight()
	return re
}

// errWrongInstance says that a call of Stop was meant for another instance.
var errWrongInstance = errors.New("another instance has this address")

// Stop starts the graceful shutdown of this instance. It is idempotent.
func (se *Service) Stop(args StopArgs, ok *bool) error {
	self := se.Control.Self
	if args.Name != self.Name || (args.Started != 0 && args.Started != self.Started.UnixMilli()) {
		return errWrongInstance
	}
	*ok = true
	se.Control.Stop()
	return nil
}

// Reports implements plan.Fleet.
func (co *Control) Reports(ctx context.Context) []plan.Answer {
	var present []member.Member
	for _, me := range co.View().Members {
		if me.Present() {
			present = append(present, me)
		}
	}
	answers := make([]plan.Answer, len(present))
	var wg sync.WaitGroup
	for ix, me := range present {
		wg.Go(func() { answers[ix] = co.requestReport(ctx, me) })
	}
	wg.Wait()
	return answers
}

func (co *Control) requestReport(ctx context.Context, me member.Member) plan.Answer {
	an := plan.Answer{Member: me}
	if me.Name == co.Self.Name {
		an.Report = co.report()
		return an
	}
	ctx, cancel := clockwork.WithTimeout(ctx, co.Clock, callTimeout)
	defer cancel()
	an.Err = co.Caller.Call(ctx, me.Peer, ServiceName+".Report", Empty{}, &an.Report)
	return an
}

// StopMember implements plan.Fleet. For this instance it calls Stop directly.
func (co *Control) StopMember(ctx context.Context, me member.Member) error {
	args := StopArgs{Name: me.Name}
	if me.Started.UnixMilli() > 0 {
		args.Started = me.Started.UnixMilli()
	}
	if me.Name == co.Self.Name {
		co.Stop()
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, co.Clock, callTimeout)
	defer cancel()
	var ok bool
	return co.Caller.Call(ctx, me.Peer, ServiceName+".Stop", args, &ok)
}
