package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// repeatAfter is the time after which Next returns the same transition again.
	repeatAfter = 300 * time.Millisecond
	// rampTime is the time in which the share rises linearly from firstStep to lastStep
	// once the target is promoted. The rest goes to the old version, for comparison, until
	// lastTime before the last status is due (margin); then the share is 1.
	rampTime  = 1200 * time.Millisecond
	firstStep = 0.25
	lastStep  = 0.85
	lastTime  = 800 * time.Millisecond
	// promoteTime is reserved for the promotion, and moveTime for each run that has to
	// move. Together they are at most maxPromotePart of the budget.
	promoteTime    = 1500 * time.Millisecond
	moveTime       = 10 * time.Millisecond
	maxPromotePart = 0.35
	// watchTime is the least time between promotion and completion, in which requests can
	// still go back to the old endpoints. The end of the budget cuts it short.
	watchTime = 2 * time.Second
	// doubtTime is how long the decision waits while there is some evidence against the
	// target (judge.doubt).
	doubtTime = time.Second
	// leastAnswers is the number of the target's answers without which it is promoted
	// only if the bound holds even if it is bad.
	leastAnswers = 20
	// maxOutliers limits the endpoints that a report names as outliers.
	maxOutliers = 16
	// marginPart of the budget is left at its end for the write of the last status, but
	// at least leastMargin and at most mostMargin.
	marginPart  = 0.08
	leastMargin = 500 * time.Millisecond
	mostMargin  = 2 * time.Second
)

// Next evaluates all orders and returns a status that should be written now. It must be
// called several times a second on each instance. evaluator reports whether this
// instance is the one that evaluates a service; it must be false on an instance that
// gets messages of less than half of the others. pending returns how many runs and requests are
// still at endpoints of other versions than the target, in the fleet.
func (re *Registry) Next(evaluator func(service string) bool, pending func(service, target string) int) (Transition, bool) {
	if re.Bounds.Share <= 0 {
		return Transition{}, false
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.Clock.Now()
	var next *Transition
	for _, name := range slices.Sorted(maps.Keys(re.services)) {
		se := re.services[name]
		if se.rollout == nil {
			continue
		}
		evaluates := evaluator(name)
		if !se.rollout.state.Final() {
			re.evaluate(se, evaluates, pending(name, se.rollout.order.Target), now)
		}
		if tr, due := re.transition(se, evaluates, now); due && next == nil {
			se.rollout.offeredAt = now
			next = &tr
		}
	}
	re.publish(now)
	if next == nil {
		return Transition{}, false
	}
	return *next, true
}

// evaluate enters new answers into the judge, acts on its verdict, and sets what this
// instance reports.
func (re *Registry) evaluate(se *service, evaluates bool, pending int, now time.Time) {
	ro := se.rollout
	ro.pending = pending
	le := ro.ledger
	ro.judge.step(le, now, ro.state == Promoting)
	if le.own.Evaluator != evaluates {
		le.own.Evaluator, le.unsent = evaluates, true
	}
	running, others := se.running(ro.order.Target)
	ro.judge.stepCrashes(le, now, others, running)
	reason, bad := ro.judge.verdict(running > 1)
	if !bad && ro.mustDecide(ro.age(now)) {
		reason, bad = ro.judge.doubt(running > 1)
	}
	if bad && !ro.bad && ro.state != Pending {
		re.stop(se, evaluates, reason)
	}
	re.setOwnShare(ro, evaluates, running, now)
}

// stop stops the use of a target that was found bad: by this instance or, if it is an
// evaluator, by all.
func (re *Registry) stop(se *service, evaluates bool, reason string) {
	ro := se.rollout
	if !ro.halted {
		ro.halted = true
		re.count("rollout_halts")
		re.Log.Info().Str("event", "rollout_halted").Str("service", se.name).Str("target", ro.order.Target).Str("reason", reason).Msg("rollout: this instance sends the version no more requests")
	}
	if evaluates {
		ro.markBad(reason, re.Log)
		re.count("rollout_verdicts")
	}
}

// setOwnShare sets the share and the outliers that this instance reports as an evaluator.
// If it is not one, or if the target is bad, it names no outliers, and the share in its
// report is the last one and counts for nothing. running is the number of endpoints of the
// target.
func (re *Registry) setOwnShare(ro *rollout, evaluates bool, running int, now time.Time) {
	le := ro.ledger
	if !evaluates || ro.bad {
		delete(ro.shares, re.Instance)
		le.setOutliers(nil)
		return
	}
	outliers := slices.Sorted(maps.Keys(ro.judge.outliers()))
	le.setOutliers(outliers[:min(len(outliers), maxOutliers)])
	if share := re.Bounds.plannedShare(ro, ro.age(now), running); share != le.own.Share {
		le.own.Share, le.unsent = share, true
	}
	ro.shares[re.Instance] = toldShare{share: le.own.Share, at: now}
}

// mustDecide reports whether the target would be promoted or completed now. Evidence that
// delayed the decision until now (judge.doubt) then counts as a verdict.
func (ro *rollout) mustDecide(age time.Duration) bool {
	return ro.state == Canary && age >= ro.decision()+doubtTime || ro.state == Promoting && age >= ro.order.Budget-ro.margin()
}

// margin is how long before the end of the budget the last status is due.
func (ro *rollout) margin() time.Duration {
	return min(max(time.Duration(float64(ro.order.Budget)*marginPart), leastMargin), mostMargin)
}

// decision is the age at which the target is promoted if it was not found bad: as late
// as the moves of the runs allow.
func (ro *rollout) decision() time.Duration {
	need := promoteTime + time.Duration(ro.pending)*moveTime
	need = min(need, time.Duration(float64(ro.order.Budget)*maxPromotePart))
	return max(ro.order.Budget-ro.margin()-need, 0)
}

// transition returns the status that is due for an order.
func (re *Registry) transition(se *service, evaluates bool, now time.Time) (Transition, bool) {
	ro := se.rollout
	st, reason := re.due(se, now)
	if !evaluates || st == ro.order.State || ro.order.State.Final() {
		return Transition{}, false
	}
	tr := Transition{Service: se.name, Target: ro.order.Target, State: st, Revision: ro.order.Revision, Reason: reason}
	if ro.offered == tr && now.Sub(ro.offeredAt) < repeatAfter {
		return Transition{}, false
	}
	ro.offered = tr
	tr.Age = ro.age(now)
	return tr, true
}

// due returns the state that the order should have in the store.
func (re *Registry) due(se *service, now time.Time) (State, string) {
	ro, age := se.rollout, se.rollout.age(now)
	switch {
	case ro.state.Final():
		return ro.state, "was reached before"
	case ro.bad:
		return RolledBack, ro.reason
	case re.stale(now):
		return ro.order.State, ""
	case ro.state == Pending:
		return re.dueFromPending(se, age)
	case ro.state == Canary:
		return re.dueFromCanary(se, age)
	case ro.pending == 0 && now.Sub(ro.stateAt) >= watchTime:
		return Completed, "nothing is left at old endpoints"
	case age >= ro.order.Budget-ro.margin():
		return Completed, "the budget ends"
	}
	return Promoting, ""
}

func (re *Registry) dueFromPending(se *service, age time.Duration) (State, string) {
	ro := se.rollout
	count, others := se.running(ro.order.Target)
	if count > 0 && others == 0 && ro.inUse {
		return Completed, "the version is in use"
	}
	if count > 0 {
		return Canary, "endpoints have started"
	}
	if age >= ro.order.Budget-ro.margin() {
		return RolledBack, "no endpoint has started"
	}
	return Pending, ""
}

func (re *Registry) dueFromCanary(se *service, age time.Duration) (State, string) {
	ro := se.rollout
	count, _ := se.running(ro.order.Target)
	late := age >= ro.order.Budget-ro.margin()
	wait := ro.decision()
	if _, doubt := ro.judge.doubt(count > 1); doubt {
		wait += doubtTime
	}
	switch enough := ro.ledger.targetAnswers() >= leastAnswers || re.Bounds.fits(ro.ledger, age, ro.order.Budget); {
	case count == 0 && late:
		return RolledBack, "no endpoint is left"
	case age >= wait && enough:
		return Promoting, "no worse than the old version"
	case late:
		return RolledBack, "too few answers to judge"
	}
	return Canary, ""
}

// targetAnswers is the number of answers that the target has given.
func (le *ledger) targetAnswers() int {
	count := 0
	for _, rt := range le.routes {
		for _, to := range rt.targets {
			count += int(to.Answers)
		}
	}
	return count
}
