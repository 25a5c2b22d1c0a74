package concurrency

import (
	"context"
	"time"

	"filbertstall.example/filbertstall/internal/roster"
)

// reportInterval is the interval at which an instance repeats what it has in progress at
// a brittle endpoint. Changes are reported at the next call of Limiter.Report.
const reportInterval = time.Second

// Hold is what an instance has in progress at one endpoint without a slot of the account
// that the report is for: requests that were sent before the endpoint said that it is
// brittle, that have a slot of another allocator, or for which the endpoint keeps room.
type Hold struct {
	Endpoint string
	// Started is the start time of the endpoint's process.
	Started int64
	// Count is the number of requests. It replaces that of the report before.
	Count int
	// TurnedAway is set if the endpoint had no room for such a request since the report
	// before.
	TurnedAway bool
}

func (ho Hold) key() key { return key{endpoint: ho.Endpoint, started: ho.Started} }

// ReportArgs tells an allocator of requests in progress. Instances of earlier versions
// have no such method; their error is ignored.
type ReportArgs struct {
	Instance string
	// Process tells the processes of the instance apart. Sequence rises with each report
	// of a process: reports may overtake each other, and an older one counts no more.
	Process  int64
	Sequence uint64
	Holds    []Hold
}

// ReportReply is the answer to ReportArgs.
type ReportReply struct {
	// Epoch is that of the allocator's process.
	Epoch int64
}

// Report records the requests in progress of an instance.
func (al *Allocator) Report(ar ReportArgs) ReportReply {
	epoch, now := al.Epoch(), al.Boot.Now()
	al.mu.Lock()
	defer al.mu.Unlock()
	for _, ho := range ar.Holds {
		en := al.endpoint(ho.key())
		before := en.holds[ar.Instance]
		if before.process == ar.Process && before.sequence > ar.Sequence {
			continue
		}
		next := hold{count: ho.Count, until: now + holdLifetime, process: ar.Process, sequence: ar.Sequence}
		en.holds[ar.Instance] = next
		if ho.TurnedAway {
			// The request that was turned away is not in progress any more.
			en.turnedAway(en.inProgress(), now)
		}
		al.grantWaiting(en)
	}
	return ReportReply{Epoch: epoch}
}

// grantor is the account that a request has its slot of. The zero value means that it has
// none.
type grantor struct {
	instance string
	epoch    int64
}

// progress is what this instance has in progress at one endpoint.
type progress struct {
	endpoint roster.Endpoint
	// counts has the number of requests by the account of their slots.
	counts map[grantor]int
	// turnedAway is set if a request without a slot was turned away since the last report.
	turnedAway bool
	// reported is the last report.
	reported report
}

type report struct {
	to    grantor
	count int
	at    time.Duration
}

// without returns the number of requests that have no slot of an account.
func (pr *progress) without(gr grantor) int {
	total := 0
	for of, count := range pr.counts {
		if of != gr {
			total += count
		}
	}
	return total
}

// use is one request in progress. It implements backpressure.Use.
type use struct {
	li      *Limiter
	key     key
	grantor grantor
	// giveBack returns the slot. It is nil if there is none.
	giveBack func(turnedAway bool)
}

// End implements backpressure.Use.
func (us *use) End(turnedAway bool) {
	us.li.leave(us, turnedAway)
	if us.giveBack != nil {
		us.giveBack(turnedAway)
	}
}

// enter counts a request in progress.
func (li *Limiter) enter(en roster.Endpoint, gr grantor, giveBack func(bool)) *use {
	us := &use{li: li, key: keyOf(en), grantor: gr, giveBack: giveBack}
	li.mu.Lock()
	defer li.mu.Unlock()
	pr := li.inProgress[us.key]
	if pr == nil {
		if li.inProgress == nil {
			li.inProgress = make(map[key]*progress)
		}
		pr = &progress{counts: make(map[grantor]int)}
		li.inProgress[us.key] = pr
	}
	pr.endpoint = en
	pr.counts[gr]++
	return us
}

// leave ends a request in progress.
func (li *Limiter) leave(us *use, turnedAway bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	pr := li.inProgress[us.key]
	if pr.counts[us.grantor]--; pr.counts[us.grantor] == 0 {
		delete(pr.counts, us.grantor)
	}
	pr.turnedAway = pr.turnedAway || turnedAway && us.grantor == (grantor{})
	if len(pr.counts) == 0 && pr.reported.count == 0 && !pr.turnedAway {
		delete(li.inProgress, us.key)
	}
}

// Report tells the allocators of brittle endpoints what this instance has in progress
// there without their slots. It must be called several times a second.
func (li *Limiter) Report() {
	for to, holds := range li.dueReports() {
		ar := ReportArgs{Instance: li.Peers.Self.Name, Process: li.Allocator.Epoch(), Sequence: li.reports.Add(1), Holds: holds}
		if to.name == li.Peers.Self.Name {
			li.learnEpoch(to.name, li.Allocator.Report(ar).Epoch)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			var re ReportReply
			if err := li.Caller.Call(ctx, to.address, ServiceName+".Report", ar, &re); err != nil {
				li.repeatReport(holds)
				return
			}
			li.learnEpoch(to.name, re.Epoch)
		}()
	}
}

// recipient is an allocator to report to.
type recipient struct{ name, address string }

// dueReports returns the reports that are due, and marks them as made.
func (li *Limiter) dueReports() map[recipient][]Hold {
	now := li.Boot.Now()
	li.mu.Lock()
	defer li.mu.Unlock()
	var due map[recipient][]Hold
	for ke, pr := range li.inProgress {
		if li.IsBrittle == nil || !li.IsBrittle(pr.endpoint) {
			if pr.turnedAway = false; len(pr.counts) == 0 {
				delete(li.inProgress, ke)
			}
			continue
		}
		vi := li.Peers.View(pr.endpoint.ID, pr.endpoint.Zone)
		if vi.Allocator == nil {
			continue
		}
		to := grantor{instance: vi.Allocator.Name, epoch: li.epochs[vi.Allocator.Name]}
		next := report{to: to, count: pr.without(to), at: now}
		repeats := next.to == pr.reported.to && next.count == pr.reported.count && !pr.turnedAway
		// Requests that have a slot of the allocator are repeated as a count of zero: its
		// answer tells whether another process has taken its place.
		if repeats && (len(pr.counts) == 0 || now-pr.reported.at < reportInterval) {
			continue
		}
		if due == nil {
			due = make(map[recipient][]Hold)
		}
		re := recipient{name: to.instance, address: vi.Allocator.Address.String()}
		due[re] = append(due[re], Hold{Endpoint: ke.endpoint, Started: ke.started, Count: next.count, TurnedAway: pr.turnedAway})
		pr.reported, pr.turnedAway = next, false
		if len(pr.counts) == 0 {
			delete(li.inProgress, ke)
		}
	}
	return due
}

// repeatReport makes a report that got lost due again.
func (li *Limiter) repeatReport(holds []Hold) {
	li.mu.Lock()
	defer li.mu.Unlock()
	for _, ho := range holds {
		if pr := li.inProgress[ho.key()]; pr != nil {
			pr.reported.to = grantor{}
			pr.turnedAway = pr.turnedAway || ho.TurnedAway
		}
	}
}

// learnEpoch records the epoch of an allocator's process. After a change, all requests
// that have a slot of the process before are reported.
func (li *Limiter) learnEpoch(instance string, epoch int64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.epochs == nil {
		li.epochs = make(map[string]int64)
	}
	li.epochs[instance] = epoch
}
