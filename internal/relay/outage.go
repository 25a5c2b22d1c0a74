package relay

import (
	"context"
	"slices"
	"time"
)

const (
	// DefaultLapseTime is the LapseTime of a Log that has none.
	DefaultLapseTime = 2 * time.Second
	// minLapseTime is the least LapseTime: the store holds a call for a second, so that
	// answers are as far apart without an outage.
	minLapseTime = 1500 * time.Millisecond
)

// lapseTime returns the shortest outage in which entries may expire.
func (lo *Log) lapseTime() time.Duration {
	if lo.LapseTime == 0 {
		return DefaultLapseTime
	}
	return max(lo.LapseTime, minLapseTime)
}

// StoreAnswered records that the store answered a call of this instance. It is called
// before the answer is applied to the roster, since it finds out what it means if entries
// are missing: after an outage they may have expired while their endpoints live. A path
// to the store that was cut, for this instance or for the reader that it followed, is
// none: then the store has answered others, or it was for a shorter time than entries
// last.
func (lo *Log) StoreAnswered() {
	now := lo.Boot.Now()
	lo.mu.Lock()
	if judged := lo.judged; judged != nil {
		lo.mu.Unlock()
		<-judged
		return
	}
	silent := lo.continuity.noteAnswer(now, lo.lapseTime())
	if silent < lo.lapseTime() {
		lo.mu.Unlock()
		return
	}
	judged := make(chan struct{})
	lo.judged = judged
	lo.mu.Unlock()
	outage := lo.AnsweredElsewhere == nil || !lo.AnsweredElsewhere(silent)
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.judged = nil; outage {
		lo.outageEnd = lo.Now()
	}
	close(judged)
}

// OutageEnd returns when an outage of the store last ended in which entries may have
// expired, or the zero time. It is meant for Roster.OutageEnd.
func (lo *Log) OutageEnd() time.Time {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.outageEnd
}

// outageMemory is how long followers are told of an outage.
const outageMemory = 5 * time.Second

// outageAge returns one more than the time since an outage ended, or zero if there was none
// within outageMemory. The caller holds mu.
func (lo *Log) outageAge() time.Duration {
	if lo.outageEnd.IsZero() {
		return 0
	}
	age := lo.Now().Sub(lo.outageEnd)
	if age < 0 || age >= outageMemory {
		return 0
	}
	return age + 1
}

// noteOutage records an outage that ended some time ago by what another instance found, so
// that this one finds the same should it read the store next.
func (lo *Log) noteOutage(age time.Duration) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if end := lo.Now().Add(-age); end.Sub(lo.outageEnd) > outageMemory {
		lo.outageEnd = end
	}
}

// noteFailure records that a call to the store failed, of this instance or of the reader
// that it follows.
func (lo *Log) noteFailure() {
	now := lo.Boot.Now()
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.continuity.noteFailure(now)
}

// noteAnswer records that the store answered another instance at a boot time. That one, or
// the reader behind it, has judged what is missing.
func (lo *Log) noteAnswer(at time.Duration) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.continuity.noteAnswer(at, lo.lapseTime())
}

// answeredAge returns the time since the store last answered, as far as the sender knows.
// One of an earlier version tells only when the store was asked.
func (up Update) answeredAge() time.Duration {
	if up.AnsweredAge > 0 {
		return up.AnsweredAge - 1
	}
	return up.ConfigurationAge
}

// AnsweredElsewhere is meant for Log.AnsweredElsewhere. It asks the first candidate of each
// other zone, for 0.3 s at most.
func (sw *Switch) AnsweredElsewhere(silent time.Duration) bool {
	answers := sw.askAll(context.Background(), readersOf(sw.Members.List(), sw.Self, sw.Alive))
	found := slices.ContainsFunc(answers, func(so source) bool { return so.err == nil && so.status.Unbroken >= silent })
	sw.Logger.Info().Str("event", "silence_judged").Dur("silent", silent).Int("asked", len(answers)).Bool("outage", !found).
		Msg("relay: the store answers again; entries that are missing count as expired in an outage, or as removed")
	return found
}
