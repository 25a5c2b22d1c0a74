package dispatch

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// Meter records counts of replies and attempts, and reply latencies. A nil
// Meter records nothing.
type Meter struct {
	Scope tally.Scope
}

// replyBuckets are the upper bounds of the latency histogram.
var replyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// countReply counts one reply and records its latency. For a stream, this is
// the time until its header arrives, which is taken as the time to its first
// event.
func (me *Meter) countReply(rp Reply, took time.Duration) {
	if me == nil {
		return
	}
	tags := map[string]string{"status": strconv.Itoa(rp.Status), "reason": "answered"}
	if rp.Refusal != nil {
		tags["status"], tags["reason"] = strconv.Itoa(rp.Refusal.PromisedStatus()), string(rp.Refusal.Reason)
	}
	me.Scope.Tagged(tags).Counter("replies").Inc(1)
	me.Scope.Histogram("reply_seconds", replyBuckets).RecordDuration(took)
}

// countAttempt counts one attempt by its outcome.
func (me *Meter) countAttempt(outcome string) {
	if me == nil {
		return
	}
	me.Scope.Tagged(map[string]string{"how": outcome}).Counter("attempts").Inc(1)
}
