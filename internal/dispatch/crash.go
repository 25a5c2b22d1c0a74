package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
)

const (
	// crashProbeDelay is the pause before an endpoint that lost a request is
	// probed. An endpoint that has not crashed but lost the connection for
	// another reason still accepts connections then.
	crashProbeDelay = 40 * time.Millisecond
	// probeTimeout limits one probe of an endpoint.
	probeTimeout = 300 * time.Millisecond
)

// reportCrash finds out in the background whether an endpoint that lost a request has
// crashed, and holds that against the features of the request and against its version.
func (di *Dispatcher) reportCrash(ta *task, en roster.Endpoint, features ...suspicion.Feature) {
	if di.Reachable != nil && (di.Suspects != nil || di.Rollouts != nil) {
		go func() { di.recordLoss(ta, en, di.detectCrash(ta, en, features)) }()
	}
}

// detectCrash probes an endpoint that lost a request and, if it is unreachable and
// others are not, records a crash against the features. It does not probe endpoints that
// are leaving or removed, since they are expected to shut down. It reports whether the
// endpoint crashed.
func (di *Dispatcher) detectCrash(ta *task, en roster.Endpoint, features []suspicion.Feature) bool {
	if di.Suspects == nil || di.Reachable == nil {
		return false
	}
	if now, known := di.Roster.View().Get(en.ID); !known || now.Leaving {
		return false
	}
	lo := suspicion.Loss{Endpoint: en.ID, Boot: strconv.FormatInt(en.Started, 10)}
	if !di.hasCrashed(en, lo) {
		return false
	}
	di.Log.Info().Str("event", "crash_suspected").Str("request", ta.ID).Str("endpoint", en.ID).Strs("parts", ta.Prompt.sharedParts()).Int("features", len(features)).
		Msg("dispatch: endpoint is unreachable after losing the request; recording a crash")
	di.Suspects.Lost(context.Background(), lo, features...)
	di.useTurns(context.Background(), features)
	return true
}

// useTurns takes the turns of the parts under which an endpoint has crashed, if they
// are free: the next request with them comes later.
func (di *Dispatcher) useTurns(ctx context.Context, features []suspicion.Feature) {
	if di.Turns == nil {
		return
	}
	for _, fe := range features {
		if fe.Kind == suspicion.KindPart && di.Suspects.Judge(fe).Verdict == suspicion.Suspect {
			_, _ = di.Turns.Take(ctx, fe, 0)
		}
	}
}

// hasCrashed probes an endpoint after crashProbeDelay. The requests that it lost at the
// same time share one probe.
func (di *Dispatcher) hasCrashed(en roster.Endpoint, lo suspicion.Loss) bool {
	crashed, _, _ := di.crashProbes.Do(lo.Endpoint+"/"+lo.Boot, func() (any, error) {
		pause.For(context.Background(), di.Clock, crashProbeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		return !di.Reachable(ctx, en.Address) && di.reachesAnother(ctx, en), nil
	})
	return crashed == true
}

// maxReferences is the number of endpoints that are probed to tell a crash from a lost
// link.
const maxReferences = 3

// reachesAnother reports whether another endpoint of the same service can be reached, or
// there is none. If none of several can, the links of this instance are lost.
func (di *Dispatcher) reachesAnother(ctx context.Context, en roster.Endpoint) bool {
	others := slices.DeleteFunc(slices.Clone(di.Roster.View().Ready(en.Service)), func(other roster.Endpoint) bool { return other.ID == en.ID })
	if len(others) == 0 {
		return true
	}
	rand.Shuffle(len(others), func(ix, iy int) { others[ix], others[iy] = others[iy], others[ix] })
	others = others[:min(len(others), maxReferences)]
	reached := make(chan bool, len(others))
	for _, other := range others {
		go func() { reached <- di.Reachable(ctx, other.Address) }()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return false
}
