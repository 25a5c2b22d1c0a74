// Package retry decides whether a failed attempt is retried, and after which
// back-off.
//
// Each service has one retry budget for retries and hedged requests together: a
// token bucket that callers' requests fill. From 500 requests on, it keeps the
// load offered to endpoints within 1.1 times the callers' load, however many
// endpoints fail.
// The back-off is exponential with full jitter. A call that may have begun to
// run at an endpoint is retried only if it is idempotent.
//
// # Usage
//
//	po := &retry.Policy{Scope: scope}
//	po.Arrived("filbert-pool")                    // once for each caller's request
//	backoff, again := po.Decide(retry.Attempt{Service: "filbert-pool", Number: 1, Reason: retry.Lost, Idempotent: true})
//
//	value, err := retry.Hedge(ctx, hedge, func(ctx context.Context) (T, error) { ... })
package retry
