package dispatch

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// Meter counts replies and attempts, and keeps latencies. A nil Meter counts
// nothing.
type Meter struct {
	Scope tally.Scope
}

// replyBuckets are the bounds of the latency histogram.
var replyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// reply counts one reply; for a stream, the time is that to its first event.
func (me *Meter) reply(rp Reply, took time.Duration) {
	if me == nil {
		return
	}
	tags := map[string]string{"status": strconv.Itoa(rp.Status), "reason": "answered"}
	if rp.Refusal != nil {
		tags["status"], tags["reason"] = strconv.Itoa(rp.Refusal.Rule().Status), string(rp.Refusal.Reason)
	}
	me.Scope.Tagged(tags).Counter("replies").Inc(1)
	me.Scope.Histogram("reply_seconds", replyBuckets).RecordDuration(took)
}

// attempt counts what became of an attempt.
func (me *Meter) attempt(how string) {
	if me == nil {
		return
	}
	me.Scope.Tagged(map[string]string{"how": how}).Counter("attempts").Inc(1)
}
