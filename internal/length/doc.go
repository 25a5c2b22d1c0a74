// Package length estimates the length of model answers from the answers
// observed so far.
//
// An Estimator keeps one Curve for each service, team and class of prompt. A
// Curve is a hazard function that is constant within buckets of token
// positions: the hazard of a bucket is the share of the answers reaching it
// that end in it. A running answer counts as survived in every bucket that it
// has passed, because ignoring it until it ends would bias the estimate
// towards short answers. A curve with little evidence is combined with its
// parent: the curve of the class over all teams, whose own parent is the curve
// of the service. Old evidence decays exponentially.
//
// # Usage
//
//	es := &length.Estimator{}
//	cu := es.Curve(length.Key{Service: "filbert-pool", Team: "tatra", Class: "p9"})
//	cu.ObserveProgress(0, 40)           // as tokens arrive
//	cu.ObserveEnd(40)                   // when the answer is complete
//	probability := cu.Survival(40, 100) // P(length > 140 | length > 40)
//
// An Estimator is not safe for concurrent use.
package length
