package allocation

import (
	"context"
	"errors"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// wire carries the calls of one instance and injects faults.
type wire struct {
	wo   *world
	from string
}

// pathKey returns the name of the path between two instances, the same in both
// directions.
func pathKey(le, ri string) string { return min(le, ri) + "|" + max(le, ri) }

// pathFault reports whether the path is interrupted, and whether this message
// is lost at random.
func (wi *wire) pathFault(to string) (interrupted, lost bool) {
	wi.wo.mu.Lock()
	defer wi.wo.mu.Unlock()
	return wi.wo.interrupted[pathKey(wi.from, to)], wi.wo.rn.Float64() < wi.wo.loss
}

// Call implements peer.Caller.
func (wi *wire) Call(ctx context.Context, address, method string, args, reply any) error {
	done := make(chan error, 1)
	var answer any
	go func() { done <- wi.roundTrip(address, method, args, &answer) }()
	select {
	case err := <-done:
		if err == nil {
			copyReply(answer, reply)
		}
		return err
	case <-ctx.Done():
		return &peer.Error{Op: method, Peer: address, Kind: peer.Lost, Err: ctx.Err()}
	}
}

// roundTrip makes the call at the other instance and stores the reply in into.
// A reply may be lost after the call had its effect.
func (wi *wire) roundTrip(address, method string, args any, into *any) error {
	wi.wo.awaitResume(wi.from)
	time.Sleep(callDelay)
	if interrupted, lost := wi.pathFault(address); interrupted || lost {
		return &peer.Error{Op: method, Peer: address, Kind: peer.Lost, Err: errors.New("path interrupted or message lost")}
	}
	wi.wo.awaitResume(address)
	if err := wi.serve(address, method, args, into); err != nil {
		return err
	}
	wi.wo.awaitResume(address)
	time.Sleep(callDelay)
	wi.wo.awaitResume(wi.from)
	if interrupted, lost := wi.pathFault(address); interrupted || lost {
		return &peer.Error{Op: method, Peer: address, Kind: peer.Lost, Err: errors.New("reply lost")}
	}
	return nil
}

func (wi *wire) serve(address, method string, args any, into *any) error {
	ix := slices.IndexFunc(wi.wo.instances, func(in *instance) bool { return in.name == address })
	if ix < 0 {
		return &peer.Error{Op: method, Peer: address, Kind: peer.Unreachable, Err: errors.New("no such instance")}
	}
	gt := wi.wo.instances[ix].gt
	switch args := args.(type) {
	case *AcquireArgs:
		return handle(wi, args, into, gt.Service().Acquire)
	case *SyncArgs:
		return handle(wi, args, into, gt.Service().Sync)
	case *InFlightArgs:
		return handle(wi, args, into, gt.Service().InFlight)
	case *ProbeArgs:
		return handle(wi, args, into, gt.Service().Probe)
	case *ViewArgs:
		return handle(wi, args, into, gt.Service().View)
	case *suspicion.Case:
		return handle(wi, args, into, gt.Suspicion.Service().Share)
	case *suspicion.Query:
		return handle(wi, args, into, gt.Suspicion.Service().All)
	}
	return errors.New("unknown method " + method)
}

// handle calls method with a copy of args and stores the reply in into.
func handle[A, R any](wi *wire, args *A, into *any, method func(*A, *R) error) error {
	got := *args
	reply := new(R)
	*into = reply
	wi.wo.mu.Lock()
	wi.wo.messages += 2
	wi.wo.mu.Unlock()
	return method(&got, reply)
}

// copyReply copies a reply into the caller's variable.
func copyReply(from, to any) {
	switch from := from.(type) {
	case *AcquireReply:
		*to.(*AcquireReply) = *from
	case *SyncReply:
		*to.(*SyncReply) = *from
	case *InFlightReply:
		*to.(*InFlightReply) = *from
	case *ProbeReply:
		*to.(*ProbeReply) = *from
	case *ViewReply:
		*to.(*ViewReply) = *from
	case *suspicion.Reply:
		*to.(*suspicion.Reply) = *from
	}
}

// faultyStore is the platform as one instance reaches it, with faults.
type faultyStore struct {
	*platformfake.Store
	wo   *world
	name string
}

// access delays an operation and fails it if the instance cannot reach the
// platform.
func (fs *faultyStore) access(op string) error {
	fs.wo.awaitResume(fs.name)
	time.Sleep(callDelay)
	fs.wo.mu.Lock()
	defer fs.wo.mu.Unlock()
	if fs.wo.offline[fs.name] {
		return &platform.Error{Op: op, Kind: platform.Unavailable}
	}
	return nil
}

// List implements platform.Store.
func (fs *faultyStore) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := fs.access("list"); err != nil {
		return platform.Listing{}, err
	}
	return fs.Store.List(ctx, prefix)
}

// Update implements platform.Store.
func (fs *faultyStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if err := fs.access("update"); err != nil {
		return 0, err
	}
	version, err := fs.Store.Update(ctx, key, previous, value)
	fs.wo.awaitResume(fs.name)
	return version, err
}

// Instances implements platform.Store.
func (fs *faultyStore) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := fs.access("instances"); err != nil {
		return nil, err
	}
	return fs.Store.Instances(ctx)
}
