package gateway

import (
	"context"
	"time"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/ratelimit"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// suspectRate is the rate, in requests per second of all instances together, of
// requests with a feature that is suspected of crashing endpoints. It leaves time to
// learn whether the one before has crashed its endpoint.
const suspectRate = 1.4

// turns paces requests with a suspected feature in all instances together, by the means
// that divide the rate limits of endpoints. It implements dispatch.Turns.
type turns struct{ limiter *ratelimit.Limiter }

// Take implements dispatch.Turns.
func (tu turns) Take(ctx context.Context, fe suspicion.Feature, maxWait time.Duration) (time.Duration, bool) {
	limit := backpressure.Limit{Rate: suspectRate, Named: true, Paced: true}
	return tu.limiter.Take(ctx, roster.Endpoint{ID: fe.String()}, limit, maxWait)
}
