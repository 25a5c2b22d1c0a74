package suspicion

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/peer"
)

const (
	// ServiceName is the net/rpc name of the service.
	ServiceName = "Suspicion"
	// shareTimeout bounds the wait for peers before a suspect is retried.
	shareTimeout = 300 * time.Millisecond
	// pullInterval is the time between two merges with the registry of a random
	// peer.
	pullInterval = 5 * time.Second
	// tellPeriod is the time for which a change is repeated to other instances.
	// Messages between instances may get lost.
	tellPeriod = 2500 * time.Millisecond
	// maxTold limits the cases in one message, and maxToldLosses the losses and the
	// clearings of each. What is left out is learnt by pulling.
	maxTold       = 32
	maxToldLosses = 16
	// promptCorrections is how many instances on average, if all know what another one
	// does not, tell it at once. The others wait whether that is enough.
	promptCorrections = 4
)

// Case is the record of one feature, or an addition to it, as peers exchange it.
type Case struct {
	// Fingerprint is the hash of the feature.
	Fingerprint uint64
	Kind        FeatureKind
	// Losses are the losses that the feature may have caused.
	Losses []AgedLoss
	// Cleared are the losses that the feature did not cause: a request with it
	// completed later.
	Cleared []Loss
	// Proven is set if a request with the feature has completed.
	Proven bool
}

func (ca Case) feature() Feature { return Feature{Kind: ca.Kind, Hash: ca.Fingerprint} }

// AgedLoss is a Loss and how long ago it happened.
type AgedLoss struct {
	Endpoint string
	Boot     string
	Age      time.Duration
}

func (al AgedLoss) loss() Loss { return Loss{Endpoint: al.Endpoint, Boot: al.Boot} }

// announce notes that there is something to tell of a feature, for Changed. The caller
// must hold mu.
func (re *Registry) announce(fe Feature, isCorrection bool) {
	if re.Changes == nil {
		return
	}
	if re.news == nil {
		re.news = make(map[Feature]news)
	}
	if _, told := re.news[fe]; told && isCorrection {
		return
	}
	isCorrection = isCorrection && re.random()*float64(len(re.Peers())) > promptCorrections
	re.news[fe] = news{at: re.Clock.Now(), isCorrection: isCorrection}
	if isCorrection {
		return
	}
	re.unsent = true
	select {
	case re.Changes <- struct{}{}:
	default:
	}
}

func (re *Registry) random() float64 {
	if re.Random == nil {
		return rand.Float64()
	}
	return re.Random()
}

// Changed returns the cases to tell all other instances now, the newest maxTold of them:
// those that this instance has learnt by itself since the last call. If due is set, for a
// regular message, it also returns those of the last tellPeriod again, and corrections of
// what others told.
func (re *Registry) Changed(due bool) []Case {
	now := re.Clock.Now()
	re.mu.Lock()
	defer re.mu.Unlock()
	if !due && !re.unsent {
		return nil
	}
	re.unsent = false
	var features []Feature
	for fe, ne := range re.news {
		switch {
		case now.Sub(ne.at) > tellPeriod || re.records[fe] == nil:
			delete(re.news, fe)
		case due || !ne.isCorrection:
			features = append(features, fe)
		}
	}
	slices.SortFunc(features, func(a, b Feature) int { return re.news[b].at.Compare(re.news[a].at) })
	var list []Case
	for _, fe := range features[:min(len(features), maxTold)] {
		list = append(list, re.records[fe].asCase(fe, now).newest(maxToldLosses))
		if re.news[fe].isCorrection {
			delete(re.news, fe)
		}
	}
	return list
}

// newest returns a copy with at most limit losses and clearings. The newest losses are
// kept.
func (ca Case) newest(limit int) Case {
	slices.SortFunc(ca.Losses, func(a, b AgedLoss) int { return cmp.Compare(a.Age, b.Age) })
	ca.Losses = ca.Losses[:min(len(ca.Losses), limit)]
	ca.Cleared = ca.Cleared[:min(len(ca.Cleared), limit)]
	return ca
}

// Merge records cases that another instance learnt.
func (re *Registry) Merge(list []Case) { re.merge(list) }

// asCase returns the record as peers exchange it.
func (rc *record) asCase(fe Feature, now time.Time) Case {
	ca := Case{Fingerprint: fe.Hash, Kind: fe.Kind, Proven: rc.proven}
	for lo, st := range rc.losses {
		if st.cleared {
			ca.Cleared = append(ca.Cleared, lo)
			continue
		}
		ca.Losses = append(ca.Losses, AgedLoss{Endpoint: lo.Endpoint, Boot: lo.Boot, Age: now.Sub(st.at)})
	}
	return ca
}

// broadcast sends cases to all peers concurrently. It waits until all have answered,
// or for shareTimeout. Errors are ignored: Run repairs what is missed.
func (re *Registry) broadcast(ctx context.Context, list []Case) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range re.Peers() {
		wg.Go(func() {
			for _, ca := range list {
				var none Reply
				_ = re.Caller.Call(ctx, address, ServiceName+".Share", &ca, &none)
			}
		})
	}
	wg.Wait()
}

// cases returns the records that are within retention.
func (re *Registry) cases() []Case {
	now := re.Clock.Now()
	re.mu.Lock()
	defer re.mu.Unlock()
	var list []Case
	for fe, rc := range re.records {
		if now.Sub(rc.newest) <= retention {
			list = append(list, rc.asCase(fe, now))
		}
	}
	return list
}

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
	// A peer that does not answer is asked again, or another one, after pullInterval.
	_ = re.Pull(ctx, peers[rand.IntN(len(peers))])
}

// Pull merges the registry of the instance at a peer address.
func (re *Registry) Pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout)
	defer cancel()
	var reply Reply
	if err := re.Caller.Call(ctx, address, ServiceName+".All", &Query{}, &reply); err != nil {
		return err
	}
	re.merge(reply.Cases)
	return nil
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
	se.re.merge([]Case{*ca})
	return nil
}

// All returns the cases that are within retention.
func (se *Service) All(_ *Query, reply *Reply) (err error) {
	defer peer.Recover(&err)
	reply.Cases = se.re.cases()
	return nil
}
