package simulation

import (
	"math"
	"time"
)

// Virtual times at which faults are injected.
const (
	killAt            = 150 * time.Second
	restartAt         = 210 * time.Second
	turnColdAt        = 270 * time.Second
	crashingRequestAt = 330 * time.Second
	// crashingFingerprint differs from the fingerprints of all other jobs.
	crashingFingerprint = math.MaxUint64
	// coldNoticeDelay is how long the allocator cannot know that an engine turned
	// cold, because of the step in progress and the delay of progress reports.
	coldNoticeDelay = time.Second
)

// scheduleFaults adds the faults of the run to the event queue.
func (ru *run) scheduleFaults() {
	if ru.op.Faults.Dying {
		ru.events.add(killAt, func() { ru.kill(ru.engines[4]) })
	}
	if ru.op.Faults.Cold {
		ru.events.add(restartAt, func() { ru.kill(ru.engines[1]) })
		ru.events.add(turnColdAt, func() { ru.turnCold(ru.engines[2]) })
	}
	if ru.op.Faults.Crashing {
		ru.events.add(crashingRequestAt, func() {
			jo := &job{id: "culprit", team: "team-1", arrived: ru.now, prompt: 400, length: 600, crashesEngine: true, fingerprint: crashingFingerprint}
			ru.submit(jo)
		})
	}
}

// turnCold makes an engine cold without a restart.
func (ru *run) turnCold(en *engine) {
	en.turnCold()
	ru.coldNoticedAt[en] = ru.now + coldNoticeDelay
}
