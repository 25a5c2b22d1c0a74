package suspicion

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/peer"
)

const (
	// ServiceName is the net/rpc name of the service.
	ServiceName = "Suspicion"
	// refuseAfterLosses is the number of uncleared losses at which a request is
	// refused.
	refuseAfterLosses = 2
	// retention is how long a record counts after a merge has last added a loss or
	// a clearing to it.
	retention = time.Hour
	// maxFingerprints is the maximum number of records. The one that was added
	// first is evicted first.
	maxFingerprints = 4096
	// shareTimeout bounds the wait for peers before a suspect is retried.
	shareTimeout = 300 * time.Millisecond
	// pullInterval is the time between two merges with the registry of a random
	// peer.
	pullInterval = 5 * time.Second
)

// Verdict is the decision on whether and where a request may run.
type Verdict int

// The verdicts.
const (
	// Clear means that the request may run on any endpoint.
	Clear Verdict = iota
	// Suspect means that the request may run, but not on the same endpoint as
	// another suspect at the same time.
	Suspect
	// Refuse means that the request must not run again.
	Refuse
)

// Loss identifies one crash of an endpoint.
type Loss struct {
	Endpoint string
	// Boot is the boot ID of the process that crashed. It is empty if unknown.
	Boot string
}

// Case is the record of one fingerprint, or an addition to it, as peers exchange
// it.
type Case struct {
	Fingerprint uint64
	// Losses are the losses that the request may have caused.
	Losses []Loss
	// Cleared are the losses that the request did not cause: it completed later.
	Cleared []Loss
}

// Registry holds the records known to one instance. Set the exported fields
// before the first call. It is safe for concurrent use.
type Registry struct {
	Caller peer.Caller
	// Peers returns the peer addresses of the other instances.
	Peers func() []string
	Clock clockwork.Clock

	mu      sync.Mutex
	records map[uint64]*record
	// order has the fingerprints of records in the order in which they were added.
	order []uint64
}

// record has the losses of one fingerprint.
type record struct {
	// losses maps each loss to whether it is cleared.
	losses map[Loss]bool
	// newest is the time of the newest loss or clearing that merge added.
	newest time.Time
}

// Verdict returns the decision on a request. The fingerprint zero stands for a
// request without one, which is always clear.
func (re *Registry) Verdict(fingerprint uint64) Verdict {
	re.mu.Lock()
	defer re.mu.Unlock()
	rc, found := re.records[fingerprint]
	if !found || re.Clock.Since(rc.newest) > retention {
		return Clear
	}
	uncleared := 0
	for _, cleared := range rc.losses {
		if !cleared {
			uncleared++
		}
	}
	switch {
	case uncleared >= refuseAfterLosses:
		return Refuse
	case uncleared > 0:
		return Suspect
	default:
		return Clear
	}
}

// Lost records that an endpoint crashed while it ran the request. It returns
// when all peers have answered, after shareTimeout, or when ctx ends.
func (re *Registry) Lost(ctx context.Context, fingerprint uint64, lo Loss) {
	ca := Case{Fingerprint: fingerprint, Losses: []Loss{lo}}
	re.merge(ca)
	re.broadcast(ctx, ca)
}

// Finished clears a completed request of all losses known now. If that changes
// its record, it notifies the peers and waits for them like Lost.
func (re *Registry) Finished(ctx context.Context, fingerprint uint64) {
	ca, changed := re.clear(fingerprint)
	if changed {
		re.broadcast(ctx, ca)
	}
}

func (re *Registry) clear(fingerprint uint64) (Case, bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	ca := Case{Fingerprint: fingerprint}
	rc, found := re.records[fingerprint]
	if !found {
		return ca, false
	}
	for lo, cleared := range rc.losses {
		if !cleared {
			rc.losses[lo] = true
			ca.Cleared = append(ca.Cleared, lo)
		}
	}
	return ca, len(ca.Cleared) > 0
}

// merge adds the losses and clearings of a case. A loss that is cleared on
// either side stays cleared.
func (re *Registry) merge(ca Case) {
	if ca.Fingerprint == 0 {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	rc, found := re.records[ca.Fingerprint]
	if !found {
		rc = re.addRecord(ca.Fingerprint)
	}
	for _, lo := range ca.Losses {
		if _, known := rc.losses[lo]; !known {
			rc.losses[lo] = false
			rc.newest = re.Clock.Now()
		}
	}
	for _, lo := range ca.Cleared {
		if !rc.losses[lo] {
			rc.losses[lo] = true
			rc.newest = re.Clock.Now()
		}
	}
}

func (re *Registry) addRecord(fingerprint uint64) *record {
	if re.records == nil {
		re.records = make(map[uint64]*record)
	}
	if len(re.order) >= maxFingerprints {
		delete(re.records, re.order[0])
		re.order = re.order[1:]
	}
	rc := &record{losses: make(map[Loss]bool)}
	re.records[fingerprint] = rc
	re.order = append(re.order, fingerprint)
	return rc
}

// broadcast sends a case to all peers concurrently. It waits until all have
// answered, or for shareTimeout. Errors are ignored: Run repairs what is
// missed.
func (re *Registry) broadcast(ctx context.Context, ca Case) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range re.Peers() {
		wg.Go(func() {
			var none Reply
			_ = re.Caller.Call(ctx, address, ServiceName+".Share", &ca, &none)
		})
	}
	wg.Wait()
}

// cases returns the records that are within retention.
func (re *Registry) cases() []Case {
	re.mu.Lock()
	defer re.mu.Unlock()
	var list []Case
	for fingerprint, rc := range re.records {
		if re.Clock.Since(rc.newest) > retention {
			continue
		}
		ca := Case{Fingerprint: fingerprint}
		for lo, cleared := range rc.losses {
			if cleared {
				ca.Cleared = append(ca.Cleared, lo)
			} else {
				ca.Losses = append(ca.Losses, lo)
			}
		}
		list = append(list, ca)
	}
	return list
}

// Name implements controller.Controller.
func (re *Registry) Name() string { return "suspicion" }

// Run merges the registry of one random peer every pullInterval until ctx ends.
func (re *Registry) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-re.Clock.After(pullInterval):
			re.pullFromPeer(ctx)
		}
	}
}

func (re *Registry) pullFromPeer(ctx context.Context) {
	peers := re.Peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	var reply Reply
	if re.Caller.Call(ctx, peers[rand.IntN(len(peers))], ServiceName+".All", &Query{}, &reply) != nil {
		return
	}
	for _, ca := range reply.Cases {
		re.merge(ca)
	}
}

// Query is the argument of Service.All.
type Query struct {
	// Reserved is unused. It is present because gob cannot encode empty structs.
	Reserved bool
}

// Reply is the result of the methods of Service. Share leaves it empty.
type Reply struct {
	Cases []Case
}

// Service serves a Registry over net/rpc.
type Service struct{ re *Registry }

// Service returns the receiver to register with peer.Server under ServiceName.
func (re *Registry) Service() *Service { return &Service{re: re} }

// Share merges one case of a peer.
func (se *Service) Share(ca *Case, _ *Reply) (err error) {
	defer peer.Recover(&err)
	se.re.merge(*ca)
	return nil
}

// All returns the cases that are within retention.
func (se *Service) All(_ *Query, reply *Reply) (err error) {
	defer peer.Recover(&err)
	reply.Cases = se.re.cases()
	return nil
}
