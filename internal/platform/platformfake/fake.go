// Package platformfake is an in-memory platform.Store for tests. It simulates the
// failures of the real platform.
//
// # Usage
//
//	st := platformfake.New()
//	st.SetFault(platformfake.LoseResponses) // writes take effect, responses are lost
//	other := st.Connect()                 // same objects, separate faults
//	old := st.Snapshot()
//	st.Restore(old)                       // as an operator restores a backup
package platformfake

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"filbertstall.example/filbertstall/internal/platform"
)

// Store is an in-memory platform.Store. It is safe for concurrent use.
type Store struct {
	*sharedState
	faultInjector
}

// sharedState is the state that all connections to one store share.
type sharedState struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	// events are the changes that watches return, in order of version.
	events    []platform.Object
	revision  int64
	instances []platform.Instance
	// previous is the list of instances before the last SetInstances, which
	// StaleLists returns.
	previous []platform.Instance
	// changed is closed and replaced when objects change.
	changed chan struct{}
	reads   int
	writes  int
}

// New returns an empty store.
func New() *Store {
	return &Store{sharedState: &sharedState{objects: make(map[string]platform.Object), changed: make(chan struct{})}}
}

// Connect returns another connection to the same objects. Each connection has its
// own faults, so that a test can isolate one instance from the store and leave
// another connected.
func (st *Store) Connect() *Store { return &Store{sharedState: st.sharedState} }

// SetInstances replaces the list of instances.
func (ss *sharedState) SetInstances(list []platform.Instance) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.previous = ss.instances
	ss.instances = slices.Clone(list)
}

// Calls returns the numbers of reads and writes. Reads include watches that still
// wait.
func (ss *sharedState) Calls() (reads, writes int) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.reads, ss.writes
}

// Snapshot returns a copy of all objects.
func (ss *sharedState) Snapshot() map[string]platform.Object {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	objects := make(map[string]platform.Object, len(ss.objects))
	for key, ob := range ss.objects {
		objects[key] = ob
	}
	return objects
}

// Restore replaces all objects by those of a snapshot, as an operator of the
// platform does from a backup. Versions go back to those of the snapshot.
func (ss *sharedState) Restore(objects map[string]platform.Object) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.objects = make(map[string]platform.Object, len(objects))
	ss.revision = 0
	ss.events = nil
	for key, ob := range objects {
		ss.objects[key] = ob
		ss.revision = max(ss.revision, ob.Version)
		ss.events = append(ss.events, ob)
	}
	slices.SortFunc(ss.events, func(le, ri platform.Object) int { return int(le.Version - ri.Version) })
	ss.notifyWatchers()
}

func (ss *sharedState) notifyWatchers() {
	close(ss.changed)
	ss.changed = make(chan struct{})
}

// Get implements platform.Store.
func (st *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := st.inject(ctx, st.sharedState, "get", key); err != nil {
		return platform.Object{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	ob, found := st.objects[key]
	if !found {
		return platform.Object{}, &platform.Error{Op: "get", Key: key, Kind: platform.NotFound}
	}
	return ob, nil
}

// List implements platform.Store.
func (st *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := st.inject(ctx, st.sharedState, "list", prefix); err != nil {
		return platform.Listing{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	li := platform.Listing{Revision: st.revision}
	for key, ob := range st.objects {
		if strings.HasPrefix(key, prefix) {
			li.Objects = append(li.Objects, ob)
		}
	}
	slices.SortFunc(li.Objects, func(le, ri platform.Object) int { return strings.Compare(le.Key, ri.Key) })
	return li, nil
}

// Update implements platform.Store.
func (st *Store) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, &platform.Error{Op: "update", Key: key, Kind: platform.Rejected}
	}
	return st.write(ctx, "update", previous, platform.Object{Key: key, Value: slices.Clone(value)})
}

// Delete implements platform.Store.
func (st *Store) Delete(ctx context.Context, key string, previous int64) error {
	_, err := st.write(ctx, "delete", previous, platform.Object{Key: key, Deleted: true})
	return err
}

// write makes a write that is subject to the faults of the connection.
func (st *Store) write(ctx context.Context, op string, previous int64, next platform.Object) (int64, error) {
	if err := st.inject(ctx, st.sharedState, op, next.Key); err != nil {
		return 0, err
	}
	lost := &platform.Error{Op: op, Key: next.Key, Kind: platform.Unknown, Err: errors.New("platformfake: response lost")}
	switch st.drawOutcome() {
	case delivered:
		return st.apply(op, previous, next)
	case responseLost:
		_, _ = st.apply(op, previous, next)
		return 0, lost
	case deliveredLate:
		st.deferWrite(func() { _, _ = st.apply(op, previous, next) })
		return 0, lost
	default:
		return 0, lost
	}
}

// apply performs a write that has arrived if the version of the object matches.
func (ss *sharedState) apply(op string, previous int64, next platform.Object) (int64, error) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.objects[next.Key].Version != previous {
		return 0, &platform.Error{Op: op, Key: next.Key, Kind: platform.Conflict}
	}
	ss.revision++
	next.Version = ss.revision
	if next.Deleted {
		delete(ss.objects, next.Key)
	} else {
		ss.objects[next.Key] = next
	}
	ss.events = append(ss.events, next)
	ss.notifyWatchers()
	return next.Version, nil
}

// Watch implements platform.Store. It waits until there is a change, a fault fails
// the call or ctx ends. It has no time limit of its own.
func (st *Store) Watch(ctx context.Context, prefix string, after int64) (platform.Listing, error) {
	for {
		if err := st.inject(ctx, st.sharedState, "watch", prefix); err != nil {
			return platform.Listing{}, err
		}
		st.mu.Lock()
		li, changed := st.changesSince(prefix, after), st.changed
		st.mu.Unlock()
		if len(li.Objects) > 0 {
			return li, nil
		}
		select {
		case <-changed:
		case <-st.faultChanged():
		case <-ctx.Done():
			return li, &platform.Error{Op: "watch", Key: prefix, Kind: platform.Unavailable, Err: ctx.Err()}
		}
	}
}

func (ss *sharedState) changesSince(prefix string, after int64) platform.Listing {
	li := platform.Listing{Revision: ss.revision}
	for _, ev := range ss.events {
		if ev.Version > after && strings.HasPrefix(ev.Key, prefix) {
			li.Objects = append(li.Objects, ev)
		}
	}
	return li
}

// Instances implements platform.Store.
func (st *Store) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := st.inject(ctx, st.sharedState, "instances", "instances"); err != nil {
		return nil, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.current() == StaleLists {
		return slices.Clone(st.previous), nil
	}
	return slices.Clone(st.instances), nil
}
