package allocation

import (
	"slices"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

const (
	// silenceLimit is how old a member's last-seen time may be before the
	// places that the member may use on its own are reserved for it.
	silenceLimit = 1500 * time.Millisecond
	// memberDeadAfter is the silence of a member after which an endpoint's
	// load report may show that the member's requests there have ended.
	memberDeadAfter = 15 * time.Second
	// unreportedDeadAfter is the silence after which the member's requests
	// count as ended at endpoints that publish no load reports.
	unreportedDeadAfter = time.Minute
	// waitingExpiry is how long a waiting request stays queued after the last
	// call that asked for it.
	waitingExpiry = 3 * time.Second
	// maxReportLag is the upper bound on the age of the load that an endpoint
	// reports.
	maxReportLag = 2 * time.Second
	// recoveryLimit limits how long a new holder waits for members that have not
	// sent it a sync yet.
	recoveryLimit = memberDeadAfter
	// refreshInterval limits how old the capacities may be that the decision
	// core works with.
	refreshInterval = 50 * time.Millisecond
)

// request is a request that the holder knows, waiting or granted.
type request struct {
	key      string
	instance string
	re       admission.Request
	// sequence is that of the instance's last sync before it asked. A later
	// sync without the key means that the instance has stopped waiting.
	sequence int64
	// asked is when the instance last asked for the request, or when it
	// reported a request in flight that the holder did not know.
	asked   time.Time
	suspect bool
	// submitted means that the request was queued in the decision core.
	submitted bool
	endpoint  string
	priority  int
	refusal   *refusal.Error
	// done is closed when the request is granted or refused.
	done chan struct{}
}

// granted reports whether the request has a place at an endpoint.
func (rq *request) granted() bool { return rq.endpoint != "" }

// contact is what the holder knows about a member's syncs.
type contact struct {
	// sequence is that of the last sync that was processed.
	sequence int64
	// lastSeen is when the holder issued the stamp that the last sync carried.
	// The member sent that sync later, so lastSeen is a lower bound that does
	// not depend on the member's clock or on delays. It is zero until a sync
	// carries a stamp of this holder.
	lastSeen time.Time
}

// report is the last load report of an endpoint.
type report struct {
	// at is when the report was requested.
	at time.Time
	// total is the number of requests that run or wait at the endpoint.
	total int
	boot  string
	warm  bool
}

// holder runs the decision core of one group for one epoch of its lease.
type holder struct {
	group Group
	epoch int64
	// since is when this instance took the lease.
	since time.Time
	// views returns the member views of the zone.
	views func() *views
	// current returns the configuration in force, or nil if there is none yet.
	current func() *kind.Configuration
	// held reports whether this instance owns the lease at this moment.
	held func() bool
	// listed reports whether the platform's newest list contains an instance.
	listed func(name string) bool
	// reporting is true if the endpoints publish load reports.
	reporting bool
	// warm maps endpoints to the boot IDs under which the previous holder saw
	// them warm. It is nil if the previous holder's information is too old.
	warm map[string]string

	mu       sync.Mutex
	core     *admission.Allocator
	contacts map[string]*contact
	requests map[string]*request
	reports  map[string]report
	// deferred contains the requests that are not in the decision core's queue
	// yet.
	deferred []*request
	// bootVersion increases whenever an endpoint reports another boot ID or
	// becomes warm or cold.
	bootVersion int64
	// failedAt maps endpoints to the time of their last failure. Such an
	// endpoint may have restarted and be cold.
	failedAt map[string]time.Time
	// delisted maps members that are missing from the platform's list to the
	// time since when they are missing.
	delisted map[string]time.Time
	// listRead is when delisted was last updated.
	listRead time.Time
	// sequences maps endpoints to the sequence number of the last cache event
	// that was processed.
	sequences map[string]int64

	configuration *kind.Configuration
	refreshed     time.Time
	// silent is the result of silentMembers as of refreshed.
	silent []string
	// eligible contains the endpoints that may take new work by the
	// configuration. open contains those of them that may take it at this
	// moment.
	eligible map[string]bool
	open     map[string]bool
	// reserve maps endpoints to the number of places that must stay free.
	// reserved maps them to the number of placeholder requests that the
	// decision core holds for that.
	reserve  map[string]int
	reserved map[string]int
}

// prepare initializes the fields below mu. Those above it must be set before.
func (ho *holder) prepare() *holder {
	ho.core = &admission.Allocator{}
	ho.contacts = make(map[string]*contact)
	ho.requests = make(map[string]*request)
	ho.reports = make(map[string]report)
	ho.sequences = make(map[string]int64)
	ho.failedAt = make(map[string]time.Time)
	ho.delisted = make(map[string]time.Time)
	ho.reserve = make(map[string]int)
	ho.reserved = make(map[string]int)
	return ho
}

// submit queues a request, or finds the one that an earlier call with the same
// key queued. The returned failure is empty unless the call had no effect.
func (ho *holder) submit(now time.Time, args *AcquireArgs) (*request, ErrorKind) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if !ho.held() {
		return nil, NotHolder
	}
	if co, found := ho.contacts[args.Instance]; found && co.sequence > args.Sequence {
		return nil, Stale
	}
	if rq, found := ho.requests[args.Key]; found {
		rq.asked = now
		return rq, ""
	}
	ho.refresh(now)
	rq := &request{
		key: args.Key, instance: args.Instance, re: ho.restrict(args), sequence: args.Sequence,
		asked: now, suspect: args.Suspect, done: make(chan struct{}),
	}
	ho.requests[rq.key] = rq
	ho.deferred = append(ho.deferred, rq)
	ho.decide(now)
	if args.NoWait && !rq.granted() && rq.refusal == nil {
		ho.core.Withdraw(now, rq.key)
		ho.refuse(rq, refusal.New(refusal.NoCapacity, "availability zone "+ho.group.Zone+" has no room"))
	}
	return rq, ""
}

// restrict returns the request as the decision core sees it: with its key as
// the ID, and with all endpoints excluded that the caller's half cannot reach.
func (ho *holder) restrict(args *AcquireArgs) admission.Request {
	re := args.Request
	re.ID = args.Key
	re.Exclude = slices.Clone(re.Exclude)
	if ho.configuration == nil {
		return re
	}
	for _, en := range ho.group.endpoints(ho.configuration) {
		if !kind.Reachable(en.Half, re.Half) {
			re.Exclude = append(re.Exclude, en.Name)
		}
	}
	return re
}

// refuse refuses a request and removes it. A call that waits for the decision
// still refers to it.
func (ho *holder) refuse(rq *request, er *refusal.Error) {
	rq.refusal = er
	delete(ho.requests, rq.key)
	close(rq.done)
}

// decide applies the decisions of the core. It grants nothing unless this
// instance owns the lease.
func (ho *holder) decide(now time.Time) {
	ho.refresh(now)
	ho.applyReserves(now)
	if !ho.held() {
		return
	}
	ho.enqueueDeferred(now)
	for _, de := range ho.core.Decide(now) {
		rq, found := ho.requests[de.ID]
		switch {
		case !found:
			ho.core.Finish(now, de.ID, admission.Outcome{Result: admission.Canceled})
		case de.Refusal != nil:
			ho.refuse(rq, de.Refusal)
		default:
			rq.endpoint, rq.priority = de.Endpoint, de.Priority
			close(rq.done)
		}
	}
}

// tick expires requests and applies the decisions that are due.
func (ho *holder) tick(now time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.expire(now)
	ho.decide(now)
}

// report processes an endpoint's load report. asked is when the report was
// requested.
func (ho *holder) report(asked, now time.Time, name string, lo endpoint.Load) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.refresh(now)
	if _, found := ho.reports[name]; !found && lo.BootID != "" && ho.warm[name] == lo.BootID {
		ho.core.ConfirmWarm(name, lo.BootID)
	}
	ho.core.Report(now, name, lo)
	warm := ho.core.Warm(name)
	if old := ho.reports[name]; old.boot != lo.BootID || old.warm != warm {
		ho.bootVersion++
	}
	ho.reports[name] = report{at: asked, total: lo.Running + lo.Waiting, boot: lo.BootID, warm: warm}
}

// markFailed closes an endpoint for new work until its next load report. It
// has no effect on endpoints that have never reported.
func (ho *holder) markFailed(now time.Time, name string) {
	if _, reports := ho.reports[name]; reports {
		ho.failedAt[name], ho.refreshed = now, time.Time{}
	}
}

// pollFailed records that an endpoint did not answer a load poll.
func (ho *holder) pollFailed(now time.Time, name string) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.markFailed(now, name)
}

// bootList returns the boot IDs of all endpoints that have reported.
func (ho *holder) bootList() []Boot {
	var list []Boot
	for name, re := range ho.reports {
		list = append(list, Boot{Endpoint: name, ID: re.boot, Warm: re.warm})
	}
	return list
}

// stamp returns the holder's time for a message to a member, in nanoseconds
// since it took the lease, plus 1 because zero means no stamp. The member
// echoes the stamp in its next sync.
func (ho *holder) stamp(now time.Time) int64 { return now.Sub(ho.since).Nanoseconds() + 1 }

// cacheSequence returns the sequence number of the last cache event that was
// processed for an endpoint.
func (ho *holder) cacheSequence(name string) int64 {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.sequences[name]
}

func (ho *holder) cacheEvents(now time.Time, name string, list []endpoint.CacheEvent) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	for _, ev := range list {
		ho.sequences[name] = max(ho.sequences[name], ev.Sequence)
	}
	ho.core.CacheEvents(now, name, list)
}

// replyTo returns the reply to a call that waited for rq.
func (ho *holder) replyTo(rq *request) AcquireReply {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	reply := AcquireReply{Epoch: ho.epoch, Endpoint: rq.endpoint, Priority: rq.priority}
	if rq.refusal != nil {
		reply.setRefusal(rq.refusal)
	}
	reply.Pending = rq.refusal == nil && !rq.granted()
	return reply
}
