package loadshare

import (
	"encoding/binary"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/boottime"
)

const (
	// stoppingVersion is the first number of a datagram by which an instance announces that it
	// shuts down. Instances that don't know it drop the datagram.
	stoppingVersion = 8
	// stoppingExpiry is the time after such a datagram for which its sender counts as
	// stopping. A sender repeats it with each heartbeat until its process exits.
	stoppingExpiry = heartbeat * 3 / 2
)

// Stopping knows which instances shut down. Set the exported fields before use. It is safe
// for concurrent use.
type Stopping struct {
	Boot boottime.Clock
	// Changes receives a value when this instance begins to shut down. The send does not
	// block: it is skipped if the channel is full.
	Changes chan<- struct{}

	mu sync.Mutex
	// begun is set once this instance shuts down, unsent until it has announced it.
	begun, unsent bool
	// others has the times until which other instances count as stopping.
	others map[string]time.Duration
}

// Announce informs the other instances that this one shuts down.
func (st *Stopping) Announce() {
	st.mu.Lock()
	st.begun, st.unsent = true, true
	st.mu.Unlock()
	select {
	case st.Changes <- struct{}{}:
	default:
	}
}

// Has reports whether another instance shuts down.
func (st *Stopping) Has(instance string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.Boot.Now() < st.others[instance]
}

// changed returns whether this instance shuts down, and whether that has not been sent yet.
func (st *Stopping) changed() (begun, unsent bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	unsent, st.unsent = st.unsent, false
	return st.begun, unsent
}

// heard records that another instance shuts down.
func (st *Stopping) heard(instance string) {
	now := st.Boot.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.others == nil {
		st.others = make(map[string]time.Duration)
	}
	for name, until := range st.others {
		if now >= until {
			delete(st.others, name)
		}
	}
	st.others[instance] = now + stoppingExpiry
}

func encodeStopping(instance string) []byte {
	return appendString(binary.AppendUvarint(nil, stoppingVersion), instance)
}

// isStopping reports whether a datagram announces that an instance shuts down.
func isStopping(data []byte) bool { return len(data) > 0 && data[0] == stoppingVersion }

// decodeStopping parses a datagram by which an instance announces that it shuts down, or
// returns ErrMalformed.
func decodeStopping(data []byte) (instance string, err error) {
	re := reader{data: data}
	version := re.uvarint()
	instance = re.stringValue()
	if re.malformed || version != stoppingVersion || len(re.data) > 0 || instance == "" {
		return "", ErrMalformed
	}
	return instance, nil
}

// sendStopping informs all other instances that this one shuts down, if it is new or due to
// be repeated.
func (ex *Exchange) sendStopping(due bool) {
	if ex.Stopping == nil {
		return
	}
	if begun, unsent := ex.Stopping.changed(); begun && (unsent || due) {
		ex.sendToAll(encodeStopping(ex.Instance))
	}
}

// applyStopping records that another instance shuts down.
func (ex *Exchange) applyStopping(data []byte) {
	instance, err := decodeStopping(data)
	if err != nil {
		ex.Log.Info().Str("event", "stopping_unreadable").Err(err).Msg("loadshare: dropped a datagram that could not be decoded")
		return
	}
	if ex.Stopping != nil && instance != ex.Instance {
		ex.Stopping.heard(instance)
	}
}
