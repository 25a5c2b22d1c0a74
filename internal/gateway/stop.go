package gateway

import (
	"context"
	"time"
)

// The parts of the time to stop: first callers are still taken while the
// platform notices that the instance is not ready, then open answers end.
const (
	noticeTime = 2600 * time.Millisecond
	stopMargin = 500 * time.Millisecond
	// defaultStopBound is for platforms that state none.
	defaultStopBound = 8 * time.Second
)

// stop stops in order: not ready, no new connections, open answers end.
func (gw *Gateway) stop() {
	begun := gw.Clock.Now()
	bound := gw.Settings.StopBound
	if bound <= stopMargin {
		bound = defaultStopBound
	}
	gw.Log.Info().Str("event", "stopping").Int("open", gw.ingress.Open()).Msg("gateway: stopping")
	gw.ready.stopping.Store(true)
	gw.ingress.Announce()
	gw.Clock.Sleep(min(noticeTime, bound/3))
	ctx, cancel := context.WithTimeout(context.Background(), bound-stopMargin-gw.Clock.Since(begun))
	defer cancel()
	gw.ingress.Stop(ctx)
	gw.Log.Info().Str("event", "stopped").Dur("took", gw.Clock.Since(begun)).Msg("gateway: stopped")
}
