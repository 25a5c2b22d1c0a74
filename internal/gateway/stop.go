package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/shutdown"
)

const (
	// notReadyDelay is the time for which new connections are still accepted
	// after the instance reports that it is not ready, so that the platform can
	// notice it. The time is limited to a third of the shutdown timeout.
	notReadyDelay = 2600 * time.Millisecond
	// shutdownMargin is kept free between the time at which requests in flight are cut
	// and SIGKILL.
	shutdownMargin = 500 * time.Millisecond
	// exitMargin is the part of shutdownMargin that is kept free for the exit of the
	// process. In the part before it, the answers of the requests that were cut are
	// written.
	exitMargin = 150 * time.Millisecond
	// defaultShutdownTimeout applies if the platform states no shutdown timeout.
	defaultShutdownTimeout = 8 * time.Second
)

// stop shuts the instance down gracefully: it reports not ready, waits for the
// platform to notice, closes the listener and lets requests in flight finish.
func (gw *Gateway) stop() {
	start := gw.Clock.Now()
	bound := gw.Settings.ShutdownTimeout
	if bound <= shutdownMargin {
		bound = defaultShutdownTimeout
	}
	gw.Log.Info().Str("event", "stopping").Int("open", gw.ingress.InFlight()).Msg("gateway: graceful shutdown begins")
	gw.ready.stopping.Store(true)
	gw.ingress.AnnounceShutdown()
	if gw.forwards != nil {
		gw.forwards.AnnounceShutdown()
	}
	accepting := min(notReadyDelay, bound/3)
	gw.stopping.Announce()
	gw.shutdown.Start(shutdown.Period{Begin: start, Accepting: start.Add(accepting), End: start.Add(bound - shutdownMargin)})
	gw.Clock.Sleep(accepting)
	serving, cancelServing := context.WithTimeout(context.Background(), bound-shutdownMargin-gw.Clock.Since(start))
	defer cancelServing()
	writing, cancelWriting := context.WithTimeout(context.Background(), bound-exitMargin-gw.Clock.Since(start))
	defer cancelWriting()
	var wg sync.WaitGroup
	wg.Go(func() { gw.ingress.Stop(serving, writing) })
	if gw.forwards != nil {
		wg.Go(func() { gw.forwards.Stop(serving, writing) })
	}
	wg.Wait()
	gw.Log.Info().Str("event", "stopped").Dur("took", gw.Clock.Since(start)).Msg("gateway: graceful shutdown ended")
}

// aloneInZone reports whether no other instance of the zone takes requests.
func (gw *Gateway) aloneInZone(takes func(instance string) bool) bool {
	return !slices.ContainsFunc(gw.members.List(), func(me loadshare.Member) bool {
		return me.Zone == gw.Settings.Zone && me.Name != gw.Settings.Instance && takes(me.Name)
	})
}
