package routing

import (
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/snapshot"
)

// State publishes the configuration in force and the age of the last
// confirmation that it is the newest. Set Clock before use. It is safe for
// concurrent use.
type State struct {
	// Clock must include the time that the machine is suspended.
	Clock boottime.Clock

	holder snapshot.Holder[Configuration]
	// confirmedAt is the boot time of the newest confirmation in nanoseconds;
	// zero means none.
	confirmedAt atomic.Int64
}

// Load returns the configuration in force, or nil if there is none yet.
func (st *State) Load() *Configuration { return st.holder.Load() }

// Put brings a configuration into force if its version is higher than the
// current one, and reports whether it did. The version never decreases within a
// process.
func (st *State) Put(cf *Configuration) bool {
	return st.holder.Advance(cf, func(next, current *Configuration) bool { return next.Version > current.Version })
}

// Confirm records that the store had no newer configuration than the one in
// force when it was asked, at boot time askedAt. Confirmations may arrive out
// of order.
func (st *State) Confirm(askedAt time.Duration) {
	for {
		current := st.confirmedAt.Load()
		if int64(askedAt) <= current {
			return
		}
		if st.confirmedAt.CompareAndSwap(current, int64(askedAt)) {
			return
		}
	}
}

// Age returns the age of the newest confirmation, and false if there is no
// confirmation or no configuration.
func (st *State) Age() (time.Duration, bool) {
	confirmedAt := st.confirmedAt.Load()
	if confirmedAt == 0 || st.holder.Load() == nil {
		return 0, false
	}
	return st.Clock.Now() - time.Duration(confirmedAt), true
}
