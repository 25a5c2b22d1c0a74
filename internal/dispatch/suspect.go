package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// Suspects tracks what requests have in common under which endpoints crash.
// suspicion.Registry implements it.
type Suspects interface {
	// HasSuspects reports whether anything is suspected at all.
	HasSuspects() bool
	Judge(features ...suspicion.Feature) suspicion.Judgement
	Lost(ctx context.Context, lo suspicion.Loss, features ...suspicion.Feature)
	Finished(ctx context.Context, features ...suspicion.Feature)
}

// Turns lets the requests of all instances with a suspected feature go one by one.
type Turns interface {
	// Take takes the next turn of a feature and returns after how long the request may
	// be sent, which is at most maxWait. If there is none, it returns false, and after
	// how long there may be one.
	Take(ctx context.Context, fe suspicion.Feature, maxWait time.Duration) (wait time.Duration, taken bool)
}

// computeFingerprint returns a hash of the request without its ID, because
// callers resubmit a crashing request under a new ID.
func (ta *task) computeFingerprint() uint64 {
	di := xxhash.New()
	for _, part := range []string{ta.team, ta.Method, ta.Host, ta.Target} {
		_, _ = di.WriteString(part)
		_, _ = di.WriteString("\x00")
	}
	_, _ = di.Write(ta.Body)
	return di.Sum64()
}

// whole returns the feature of the request as a whole.
func (ta *task) whole() suspicion.Feature { return suspicion.Whole(ta.fingerprint) }

// parts returns the features of the parts that the prompt shares with others, for
// endpoints with a version of their software.
func (ta *task) parts(version string) []suspicion.Feature {
	if ta.partFeatures == nil || ta.partVersion != version {
		ta.partFeatures, ta.partVersion = []suspicion.Feature{}, version
		for _, id := range ta.Prompt.sharedParts() {
			ta.partFeatures = append(ta.partFeatures, suspicion.SharedPart(ta.service.Name, version, id))
		}
	}
	return ta.partFeatures
}

// judge returns the judgement on sending the task to an endpoint.
func (di *Dispatcher) judge(ta *task, en roster.Endpoint) suspicion.Judgement {
	if di.Suspects == nil {
		return suspicion.Judgement{}
	}
	whole, parts := di.Suspects.Judge(ta.whole()), di.Suspects.Judge(ta.parts(en.Version)...)
	if whole.Verdict > parts.Verdict {
		return whole
	}
	return parts
}

// suspectRefusal returns the refusal of a request under which endpoints would crash.
func suspectRefusal(ta *task, ju suspicion.Judgement) *refusal.Error {
	detail := "endpoints that ran the same request crashed"
	if ju.Feature.Kind == suspicion.KindPart {
		detail = "endpoints that ran requests with a part of this prompt crashed"
	}
	er := refusal.New(refusal.NotSentSuspect, detail)
	er.Dispatched = ta.ran > 0
	return er
}

// withoutCrashing returns the endpoints at which no feature of the task is known to
// crash endpoints. If there were some, and all are left out, it returns a refusal.
func (di *Dispatcher) withoutCrashing(ta *task, ready []roster.Endpoint) ([]roster.Endpoint, *refusal.Error) {
	if di.Suspects == nil || len(ready) == 0 || !di.Suspects.HasSuspects() {
		return ready, nil
	}
	byVersion := make(map[string]suspicion.Judgement)
	kept := slices.DeleteFunc(slices.Clone(ready), func(en roster.Endpoint) bool {
		ju, judged := byVersion[en.Version]
		if !judged {
			ju = di.judge(ta, en)
			byVersion[en.Version] = ju
		}
		return ju.Verdict == suspicion.Refuse
	})
	if len(kept) == 0 {
		return nil, suspectRefusal(ta, byVersion[ready[0].Version])
	}
	return kept, nil
}

// awaitTurn waits for the turn of a request with a part that is suspected of crashing
// endpoints, and refuses it if that takes too long. A request has one turn for each
// time that it may reach an endpoint.
func (di *Dispatcher) awaitTurn(ctx context.Context, ta *task, version string, maxWait time.Duration) *refusal.Error {
	if di.Suspects == nil || di.Turns == nil {
		return nil
	}
	ju := di.Suspects.Judge(ta.parts(version)...)
	if !di.lacksTurn(ta, ju) {
		return nil
	}
	wait, taken := di.Turns.Take(ctx, ju.Feature, maxWait)
	if !taken {
		return turnRefusal(ta, wait)
	}
	pause.For(ctx, di.Clock, wait)
	ta.turn = ju.Feature
	return nil
}

// turnRefusal returns the refusal of a request that gets no turn in time.
func turnRefusal(ta *task, after time.Duration) *refusal.Error {
	er := refusal.New(refusal.NotSentSuspect, "endpoints crashed under requests with a part of this prompt; others with it are sent one by one")
	er.Dispatched = ta.ran > 0
	return er.WithRetryAfter(spread(max(after, busyRetryAfter)))
}

// lacksTurn reports whether, by a judgement, a task must not be sent without a turn that it
// does not have.
func (di *Dispatcher) lacksTurn(ta *task, ju suspicion.Judgement) bool {
	return di.Turns != nil && ju.Verdict == suspicion.Suspect && ju.Feature.Kind == suspicion.KindPart && ju.Feature != ta.turn
}

// handleMissingTurn handles an attempt that is not sent because a part of its prompt became
// suspected while it waited for something else, or is suspected only at the version of the
// endpoint that was chosen.
func (di *Dispatcher) handleMissingTurn(ta *task, en roster.Endpoint) result {
	ta.turnVersion = en.Version
	if di.mayChooseAgain(ta, en, "no_turn", nil) {
		return result{step: retry}
	}
	return result{step: giveUp, refusal: turnRefusal(ta, 0)}
}

// versionOfTurn returns the version at which the task is judged for its turn: the one at
// which it lacked a turn before, if an endpoint has it.
func (ta *task) versionOfTurn(ready []roster.Endpoint) string {
	for _, en := range ready {
		if en.Version == ta.turnVersion {
			return en.Version
		}
	}
	return ready[0].Version
}

const (
	// provenAfter is the time since the head of its answer after which a run that has
	// made events shows that its parts are harmless. A part that crashes engines does so
	// when they begin to write.
	provenAfter = 500 * time.Millisecond
	// maxRunCrashes is the number of crashes from which on a run is not resumed.
	maxRunCrashes = 3
)

// clearSuspicion tells the registry that a request has completed at an endpoint.
func (di *Dispatcher) clearSuspicion(ta *task, en roster.Endpoint) {
	if di.Suspects == nil {
		return
	}
	di.Suspects.Finished(context.Background(), ta.whole())
	di.clearParts(ta, en)
}

// clearParts tells the registry that the parts of a prompt are harmless at an
// endpoint.
func (di *Dispatcher) clearParts(ta *task, en roster.Endpoint) {
	if parts := ta.parts(en.Version); di.Suspects != nil && len(parts) > 0 {
		di.Suspects.Finished(context.Background(), parts...)
	}
}

// checkProven clears the parts of the prompt once the run has gone on for long enough.
func (se *session) checkProven() {
	if se.proven || se.di.Clock.Since(se.beganAt) < provenAfter {
		return
	}
	se.proven = true
	se.di.clearParts(se.ta, se.endpoint)
}

// crashFeatures returns what a crash of the engine is held against.
func (se *session) crashFeatures() []suspicion.Feature {
	features := []suspicion.Feature{se.ta.whole()}
	if se.proven {
		return features
	}
	return append(features, se.ta.parts(se.endpoint.Version)...)
}

// mayTakeOver reports whether an interrupted run may go on from its standby copy,
// although it may have crashed its engine. A run that had just begun waits until that
// is known. It may go on once: then it shows whether it was the cause.
func (se *session) mayTakeOver() bool {
	di := se.di
	if se.accounted || di.Suspects == nil || se.standby == nil {
		return true
	}
	se.accounted = true
	if se.proven {
		di.reportCrash(se.ta, se.endpoint, se.ta.whole())
		return di.Suspects.Judge(se.ta.whole()).Crashes < maxRunCrashes
	}
	features := se.crashFeatures()
	crashed := di.detectCrash(se.ta, se.endpoint, features)
	di.recordLoss(se.ta, se.endpoint, crashed)
	if !crashed {
		return true
	}
	if di.Suspects.Judge(features...).Losses > 1 || di.awaitTurn(se.ctx, se.ta, se.endpoint.Version, maxResumeWait) != nil {
		return false
	}
	se.blamed = features
	return se.isSafeAt(se.endpoint)
}

// isSafeAt reports whether, by what is known now, the run does not crash an engine. One that
// has gone on for long enough does not.
func (se *session) isSafeAt(en roster.Endpoint) bool {
	di := se.di
	if di.Suspects == nil || se.proven {
		return true
	}
	return di.Suspects.Judge(se.blamed...).Losses <= 1 && di.judge(se.ta, en).Verdict != suspicion.Refuse
}
