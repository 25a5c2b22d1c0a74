package relay

import (
	"context"

	"filbertstall.example/filbertstall/internal/loadshare"
)

// Inquire asks an instance for its configuration and takes it over if it is newer than
// the one in force. A store that was restored from an older copy may lack it. It also takes
// over the evacuated zones, until their list has come. Inquire reports whether the instance
// knows what others know.
func (sw *Switch) Inquire(ctx context.Context, me loadshare.Member) (informed bool, err error) {
	var st Status
	if err := sw.call(ctx, me, statusTimeout, "Status", None{}, &st); err != nil {
		return false, err
	}
	sw.Roster.AddEvacuatedZones(st.Zones)
	switch {
	case st.Version == 0 && st.ConfigurationAge < unknownAge:
		// An instance of an earlier version does not send its configuration's.
		return true, sw.fetchOnce(ctx, me, unknownVersion)
	case st.Version <= 1:
		return st.Informed, nil
	default:
		sw.noteVersion(st.Version - 1)
		return st.Informed, sw.fetchOnce(ctx, me, st.Version-1)
	}
}

// unknownVersion is above all versions.
const unknownVersion = 1<<63 - 1

// fetchOnce fetches the configuration from an instance, unless this version or a newer
// one is in force by then. One call is made at a time, since all have the same answer.
func (sw *Switch) fetchOnce(ctx context.Context, me loadshare.Member, version int64) error {
	sw.fetching.Lock()
	defer sw.fetching.Unlock()
	if ctx.Err() != nil || sw.hasVersion(version) {
		return ctx.Err()
	}
	return sw.fetchFromReader(ctx, me)
}

// noteVersion records that another instance has this version.
func (sw *Switch) noteVersion(version int64) {
	for known := sw.newestKnown.Load(); version > known; known = sw.newestKnown.Load() {
		if sw.newestKnown.CompareAndSwap(known, version) {
			return
		}
	}
}

// Outdated reports whether an instance that Inquire asked has a newer version than the
// one in force.
func (sw *Switch) Outdated() bool {
	newest := sw.newestKnown.Load()
	return newest > 0 && !sw.hasVersion(newest)
}
