package allocation

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
)

const (
	// SyncInterval is the time between two syncs of an instance that has
	// requests waiting or in flight.
	SyncInterval = 100 * time.Millisecond
	// idleSyncInterval is the time between two syncs of an instance that has
	// none.
	idleSyncInterval = 500 * time.Millisecond
	// disconnectedAfter is the age of the last answered sync at which an
	// instance considers itself disconnected from the holder.
	disconnectedAfter = time.Second
	// warmStateMaxAge is how old the last answered sync may be for the next
	// holder to rely on the warm state that it reported.
	warmStateMaxAge = 15 * time.Second
	// silenceMargin is added to silenceLimit before a silent instance relies
	// on the holder having noticed its silence.
	silenceMargin = 500 * time.Millisecond
)

// place is one request in flight from this instance.
type place struct {
	key      string
	re       admission.Request
	endpoint string
	url      string
	suspect  bool
	// fallback places come from this instance's share of the fallback places.
	fallback bool
	// sendRequest is true as long as the holder may not know the place. Syncs
	// then carry the endpoint and the whole request.
	sendRequest bool
	tokens      *atomic.Int64
}

// observedLoad is the last load of an endpoint that a disconnected instance
// read.
type observedLoad struct {
	asked  time.Time
	report endpoint.Load
	// started contains the times at which this instance recently started
	// requests there from its own share.
	started []time.Time
}

// bootState is the boot ID of an endpoint, and whether it has proved warm
// since that boot.
type bootState struct {
	id   string
	warm bool
}

// link is this instance's state for one group: its requests there and its
// exchange with the group's holder.
type link struct {
	group Group
	// hasShare reports whether this instance has a share in the group. It has
	// one in groups of its own zone and of zones without instances. It sends
	// syncs to their holders even when it has nothing in flight.
	hasShare func() bool

	mu sync.Mutex
	// sequence is that of the last sync. It starts at the current time in
	// nanoseconds, so that the holder does not take the syncs of a restarted
	// instance for stale ones.
	sequence int64
	// epoch and address are those of the newest known holder, and stamp is the
	// newest one received from it.
	epoch   int64
	address string
	stamp   int64
	waiting map[string]bool
	places  map[string]*place
	ended   map[string]admission.Outcome
	// dirty is true if something has changed since the last sync was composed,
	// or if that sync failed.
	dirty        bool
	syncInFlight bool
	// acked is when the last answered sync was sent. sent is when the last
	// sync was sent, answered or not.
	acked time.Time
	sent  time.Time
	// Until sendUntil, messages may be sent even though the holder has not
	// answered recently.
	sendUntil   time.Time
	boots       map[string]bootState
	bootVersion int64
	loads       map[string]*observedLoad
}

func newLink(gr Group, now time.Time, hasShare func() bool) *link {
	return &link{
		group: gr, hasShare: hasShare, sequence: now.UnixNano(), waiting: make(map[string]bool), places: make(map[string]*place),
		ended: make(map[string]admission.Outcome), boots: make(map[string]bootState), loads: make(map[string]*observedLoad),
	}
}

// connected reports whether the holder has answered a recent sync.
func (li *link) connected(now time.Time) bool { return now.Sub(li.acked) < disconnectedAfter }

// maySend reports whether syncs and Acquire calls may be sent. The holder
// counts an instance that sends syncs as connected. A disconnected instance
// therefore sends none, so that the holder reserves its share.
func (li *link) maySend(now time.Time) bool {
	return li.connected(now) || now.Before(li.sendUntil)
}

// silenceNoticed reports whether this instance has been silent for so long
// that the holder, if there is one, has reserved its share.
func (li *link) silenceNoticed(now time.Time) bool {
	return !li.maySend(now) && now.Sub(li.sent) > silenceLimit+silenceMargin
}

// addWaiting adds a key to the waiting ones and returns the sequence to put
// into the Acquire call. It returns false if the holder must not be called.
func (li *link) addWaiting(now time.Time, key string) (int64, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if !li.maySend(now) {
		return 0, false
	}
	li.waiting[key] = true
	return li.sequence, true
}

// withdraw removes a key from the waiting ones. The holder drops the request
// when the next sync does not contain the key.
func (li *link) withdraw(key string) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.waiting[key] {
		delete(li.waiting, key)
		li.dirty = true
	}
}

// accept turns a grant into a place. It returns false if this instance has
// already reported its requests in flight to a newer holder, or if the request
// has been withdrawn.
func (li *link) accept(pl *place, epoch int64, address string) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if epoch < li.epoch || !li.waiting[pl.key] {
		return false
	}
	li.setHolder(epoch, address)
	delete(li.waiting, pl.key)
	li.places[pl.key] = pl
	return true
}

// setHolder records the holder of a newer epoch, to which the earlier stamp and
// boot version do not apply. It ignores older or equal epochs.
func (li *link) setHolder(epoch int64, address string) {
	if epoch <= li.epoch {
		return
	}
	li.epoch, li.address, li.stamp, li.bootVersion = epoch, address, 0, 0
}

// finish removes a place. Its outcome is sent with each sync until one is
// answered.
func (li *link) finish(key string, ou admission.Outcome) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if _, found := li.places[key]; !found {
		return
	}
	delete(li.places, key)
	li.ended[key] = ou
	li.dirty = true
}

// syncDue reports whether a sync has to be sent now.
func (li *link) syncDue(now time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.syncInFlight || !li.maySend(now) {
		return false
	}
	content := len(li.waiting)+len(li.places) > 0 || li.dirty
	return content || (li.hasShare() && now.Sub(li.sent) >= idleSyncInterval)
}

// beginSync returns the next sync. No other is sent until syncFailed or
// syncAnswered is called.
func (li *link) beginSync(now time.Time) GroupSync {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.syncInFlight = true
	return li.nextSync(now)
}

// nextSync returns a sync with a new sequence number that lists everything
// waiting, in flight or ended. The caller holds mu.
func (li *link) nextSync(now time.Time) GroupSync {
	li.sequence++
	li.sent, li.dirty = now, false
	gs := GroupSync{Group: li.group, Sequence: li.sequence, Stamp: li.stamp, Epoch: li.epoch, BootVersion: li.bootVersion}
	for key := range li.waiting {
		gs.Waiting = append(gs.Waiting, key)
	}
	slices.Sort(gs.Waiting)
	for _, pl := range li.places {
		ps := PlaceSync{Key: pl.key, Tokens: pl.tokens.Load(), Suspect: pl.suspect}
		if pl.sendRequest {
			ps.Endpoint, ps.Request = pl.endpoint, &pl.re
		}
		gs.Places = append(gs.Places, ps)
	}
	for key, ou := range li.ended {
		gs.Ended = append(gs.Ended, EndedSync{Key: key, Outcome: ou})
	}
	return gs
}

// syncFailed records that a sync got no answer.
func (li *link) syncFailed() {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.syncInFlight, li.dirty = false, true
}

// syncAnswered processes the holder's answer to a sync.
func (li *link) syncAnswered(gs *GroupSync, sent time.Time, address string, re *GroupReply) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.syncInFlight = false
	if re.Failure != "" || re.Epoch < li.epoch {
		li.dirty = true
		return
	}
	li.setHolder(re.Epoch, address)
	li.stamp, li.acked = max(li.stamp, re.Stamp), sent
	for _, en := range gs.Ended {
		delete(li.ended, en.Key)
	}
	for _, ps := range gs.Places {
		if pl, found := li.places[ps.Key]; found {
			pl.sendRequest = false
		}
	}
	for _, key := range re.Unknown {
		if pl, found := li.places[key]; found {
			pl.sendRequest = true
		}
	}
	if re.BootVersion != li.bootVersion {
		li.bootVersion = re.BootVersion
		for _, bo := range re.Boots {
			li.boots[bo.Endpoint] = bootState{id: bo.ID, warm: bo.Warm}
		}
	}
}

// warmBoots returns the boot IDs of the endpoints that the last holder
// reported as warm. It returns nil if the last answer of the holder is too
// old.
func (li *link) warmBoots(now time.Time) map[string]string {
	li.mu.Lock()
	defer li.mu.Unlock()
	if now.Sub(li.acked) > warmStateMaxAge {
		return nil
	}
	warm := make(map[string]string)
	for name, bo := range li.boots {
		if bo.warm {
			warm[name] = bo.id
		}
	}
	return warm
}

// allowMessages permits messages to the holder for disconnectedAfter. It is
// called when a probe was answered, and for groups in which this instance has
// no share that the holder would reserve.
func (li *link) allowMessages(now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.sendUntil = now.Add(disconnectedAfter)
}

// lastHolder returns the peer address and epoch of the newest holder that this
// instance has exchanged messages with.
func (li *link) lastHolder() (address string, epoch int64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.address, li.epoch
}

// running counts this instance's places at an endpoint, or only its fallback
// places there. The caller holds mu.
func (li *link) running(name string, fallbackOnly bool) int {
	count := 0
	for _, pl := range li.places {
		if pl.endpoint == name && (pl.fallback || !fallbackOnly) {
			count++
		}
	}
	return count
}
