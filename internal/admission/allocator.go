package admission

import (
	"math"
	"time"

	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/length"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/warmup"
)

const (
	defaultQueueLimit   = 4096
	defaultQueueWait    = 250 * time.Millisecond
	defaultMaxWaitShare = 0.25
)

// Allocator decides for one service which endpoint runs a request, and when.
// It reads no clock and starts no goroutines: callers pass the current time,
// which must not decrease. It is not safe for concurrent use. Set the
// exported fields before the first call; zero selects the default.
type Allocator struct {
	// QueueLimit is the maximum number of requests queued in one lane.
	QueueLimit int
	// QueueWait is the longest expected wait with which a request without a
	// deadline is accepted. A request with a deadline is accepted with this
	// wait, too, unless its deadline is earlier.
	QueueWait time.Duration
	// MaxWaitShare is the share of the time to its deadline that a request may
	// be expected to wait in the queue, if that is longer than QueueWait. Under
	// overload the newest requests are therefore refused, and older ones are
	// served at any size.
	MaxWaitShare float64
	// KnownLength returns the length of the answer in tokens if it is known in
	// advance, and zero otherwise. It may be nil.
	KnownLength func(re Request) int64

	lengths  length.Estimator
	accounts map[string]*account
	// order lists the accounts in the order of their creation.
	order []*account
	// indexes holds the accounts by Candidate.Distance, and running the
	// requests in flight by ID.
	indexes  [distanceCount]index
	running  map[string]*sequence
	lanes    [laneCount]lane
	margin   margin
	prefixes prefixes
	// unusedShare is the share of the memory that was free at unusedAt.
	unusedShare float64
	unusedAt    time.Time
	// paused lists the accounts in back-off.
	paused []*account
}

// distanceCount is the number of values of Candidate.Distance.
const distanceCount = 3

func (al *Allocator) prepare() {
	if al.accounts != nil {
		return
	}
	al.accounts = make(map[string]*account)
	al.running = make(map[string]*sequence)
	al.margin = margin{initialRisk}
	for ix := range al.lanes {
		al.lanes[ix].kind = laneKind(ix)
	}
	if al.QueueLimit == 0 {
		al.QueueLimit = defaultQueueLimit
	}
	if al.QueueWait == 0 {
		al.QueueWait = defaultQueueWait
	}
	if al.MaxWaitShare == 0 {
		al.MaxWaitShare = defaultMaxWaitShare
	}
}

// SetEndpoints replaces the list of endpoints. An endpoint that is no longer
// listed gets no new work, but its account remains while requests are in
// flight there.
func (al *Allocator) SetEndpoints(_ time.Time, list []Candidate) {
	al.prepare()
	for _, ac := range al.order {
		ac.Eligible = false
	}
	for _, ca := range list {
		al.updateCandidate(al.account(ca.Endpoint.Name), ca)
	}
	kept := al.order[:0]
	for _, ac := range al.order {
		if !ac.Eligible && len(ac.sequences) == 0 && !listed(list, ac) {
			ac.index.remove(ac)
			delete(al.accounts, ac.Endpoint.Name)
			continue
		}
		al.updateScore(ac)
		kept = append(kept, ac)
	}
	clear(al.order[len(kept):])
	al.order = kept
}

func listed(list []Candidate, ac *account) bool {
	for _, ca := range list {
		if ca.Endpoint.Name == ac.Endpoint.Name {
			return true
		}
	}
	return false
}

func (al *Allocator) updateCandidate(ac *account, ca Candidate) {
	first := ac.Endpoint.Capacity.Sequences == 0
	ac.Candidate = ca
	ac.index.remove(ac)
	al.indexes[min(max(ca.Distance, 0), distanceCount-1)].insert(ac)
	limits := ca.Endpoint.Capacity
	if first {
		ac.warm = warmup.New(limits.ColdSequences, limits.Sequences).WithBoot(ac.bootID)
		return
	}
	ac.warm = ac.warm.WithLimits(limits.ColdSequences, limits.Sequences)
}

func (al *Allocator) account(name string) *account {
	ac, found := al.accounts[name]
	if !found {
		ac = &account{score: math.Inf(-1)}
		ac.Endpoint.Name = name
		al.accounts[name] = ac
		al.order = append(al.order, ac)
		al.indexes[distanceCount-1].insert(ac)
	}
	return ac
}

func (al *Allocator) updateScore(ac *account) {
	ac.score = ac.computeScore(al.margin.risk)
	ac.index.fix(ac)
}

// Submit queues a request, or returns the reason if it is refused at once. A
// request that is in flight or already in its lane is not queued again.
func (al *Allocator) Submit(now time.Time, re Request) *refusal.Error {
	al.prepare()
	if _, found := al.running[re.ID]; found {
		return nil
	}
	if !al.hasUsableEndpoint(re) {
		return refusal.New(refusal.NoCapacity, "no endpoint of service "+re.Service+" takes new work")
	}
	cu := al.lengths.Curve(lengthKey(re))
	la := al.laneOf(re, cu)
	if la.queue.Len() >= al.QueueLimit {
		return refusal.New(refusal.QueueFull, "the queue of service "+re.Service+" is full")
	}
	wait := la.expectedWait(now, re)
	if wait > al.maxExpectedWait(now, la, re) {
		er := refusal.New(refusal.QueueTime, "the expected wait is too long")
		er.RetryAfter = max(wait, time.Second)
		return er
	}
	la.push(now, queuedRequest{re, cu})
	return nil
}

// maxExpectedWait returns the expected wait above which a request is refused.
// A resumed answer that has a deadline may wait until then, because a refusal
// would truncate it.
func (al *Allocator) maxExpectedWait(now time.Time, la *lane, re Request) time.Duration {
	if re.Deadline.IsZero() {
		return al.QueueWait
	}
	left := re.Deadline.Sub(now)
	if la.kind == resumedLane {
		return left
	}
	return max(time.Duration(al.MaxWaitShare*float64(left)), min(al.QueueWait, left))
}

func (al *Allocator) hasUsableEndpoint(re Request) bool {
	for _, ac := range al.order {
		if ac.Eligible && !ac.excluded(&re) {
			return true
		}
	}
	return false
}

func (al *Allocator) laneOf(re Request, cu *length.Curve) *lane {
	switch {
	case re.DoneTokens > 0:
		return &al.lanes[resumedLane]
	case isShort(re, cu):
		return &al.lanes[shortLane]
	default:
		return &al.lanes[longLane]
	}
}

// Withdraw removes a queued request whose caller canceled it.
func (al *Allocator) Withdraw(_ time.Time, id string) {
	for ix := range al.lanes {
		if _, found := al.lanes[ix].queue.Remove(id); found {
			return
		}
	}
}

// Adopt records a request that is already in flight at the named endpoint,
// either granted by an earlier allocator or resumed there. The request takes a
// slot even if the endpoint is full.
func (al *Allocator) Adopt(now time.Time, re Request, name string, tokens int64) {
	al.prepare()
	if _, found := al.running[re.ID]; found {
		return
	}
	al.Withdraw(now, re.ID)
	al.begin(queuedRequest{re, al.lengths.Curve(lengthKey(re))}, al.account(name), max(tokens, re.DoneTokens), 0)
}

// begin records a granted or adopted request as in flight at the endpoint.
// charged is the number of tokens that its team was charged already.
func (al *Allocator) begin(qr queuedRequest, ac *account, tokens int64, charged float64) *sequence {
	se := &sequence{re: qr.re, curve: qr.curve, tokens: tokens, base: tokens, observed: tokens, charged: charged}
	se.computeForecast(al.knownLength(qr.re))
	al.running[qr.re.ID] = se
	al.prefixes.add(qr.re.Prefix, ac)
	ac.add(se)
	al.updateScore(ac)
	return se
}

func (al *Allocator) knownLength(re Request) int64 {
	if al.KnownLength == nil {
		return 0
	}
	return al.KnownLength(re)
}

// Progress reports how many tokens of the answer exist.
func (al *Allocator) Progress(now time.Time, id string, tokens int64) {
	se, found := al.running[id]
	if !found || tokens <= se.tokens {
		return
	}
	ac := se.ac
	al.updateWarmUp(now, se, tokens-se.tokens)
	ac.advance(now, se, tokens)
	if se.tokens-se.forecastTokens < refreshTokens {
		return
	}
	al.recordTokens(se)
	ac.updateForecast(se, al.knownLength(se.re))
	al.updateScore(ac)
}

// updateWarmUp counts new tokens towards the warm-up of the endpoint if that
// is saturated, or resets the endpoint to cold if they arrived too slowly.
func (al *Allocator) updateWarmUp(now time.Time, se *sequence, fresh int64) {
	ac := se.ac
	if se.lastProgress.IsZero() || !ac.decodes() {
		return
	}
	ac.recentLatency = ac.recentLatency.with(now.Sub(se.lastProgress), fresh)
	if ac.recentLatency.slow(ac.tokenLatency.mean()) {
		ac.warm, ac.recentLatency = ac.warm.WithCold(), recentLatency{}
		al.updateScore(ac)
		return
	}
	if ac.saturated() {
		ac.warm = ac.warm.WithProof(float64(fresh) / warmup.ProofTokens)
	}
}

// recordTokens updates the length curve with the tokens produced since the
// previous update, and charges the team for tokens beyond those that it was
// already charged for.
func (al *Allocator) recordTokens(se *sequence) {
	se.curve.ObserveProgress(se.observed, se.tokens)
	se.observed = se.tokens
	if more := float64(se.tokens-se.base) - se.charged; more > 0 {
		al.charge(se, more)
	}
}

func (al *Allocator) charge(se *sequence, more float64) {
	se.charged += more
	for ix := range al.lanes {
		al.lanes[ix].queue.Charge(se.re.Team, more)
	}
}

// Finish ends a request and frees its slot. It does nothing for an unknown
// request.
func (al *Allocator) Finish(now time.Time, id string, ou Outcome) {
	se, found := al.running[id]
	if !found {
		return
	}
	ac := se.ac
	delete(al.running, id)
	if ou.Result == Completed && !ac.decodes() && ac.saturated() {
		ac.warm = ac.warm.WithProof(1.0 / warmup.ProofCalls)
	}
	ac.remove(se)
	se.tokens = max(se.tokens, ou.Tokens)
	al.recordTokens(se)
	if ou.Result == Completed {
		se.curve.ObserveEnd(se.tokens)
	}
	al.charge(se, float64(se.tokens-se.base)-se.charged)
	al.recordFailure(now, ac, ou.Result)
	al.updateScore(ac)
}

// Report updates the state of an endpoint from its own load report, which lags
// behind.
func (al *Allocator) Report(_ time.Time, name string, lo endpoint.Load) {
	ac, found := al.accounts[name]
	if !found {
		return
	}
	ac.warm = ac.warm.WithBoot(lo.BootID)
	if ac.bootID != "" && ac.bootID != lo.BootID {
		al.prefixes.removeEndpoint(ac)
	}
	if ac.bootID == lo.BootID && lo.PreemptedTotal > ac.preemptedTotal {
		al.margin = al.margin.withPreempted(lo.PreemptedTotal - ac.preemptedTotal)
	}
	ac.bootID, ac.preemptedTotal = lo.BootID, lo.PreemptedTotal
	ac.applyReport(lo)
	al.updateScore(ac)
}
