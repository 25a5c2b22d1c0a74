package allocation

import (
	"time"

	"filbertstall.example/filbertstall/internal/admission"
)

// deadlineGrace is how long past its deadline a request of a silent member may
// still be running.
const deadlineGrace = 5 * time.Second

// sync processes what a member has in flight. A message that was overtaken by
// a newer one is rejected as stale.
func (ho *holder) sync(now time.Time, instance string, gs *GroupSync) GroupReply {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	reply := GroupReply{Group: ho.group, Epoch: ho.epoch, Stamp: ho.stamp(now)}
	if !ho.held() {
		reply.Failure = NotHolder
		return reply
	}
	co, found := ho.contacts[instance]
	if !found {
		co = &contact{}
		ho.contacts[instance] = co
	}
	if gs.Sequence <= co.sequence {
		reply.Failure = Stale
		return reply
	}
	co.sequence = gs.Sequence
	if gs.Epoch == ho.epoch && gs.Stamp > 0 {
		co.lastSeen = ho.since.Add(time.Duration(gs.Stamp - 1))
	}
	ho.finish(now, gs.Ended)
	reply.Unknown = ho.adopt(now, instance, gs)
	reply.BootVersion = ho.bootVersion
	if gs.BootVersion != ho.bootVersion {
		reply.Boots = ho.bootList()
	}
	ho.dropUnlisted(now, instance, gs)
	ho.decide(now)
	return reply
}

// finish removes the requests that a member has ended.
func (ho *holder) finish(now time.Time, list []EndedSync) {
	for _, en := range list {
		if rq, found := ho.requests[en.Key]; found {
			if en.Outcome.Result == admission.Lost || en.Outcome.Result == admission.NotBegun {
				ho.markFailed(now, rq.endpoint)
			}
			ho.drop(now, en.Key, en.Outcome)
		}
	}
}

// drop removes a request, waiting or granted.
func (ho *holder) drop(now time.Time, key string, ou admission.Outcome) {
	rq := ho.requests[key]
	delete(ho.requests, key)
	if rq.granted() {
		ho.core.Finish(now, key, ou)
		return
	}
	ho.core.Withdraw(now, key)
}

// adopt counts the member's requests in flight, including those that another
// holder granted. It returns the keys that the holder does not know and that
// were sent without their request.
func (ho *holder) adopt(now time.Time, instance string, gs *GroupSync) []string {
	var unknown []string
	for _, pl := range gs.Places {
		rq, found := ho.requests[pl.Key]
		if found && rq.granted() {
			ho.core.Progress(now, pl.Key, pl.Tokens)
			continue
		}
		if pl.Request == nil {
			unknown = append(unknown, pl.Key)
			continue
		}
		if found {
			ho.drop(now, pl.Key, admission.Outcome{})
		}
		rq = &request{
			key: pl.Key, instance: instance, re: *pl.Request, sequence: gs.Sequence,
			endpoint: pl.Endpoint, suspect: pl.Suspect, asked: now, done: make(chan struct{}),
		}
		rq.re.ID = pl.Key
		close(rq.done)
		ho.requests[pl.Key] = rq
		ho.core.Adopt(now, rq.re, pl.Endpoint, pl.Tokens)
	}
	return unknown
}

// dropUnlisted drops the member's requests that precede this sync and are
// missing from it, because the member has given them up.
func (ho *holder) dropUnlisted(now time.Time, instance string, gs *GroupSync) {
	listed := make(map[string]bool, len(gs.Waiting)+len(gs.Places))
	for _, key := range gs.Waiting {
		listed[key] = true
	}
	for _, pl := range gs.Places {
		listed[pl.Key] = true
	}
	for key, rq := range ho.requests {
		if rq.instance == instance && !listed[key] && rq.sequence < gs.Sequence {
			ho.drop(now, key, admission.Outcome{Result: admission.Canceled})
		}
	}
}

// expire drops waiting requests that are no longer asked for, and granted
// requests of silent members that have presumably ended. Neither counts as a
// failure of the endpoint.
func (ho *holder) expire(now time.Time) {
	for key, rq := range ho.requests {
		if !rq.granted() {
			if now.Sub(rq.asked) > waitingExpiry {
				ho.drop(now, key, admission.Outcome{Result: admission.Canceled})
			}
			continue
		}
		if ho.presumedEnded(now, rq) {
			ho.drop(now, key, admission.Outcome{Result: admission.Canceled})
		}
	}
}

// presumedEnded reports whether a request of a member that has been silent for
// memberDeadAfter no longer runs: its deadline has passed by more than
// deadlineGrace, or a load report that was requested more than
// memberDeadAfter-maxReportLag after the member was last seen shows no more
// requests than other members have there. At an endpoint without reports, it
// counts as ended after unreportedDeadAfter.
func (ho *holder) presumedEnded(now time.Time, rq *request) bool {
	lastSeen := ho.since
	if rq.asked.After(lastSeen) {
		lastSeen = rq.asked
	}
	if co, found := ho.contacts[rq.instance]; found && co.lastSeen.After(lastSeen) {
		lastSeen = co.lastSeen
	}
	silence := now.Sub(lastSeen)
	if silence < memberDeadAfter {
		return false
	}
	if !rq.re.Deadline.IsZero() && now.Sub(rq.re.Deadline) > deadlineGrace {
		return true
	}
	re, found := ho.reports[rq.endpoint]
	if !found {
		return silence > unreportedDeadAfter
	}
	fresh := re.at.Sub(lastSeen) > memberDeadAfter-maxReportLag
	return fresh && re.total <= ho.runningOfOthers(rq)
}

// runningOfOthers counts the granted requests at the endpoint of rq that
// belong to other members.
func (ho *holder) runningOfOthers(rq *request) int {
	count := 0
	for _, it := range ho.requests {
		if it.endpoint != rq.endpoint || it.instance == rq.instance {
			continue
		}
		count++
	}
	return count
}
