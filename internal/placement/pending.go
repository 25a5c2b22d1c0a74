package placement

import (
	"time"

	"filbertstall.example/filbertstall/internal/roster"
)

// AddPending counts a request towards the load of an engine that another instance will
// send there, until RemovePending is called with the same demand. It is not reported to
// other instances, which the one that sends it tells of it.
func (lt *LoadTracker) AddPending(id string, dm Demand) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	if lt.remoteTotals == nil {
		lt.remoteLoads, lt.remoteTotals = make(map[string]map[string]Load), make(map[string]Load)
	}
	lt.addRemoteLoad(id, dm.load())
}

// RemovePending ends what AddPending began.
func (lt *LoadTracker) RemovePending(id string, dm Demand) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	lo := dm.load()
	lt.addRemoteLoad(id, Load{-lo.Running, -lo.PrefillTokens, -lo.ReservedTokens})
}

// load returns the load of a request at an engine before its first token.
func (dm Demand) load() Load {
	return Load{Running: 1, PrefillTokens: dm.Prompt, ReservedTokens: dm.Prompt + dm.Output}
}

// maxPromptWait is the longest time, in milliseconds, that the prompts before a request
// may take to read at an engine that has room for it. With more, the request is better
// kept back, since it can still go to another engine.
const maxPromptWait = 300.0

// Fits reports whether an engine with load lo has a slot and memory for the request, and
// reads its prompt soon. An idle engine has room for any request.
func (dm Demand) Fits(lo Load) bool {
	if dm.Engine == nil || lo.Running == 0 && lo.ReservedTokens == 0 {
		return true
	}
	memory := plannableMemoryShare * float64(dm.Engine.MemoryTokens)
	if float64(lo.PrefillTokens)/prefillTokensPerMillisecond > maxPromptWait {
		return false
	}
	return lo.Running < dm.Engine.Slots && float64(lo.ReservedTokens+dm.Prompt+dm.Output) <= memory
}

// Unusable returns the IDs of the endpoints that this instance can't use now, which
// other instances may not know: those in back-off after failed connections, and those
// that want no requests.
func (lt *LoadTracker) Unusable(list []roster.Endpoint) (unreachable, unwilling []string) {
	now := lt.Clock.Now()
	lt.mu.Lock()
	defer lt.mu.Unlock()
	for _, en := range list {
		ac := lt.accounts[en.ID]
		switch {
		case ac != nil && now.Before(ac.backoffUntil):
			unreachable = append(unreachable, en.ID)
		case !lt.accepts(en, false):
			unwilling = append(unwilling, en.ID)
		}
	}
	return unreachable, unwilling
}

// ReadTime returns the time that an engine takes to read the prompt.
func (dm Demand) ReadTime() time.Duration {
	return time.Duration(float64(dm.Prompt) / prefillTokensPerMillisecond * float64(time.Millisecond))
}

// ZoneCost returns by how much an engine in another zone must be better for a request
// that is sent there: nothing if Zones has already decided that it leaves.
func (lt *LoadTracker) ZoneCost(dm Demand) float64 {
	if lt.zonesApply(dm) {
		return 0
	}
	return dm.remoteZoneCost()
}
