package suspicion

import (
	"slices"
	"time"
)

const (
	// guiltyRequestCrashes is the number of crashes from which on a request as a whole
	// is guilty.
	guiltyRequestCrashes = 2
	// guiltyPartCrashes and guiltyProvenCrashes are the numbers of crashes, at different
	// moments, from which on a part is guilty that has never completed, or that has.
	guiltyPartCrashes   = 3
	guiltyProvenCrashes = 5
	// momentGap is the time from which on two crashes count as different moments.
	momentGap = 200 * time.Millisecond
	// retention is how long a feature is judged after a merge has last added a loss or
	// a clearing to its record.
	retention = time.Hour
)

// Verdict is the decision on whether and where a request may run.
type Verdict int

// The verdicts.
const (
	// Clear means that the request may run on any endpoint.
	Clear Verdict = iota
	// Suspect means that the request may run, but not at the same time as another one
	// with the same feature. A part that has completed before is no suspect.
	Suspect
	// Refuse means that the request must not run again.
	Refuse
)

// Judgement is what is known of a feature.
type Judgement struct {
	Verdict Verdict
	Feature Feature
	// Losses is the number of crashes that are held against the feature. Crashes is the
	// number of those that count: for a part, at different moments.
	Losses, Crashes int
	// until is when the judgement expires.
	until time.Time
}

// judged maps the features with crashes that they are not cleared of to what is known
// of them.
type judged map[Feature]Judgement

// judge returns the judgements on all records. The features with the most crashes are
// guilty first. The crashes that they explain count against no feature with fewer. Of a
// request and its part with as many crashes, the request is taken, since fewer requests
// are refused then.
func judge(records map[Feature]*record, now time.Time) judged {
	candidates := make(map[Feature]*record)
	for fe, rc := range records {
		if len(rc.losses) >= rc.guiltyCrashes(fe.Kind) && now.Sub(rc.newest) <= retention {
			candidates[fe] = rc
		}
	}
	result := make(judged, len(records))
	explained := make(map[Loss]bool)
	for {
		list, count := guiltiest(candidates, explained)
		if len(list) == 0 {
			break
		}
		for _, fe := range list {
			rc := candidates[fe]
			losses, _ := rc.crashes(fe.Kind, explained)
			result[fe] = Judgement{Verdict: Refuse, Feature: fe, Losses: losses, Crashes: count, until: rc.newest.Add(retention)}
		}
		for _, fe := range list {
			candidates[fe].addOpen(explained)
			delete(candidates, fe)
		}
	}
	for fe, rc := range records {
		if _, guilty := result[fe]; guilty || !rc.isOpen() || now.Sub(rc.newest) > retention {
			continue
		}
		ju := Judgement{Feature: fe, until: rc.newest.Add(retention)}
		ju.Losses, ju.Crashes = rc.crashes(fe.Kind, explained)
		if ju.Crashes > 0 && !rc.proven {
			ju.Verdict = Suspect
		}
		result[fe] = ju
	}
	return result
}

// guiltiest returns the features of one kind with the most crashes, out of those with
// enough of them to be guilty, and that number of crashes.
func guiltiest(candidates map[Feature]*record, explained map[Loss]bool) (list []Feature, crashes int) {
	for fe, rc := range candidates {
		_, count := rc.crashes(fe.Kind, explained)
		if count < rc.guiltyCrashes(fe.Kind) {
			continue
		}
		isBetter := count > crashes || count == crashes && fe.Kind < list[0].Kind
		switch {
		case isBetter:
			list, crashes = []Feature{fe}, count
		case count == crashes && fe.Kind == list[0].Kind:
			list = append(list, fe)
		}
	}
	return list, crashes
}

// guiltyCrashes returns the number of crashes from which on the feature is guilty.
func (rc *record) guiltyCrashes(ki FeatureKind) int {
	switch {
	case ki == KindRequest:
		return guiltyRequestCrashes
	case rc.proven:
		return guiltyProvenCrashes
	default:
		return guiltyPartCrashes
	}
}

// crashes returns the number of crashes that are held against the feature, and the
// number of those that count.
func (rc *record) crashes(ki FeatureKind, explained map[Loss]bool) (losses, count int) {
	moments := make([]time.Time, 0, len(rc.losses))
	for lo, st := range rc.losses {
		if !st.cleared && !explained[lo] {
			moments = append(moments, st.at)
		}
	}
	if ki == KindRequest || len(moments) <= 1 {
		return len(moments), len(moments)
	}
	slices.SortFunc(moments, time.Time.Compare)
	var last time.Time
	for ix, at := range moments {
		if ix == 0 || at.Sub(last) >= momentGap {
			count, last = count+1, at
		}
	}
	return len(moments), count
}

// addOpen adds the losses that are not cleared to a set.
func (rc *record) addOpen(set map[Loss]bool) {
	for lo, st := range rc.losses {
		if !st.cleared {
			set[lo] = true
		}
	}
}

// isOpen reports whether any loss is not cleared.
func (rc *record) isOpen() bool {
	for _, st := range rc.losses {
		if !st.cleared {
			return true
		}
	}
	return false
}
