package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// Suspects knows which requests crash the endpoints that run them;
// suspicion.Registry is one.
type Suspects interface {
	Verdict(fingerprint uint64) suspicion.Verdict
	Lost(ctx context.Context, fingerprint uint64, lo suspicion.Loss)
	Finished(ctx context.Context, fingerprint uint64)
}

// print returns what is the same for all sendings of a request: a crashing one
// comes again under another ID.
func (ta *task) print() uint64 {
	di := xxhash.New()
	for _, part := range []string{ta.team, ta.Method, ta.Host, ta.Target} {
		_, _ = di.WriteString(part)
		_, _ = di.WriteString("\x00")
	}
	_, _ = di.Write(ta.Body)
	return di.Sum64()
}

// suspected refuses a request that crashed the endpoints that ran it.
func (di *Dispatcher) suspected(ta *task) *refusal.Error {
	if di.Suspects == nil {
		return nil
	}
	ta.fingerprint = ta.print()
	if di.Suspects.Verdict(ta.fingerprint) != suspicion.Refuse {
		return nil
	}
	return refusal.New(refusal.NotSentSuspect, "endpoints that ran the same request crashed")
}

const (
	// crashTime is the pause before a lost endpoint is looked at: one that broke
	// a connection for another reason still listens then.
	crashTime = 40 * time.Millisecond
	// lookTime bounds the look.
	lookTime = 300 * time.Millisecond
)

// blame looks whether the endpoint that lost a request is down, and notes it
// against the request if so. Endpoints that leave are expected to be down.
func (di *Dispatcher) blame(ta *task, en roster.Endpoint) {
	if di.Suspects == nil || di.Reachable == nil {
		return
	}
	if now, known := di.Roster.View().Get(en.ID); !known || now.Leaving {
		return
	}
	go func() {
		<-di.Clock.After(crashTime)
		ctx, cancel := context.WithTimeout(context.Background(), lookTime)
		defer cancel()
		if di.Reachable(ctx, en.Address) {
			return
		}
		di.Log.Info().Str("event", "crash_suspected").Str("request", ta.ID).Str("endpoint", en.ID).Msg("dispatch: endpoint is down after it lost the request")
		di.Suspects.Lost(context.Background(), ta.fingerprint, suspicion.Loss{Endpoint: en.ID, Boot: strconv.FormatInt(en.Started, 10)})
	}()
}

// finished clears a request that was answered whole.
func (di *Dispatcher) finished(ta *task) {
	if di.Suspects != nil && di.Suspects.Verdict(ta.fingerprint) != suspicion.Clear {
		go di.Suspects.Finished(context.Background(), ta.fingerprint)
	}
}
