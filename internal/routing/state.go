package routing

import (
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/snapshot"
)

// State publishes the configuration in force. Set Clock before use. It is safe
// for concurrent use.
type State struct {
	// Clock must go on while the machine is suspended.
	Clock boottime.Clock

	holder snapshot.Holder[Configuration]
	// proven is the boot time of the newest proof, in nanoseconds; zero means
	// that there is none.
	proven atomic.Int64
}

// Load returns the configuration in force, or nil before the first.
func (st *State) Load() *Configuration { return st.holder.Load() }

// Put brings a configuration into force if its version is higher, and returns
// whether it did. Versions never go back in the life of a process.
func (st *State) Put(cf *Configuration) bool {
	return st.holder.Advance(cf, func(next, current *Configuration) bool { return next.Version > current.Version })
}

// Confirm notes that the store, asked at boot time asked, had no newer
// configuration than the one in force.
func (st *State) Confirm(asked time.Duration) {
	for {
		current := st.proven.Load()
		if int64(asked) <= current {
			return
		}
		if st.proven.CompareAndSwap(current, int64(asked)) {
			return
		}
	}
}

// Age returns how old the newest proof is, or false without any.
func (st *State) Age() (time.Duration, bool) {
	proven := st.proven.Load()
	if proven == 0 || st.holder.Load() == nil {
		return 0, false
	}
	return st.Clock.Now() - time.Duration(proven), true
}
