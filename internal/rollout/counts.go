package rollout

// Counts are the requests and answers of one order at all instances, as far as their
// reports are known.
type Counts struct {
	SentOld, SentNew, AnswersOld, AnswersNew, FailuresOld, FailuresNew int
}

// Counts returns the counts of a service's order, for the log. They are zero if there is
// none.
func (re *Registry) Counts(service string) Counts {
	re.mu.Lock()
	defer re.mu.Unlock()
	se := re.services[service]
	if se == nil || se.rollout == nil {
		return Counts{}
	}
	le := se.rollout.ledger
	co := Counts{SentOld: le.sentOld, SentNew: le.sentNew}
	for _, rt := range le.routes {
		co.AnswersOld += int(rt.old.Answers)
		co.FailuresOld += int(rt.old.Failures)
		for _, to := range rt.targets {
			co.AnswersNew += int(to.Answers)
			co.FailuresNew += int(to.Failures)
		}
	}
	return co
}
