package suspicion

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/snapshot"
)

const (
	// maxRecords is the maximum number of records. The one that was added first is
	// evicted first, but those of guilty features last.
	maxRecords = 4096
	// minProven is the minimum number of parts that are remembered as completed.
	minProven = 8192
)

// Loss identifies one crash of an endpoint.
type Loss struct {
	Endpoint string
	// Boot is the boot ID of the process that crashed. It is empty if unknown.
	Boot string
}

// Registry holds the records known to one instance. Set the exported fields
// before the first call. It is safe for concurrent use. Judge takes no lock while
// nothing is suspected.
type Registry struct {
	Caller peer.Caller
	// Peers returns the peer addresses of the other instances.
	Peers func() []string
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Changes receives a value when there is something to tell other instances. The
	// send does not block: it is skipped if the channel is full. If it is nil, the
	// registry calls all peers itself.
	Changes chan<- struct{}
	// Random returns a random number in [0, 1). If it is nil, it is that of math/rand/v2.
	Random func() float64

	judged snapshot.Holder[judged]

	mu      sync.Mutex
	records map[Feature]*record
	// order has the features of records in the order in which they were added.
	order  []Feature
	proven recent
	news   map[Feature]news
	unsent bool
}

// news has what the other instances are told of a feature.
type news struct {
	// at is when this instance learnt it.
	at time.Time
	// isCorrection is set if the instance has known it for longer and another one does
	// not, or if it is of little weight: it is told once, with the next regular message,
	// unless another instance tells it first.
	isCorrection bool
}

// record has the losses of one feature.
type record struct {
	losses map[Loss]lossState
	// newest is the time of the newest loss or clearing that merge added.
	newest time.Time
	// proven is set if a request with the feature has completed.
	proven bool
}

// lossState is what is known of one loss.
type lossState struct {
	// at is when the endpoint crashed, by the clock of this instance.
	at      time.Time
	cleared bool
}

// Judge returns the judgement on a request with the given features that weighs most:
// that on a guilty feature, or else on the one with the most crashes.
func (re *Registry) Judge(features ...Feature) Judgement {
	var worst Judgement
	all := re.judged.Load()
	if all == nil || len(*all) == 0 {
		return worst
	}
	now := re.Clock.Now()
	for _, fe := range features {
		ju, found := (*all)[fe]
		if !found || now.After(ju.until) {
			continue
		}
		if ju.Verdict > worst.Verdict || ju.Verdict == worst.Verdict && ju.Losses > worst.Losses {
			worst = ju
		}
	}
	return worst
}

// HasSuspects reports whether any feature has crashes that it is not cleared of.
func (re *Registry) HasSuspects() bool {
	all := re.judged.Load()
	return all != nil && len(*all) > 0
}

// Lost records that an endpoint crashed while it ran a request with the given
// features. Without Changes, it returns when all peers have answered, after
// shareTimeout, or when ctx ends.
func (re *Registry) Lost(ctx context.Context, lo Loss, features ...Feature) {
	var list []Case
	for _, fe := range features {
		list = append(list, Case{Fingerprint: fe.Hash, Kind: fe.Kind, Losses: []AgedLoss{{Endpoint: lo.Endpoint, Boot: lo.Boot}}})
	}
	re.tell(ctx, list, re.merge(list))
}

// Finished records that a request with the given features completed, or went on for
// longer than one that crashes its endpoint would. That clears them of all losses known
// now. If it changes a record, the peers are told like those of Lost.
func (re *Registry) Finished(ctx context.Context, features ...Feature) {
	for _, fe := range features {
		if fe.Kind == KindPart {
			re.prove(fe)
		}
	}
	var list []Case
	all := re.judged.Load()
	for _, fe := range features {
		if all == nil {
			return
		}
		if _, suspected := (*all)[fe]; suspected {
			list = append(list, re.clearing(fe))
		}
	}
	re.tell(ctx, list, re.merge(list))
}

func (re *Registry) prove(fe Feature) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.proven.limit = minProven
	re.proven.add(fe.Hash)
}

// clearing returns the case that clears a feature of all losses known now.
func (re *Registry) clearing(fe Feature) Case {
	ca := Case{Fingerprint: fe.Hash, Kind: fe.Kind, Proven: fe.Kind == KindPart}
	re.mu.Lock()
	defer re.mu.Unlock()
	if rc := re.records[fe]; rc != nil {
		for lo, st := range rc.losses {
			if !st.cleared {
				ca.Cleared = append(ca.Cleared, lo)
			}
		}
	}
	return ca
}

// tell notifies the other instances of cases if they changed something here.
func (re *Registry) tell(ctx context.Context, list []Case, changed bool) {
	if !changed {
		return
	}
	if re.Changes == nil {
		re.broadcast(ctx, list)
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	for _, ca := range list {
		rc := re.records[ca.feature()]
		// All instances clear a part that is in use everywhere by what they see.
		isCorrection := len(ca.Losses) == 0 && rc != nil && rc.proven
		re.announce(ca.feature(), isCorrection)
	}
}

// merge adds the losses and clearings of cases and judges anew. It reports whether
// that changed anything.
func (re *Registry) merge(list []Case) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	changed := false
	for _, ca := range list {
		changed = re.mergeOne(ca) || changed
	}
	if changed {
		next := judge(re.records, re.Clock.Now())
		re.report(next)
		re.judged.Store(&next)
	}
	return changed
}

// mergeOne adds the losses and clearings of a case. A loss that is cleared on either
// side stays cleared. The caller must hold mu.
func (re *Registry) mergeOne(ca Case) bool {
	fe := ca.feature()
	rc := re.records[fe]
	if rc == nil {
		if fe.Hash == 0 || len(ca.Losses)+len(ca.Cleared) == 0 {
			return false
		}
		rc = re.addRecord(fe)
	}
	rc.proven = rc.proven || fe.Kind == KindPart && re.proven.has(fe.Hash)
	changed, outdated := rc.add(ca, re.Clock.Now())
	if outdated {
		re.announce(fe, true)
		return changed
	}
	if re.news[fe].isCorrection {
		// Another instance has told it.
		delete(re.news, fe)
	}
	return changed
}

// add adds the losses and clearings of a case. It reports whether that changed
// anything, and whether the sender does not know yet that a loss is cleared or that the
// feature is proven.
func (rc *record) add(ca Case, now time.Time) (changed, outdated bool) {
	for _, al := range ca.Losses {
		st, known := rc.losses[al.loss()]
		if !known {
			rc.losses[al.loss()] = lossState{at: now.Add(-max(al.Age, 0))}
			changed = true
		}
		outdated = outdated || st.cleared
	}
	for _, lo := range ca.Cleared {
		if st := rc.losses[lo]; !st.cleared {
			st.cleared = true
			rc.losses[lo] = st
			changed = true
		}
	}
	if ca.Proven && !rc.proven {
		rc.proven, changed = true, true
	}
	if changed {
		rc.newest = now
	}
	return changed, outdated || rc.proven && !ca.Proven
}

func (re *Registry) addRecord(fe Feature) *record {
	if re.records == nil {
		re.records = make(map[Feature]*record)
	}
	if len(re.order) >= maxRecords {
		re.evict()
	}
	rc := &record{losses: make(map[Loss]lossState)}
	re.records[fe] = rc
	re.order = append(re.order, fe)
	return rc
}

// evict removes the record that was added first and is not of a guilty feature.
func (re *Registry) evict() {
	all := re.judged.Load()
	ix := slices.IndexFunc(re.order, func(fe Feature) bool { return all == nil || (*all)[fe].Verdict != Refuse })
	ix = max(ix, 0)
	delete(re.records, re.order[ix])
	re.order = slices.Delete(re.order, ix, ix+1)
}

// report logs which features are judged guilty, or no longer are.
func (re *Registry) report(next judged) {
	var before judged
	if all := re.judged.Load(); all != nil {
		before = *all
	}
	for fe, ju := range next {
		if ju.Verdict == Refuse && before[fe].Verdict != Refuse {
			re.Log.Warn().Str("event", fe.Kind.String()+"_blamed").Stringer("feature", fe).Int("crashes", ju.Crashes).
				Msg("suspicion: endpoints crashed under requests with this feature; refusing them")
		}
	}
	for fe, ju := range before {
		if ju.Verdict == Refuse && next[fe].Verdict != Refuse {
			re.Log.Info().Str("event", fe.Kind.String()+"_cleared").Stringer("feature", fe).
				Msg("suspicion: requests with this feature are no longer refused")
		}
	}
}

// Name implements controller.Controller.
func (re *Registry) Name() string { return "suspicion" }
