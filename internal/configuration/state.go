package configuration

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Source is where an instance received a bundle from.
type Source string

// The sources of a bundle.
const (
	// FromPlatform is the platform itself.
	FromPlatform Source = "platform"
	// FromZone is another instance of the same zone.
	FromZone Source = "zone"
	// FromOtherZone is an instance of another zone.
	FromOtherZone Source = "elsewhere"
)

// Standing compares the configuration of an instance with that of the platform.
type Standing struct {
	// Version is the version in force on this instance. Zero means none.
	Version int64 `json:"version"`
	// PlatformVersion is the version that the Watcher of this instance last read
	// from the platform, or that this instance last wrote there for a plan. If it
	// stays lower than Version while the Watcher is elected, the platform has been
	// restored from an old backup.
	PlatformVersion int64 `json:"platform_version,omitempty"`
	// PlatformAt is when the platform last answered the Watcher of this instance.
	// It is zero if it has not done so since the instance started.
	PlatformAt time.Time `json:"platform_at,omitzero"`
	// Diverged means that this instance has received a configuration that had
	// the version then in force but different content. It stays true until the
	// instance restarts.
	Diverged bool `json:"diverged,omitempty"`
}

// State is the configuration in force on one instance. Set the fields before
// the first call. It is safe for concurrent use.
type State struct {
	// Holder publishes the configuration in force to request handlers.
	Holder *snapshot.Holder[kind.Configuration]
	Log    zerolog.Logger
	// Scope receives the metric configuration_events. Nil disables it.
	Scope tally.Scope

	bundle snapshot.Holder[Bundle]
	events metric.Events[Reason]

	mu                 sync.Mutex
	source             Source
	platformVersion    int64
	platformAnsweredAt time.Time
	diverged           bool
	changed            chan struct{}
}

// Bundle returns the bundle in force, or nil.
func (st *State) Bundle() *Bundle { return st.bundle.Load() }

// Version returns the version in force, or zero if there is none.
func (st *State) Version() int64 {
	if bu := st.bundle.Load(); bu != nil {
		return bu.Head.Version
	}
	return 0
}

// Standing returns the state of the configuration for status reports.
func (st *State) Standing() Standing {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Standing{Version: st.Version(), PlatformVersion: st.platformVersion, PlatformAt: st.platformAnsweredAt, Diverged: st.diverged}
}

// RecordPlatformAnswer records that the platform answered at the given time.
func (st *State) RecordPlatformAnswer(at time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.platformAnsweredAt = at
}

// Apply puts a bundle in force if its version is higher than the current one.
// It reports whether it did.
func (st *State) Apply(bu *Bundle, from Source) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if from == FromPlatform {
		st.platformVersion = bu.Head.Version
	}
	current := st.bundle.Load()
	if current != nil && bu.Head.Version <= current.Head.Version {
		st.refuse(bu, current)
		return false
	}
	// Request handlers get the configuration before Version reports it.
	st.Holder.Store(bu.cf)
	st.bundle.Store(bu)
	st.source = from
	st.signalChange()
	st.count(appliedReasons[from])
	st.Log.Info().Int64("version", bu.Head.Version).Str("from", string(from)).Msg("configuration: new version is in force")
	return true
}

func (st *State) refuse(bu, current *Bundle) {
	if bu.Head.Version < current.Head.Version {
		st.count(LowerVersion)
		return
	}
	if !slices.Equal(bu.Head.Shards, current.Head.Shards) {
		st.diverged = true
		st.count(Diverged)
		st.Log.Error().Int64("version", bu.Head.Version).Msg("configuration: refused a different configuration of the version in force")
	}
}

func (st *State) signalChange() {
	if st.changed != nil {
		close(st.changed)
	}
	st.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the next bundle comes into
// force, and the source of the current one.
func (st *State) Changed() (<-chan struct{}, Source) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.changed == nil {
		st.changed = make(chan struct{})
	}
	return st.changed, st.source
}
