package relay

import "time"

// noteSilence records, as noteFailure does, that a call to the store failed, and that the store
// does not answer this instance or the reader that it follows from then on.
func (lo *Log) noteSilence() {
	now := lo.Boot.Now()
	lo.mu.Lock()
	lo.silentSince = now
	lo.continuity.noteFailure(now)
	lo.mu.Unlock()
	lo.Observe()
}

// observeSilence records whether the silence has ended, for those that follow this
// instance.
func (lo *Log) observeSilence() {
	silent := lo.StoreUnresponsive()
	lo.mu.Lock()
	changed := silent != lo.silent
	lo.mu.Unlock()
	if changed {
		lo.Observe()
	}
}

// StoreUnresponsive reports whether the store has not answered this instance, or
// the reader that it follows, since the last failed call.
func (lo *Log) StoreUnresponsive() bool {
	lo.mu.Lock()
	since := lo.silentSince
	lo.mu.Unlock()
	if lo.Roster.StoreUnresponsive() {
		return true
	}
	age, confirmed := lo.State.Age()
	return since > 0 && (!confirmed || lo.Boot.Now()-age < since)
}

// CallAnswered records that the store answered a call about endpoints that was
// sent at boot time begun.
func (lo *Log) CallAnswered(begun time.Duration) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.lastAnswer = max(lo.lastAnswer, begun)
}

// ConfigurationAnswered records that the store answered a call about the
// configuration.
func (lo *Log) ConfigurationAnswered() {
	lo.StoreAnswered()
	lo.forgetFailures()
	lo.observeSilence()
}

// forgetFailures begins the count of failed calls again.
func (lo *Log) forgetFailures() {
	now := lo.Boot.Now()
	lo.mu.Lock()
	lo.failures, lo.endedAt = 0, now
	lo.mu.Unlock()
}

// ConfigurationFailed records that a call about the configuration failed.
func (lo *Log) ConfigurationFailed() {
	now := lo.Boot.Now()
	lo.mu.Lock()
	if lo.failures == 0 {
		lo.failingSince = now
	}
	lo.failures++
	lo.endedAt = now
	lo.mu.Unlock()
	lo.noteSilence()
}

// calls describes the latest calls about the configuration: how many failed in a
// row, the time since the first of them, and the time since any call ended.
type calls struct {
	failures        int
	failing, silent time.Duration
}

func (lo *Log) configurationCalls() calls {
	now := lo.Boot.Now()
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return calls{failures: lo.failures, failing: now - lo.failingSince, silent: now - lo.endedAt}
}
