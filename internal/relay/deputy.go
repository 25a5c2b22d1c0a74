package relay

import (
	"context"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/loadshare"
)

const (
	// doubtTime is how long after the last answer of the store a reader tells its followers
	// that it waits for longer than an answer takes. A store that answers slowly does so
	// every 1.4 s.
	doubtTime = 1450 * time.Millisecond
	// deputies is the number of candidates that then call the store themselves. More than
	// one may be cut off at a time.
	deputies = 2
	// deputyTimeout is how long such a call may take.
	deputyTimeout = 300 * time.Millisecond
)

// checkDoubt tells the followers of a reader that it has waited for long.
func (lo *Log) checkDoubt() {
	now := lo.Boot.Now()
	lo.mu.Lock()
	defer lo.mu.Unlock()
	doubtful := lo.role.direct && lo.continuity.answered > 0 && now-lo.continuity.answered > doubtTime
	if doubtful == lo.role.doubtful {
		return
	}
	if lo.role.doubtful = doubtful; doubtful {
		lo.tellFollowers()
	}
}

// reachesStore reports whether the store answers this instance, which follows a reader that
// waits for long. Only the first candidates ask it, so that calls don't grow with the
// instances. While one of them reads, the others of the zone find it when the reader gives up.
func (sw *Switch) reachesStore(ctx context.Context, reader loadshare.Member) bool {
	list := slices.DeleteFunc(sw.candidates(), func(me loadshare.Member) bool { return me.Name == reader.Name })
	ix := slices.IndexFunc(list, func(me loadshare.Member) bool { return me.Name == sw.Self.Name })
	if reader.Zone != sw.Self.Zone || ix >= deputies {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, deputyTimeout)
	defer cancel()
	if err := sw.Fetch(ctx); err != nil {
		sw.Log.noteFailure()
		return false
	}
	sw.Logger.Info().Str("event", "reader_cut_off").Str("reader", reader.Name).Msg("relay: the store answers this instance, but not its reader; reading it")
	return true
}
