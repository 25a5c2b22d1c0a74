package allocation

import (
	"context"
	"net"
	"net/url"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/explain"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// dialTimeout limits the connection attempt that checks whether an endpoint of
// a plain service still listens.
const dialTimeout = 500 * time.Millisecond

// recordOutcome passes the result of a request to the suspicion registry. If
// the request was lost, it checks whether the endpoint crashed. A suspect that
// finished is cleared.
func (gt *Granter) recordOutcome(pl *place, re admission.Result) {
	if gt.Suspicion == nil || pl.re.Fingerprint == 0 {
		return
	}
	switch re {
	case admission.Completed:
		if whole := suspicion.Whole(pl.re.Fingerprint); gt.Suspicion.Judge(whole).Verdict != suspicion.Clear {
			go gt.Suspicion.Finished(context.Background(), whole)
		}
	case admission.Lost:
		gt.investigateCrash(pl)
	}
}

// investigateCrash checks in the background whether the endpoint crashed while
// it ran the request. Further requests with the same fingerprint wait for the
// result (see checkSuspect).
func (gt *Granter) investigateCrash(pl *place) {
	done := make(chan struct{})
	gt.mu.Lock()
	if _, running := gt.crashChecks[pl.re.Fingerprint]; running {
		gt.mu.Unlock()
		return
	}
	gt.crashChecks[pl.re.Fingerprint] = done
	gt.mu.Unlock()
	known := gt.lastBootID(pl)
	go func() {
		defer close(done)
		if gt.crashed(pl, known) {
			gt.Log.Warn().Str("endpoint", pl.endpoint).Str("request", pl.re.ID).Msg("allocation: endpoint crashed while it ran a request; recording a loss for the request")
			gt.Explain.Add(pl.re.ID, explain.Event{Step: explain.Suspect, Endpoint: pl.endpoint, Reason: "the endpoint died while it ran the request"})
			gt.Suspicion.Lost(context.Background(), suspicion.Loss{Endpoint: pl.endpoint, Boot: known}, suspicion.Whole(pl.re.Fingerprint))
		}
		gt.mu.Lock()
		delete(gt.crashChecks, pl.re.Fingerprint)
		gt.mu.Unlock()
	}()
}

// lastBootID returns the boot ID that the endpoint had when the holder last
// sent boot IDs, or "" if there is none.
func (gt *Granter) lastBootID(pl *place) string {
	cf := gt.Configuration.Load()
	en, found := cf.Endpoint(pl.endpoint)
	if !found {
		return ""
	}
	li := gt.link(Group{Zone: en.Zone, Service: en.Service})
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.boots[pl.endpoint].id
}

// crashed reports whether the endpoint no longer listens, or runs under
// another boot ID than the known one. A broken connection alone does not show
// that the endpoint crashed.
func (gt *Granter) crashed(pl *place, known string) bool {
	if !gt.reportsLoad(pl.re.Service) {
		return !listens(pl.url)
	}
	lo, err := gt.Endpoints.Load(pl.url)
	if err != nil {
		return endpoint.IsKind(err, endpoint.Unreachable)
	}
	return known != "" && lo.BootID != known
}

// listens reports whether address accepts TCP connections. An address that
// cannot be parsed counts as listening, because it says nothing about the
// endpoint.
func listens(address string) bool {
	ur, err := url.Parse(address)
	if err != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", ur.Host, dialTimeout)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// checkSuspect waits for a running crash investigation of the same fingerprint
// and returns whether the request is a suspect. It returns an error if the
// request must not run again or if ctx ends first.
func (gt *Granter) checkSuspect(ctx context.Context, re admission.Request) (bool, *refusal.Error) {
	if gt.Suspicion == nil || re.Fingerprint == 0 {
		return false, nil
	}
	gt.mu.Lock()
	done := gt.crashChecks[re.Fingerprint]
	gt.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return false, refusal.Wrap(refusal.DeadlinePassed, "the deadline passed before a place was found", ctx.Err())
		}
	}
	switch gt.Suspicion.Judge(suspicion.Whole(re.Fingerprint)).Verdict {
	case suspicion.Refuse:
		return true, refusal.New(refusal.CrashSuspect, "endpoints that ran this request crashed; it is not run again")
	case suspicion.Suspect:
		return true, nil
	default:
		return false, nil
	}
}
