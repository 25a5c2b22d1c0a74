package relay

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/rollout"
)

// Orders has the roll-outs that operators have ordered, as the store or the reader that
// is followed has sent them, and passes them to a rollout.Registry. A nil Orders stands
// for a deployment without roll-outs. Set the exported fields before use. It is safe
// for concurrent use.
type Orders struct {
	Registry Registry
	Clock    clockwork.Clock
	Boot     boottime.Clock
	// OnChange is called, without locks held, after the orders have changed. It may be
	// nil.
	OnChange func(before, after []rollout.Order)

	// count is the number of orders.
	count atomic.Int32
	mu    sync.Mutex
	list  []order
	// sequence counts the changes, from 1 on, and confirmations after staleTime.
	sequence uint64
	// confirmed is the boot time at which the store was known to have these orders;
	// zero if it never was.
	confirmed time.Duration
}

// Registry receives the orders. rollout.Registry implements it.
type Registry interface {
	Put(list []rollout.Order)
	Confirmed(at time.Time)
}

// order is an order and the latest boot time at which it may have been given.
type order struct {
	rollout.Order
	since time.Duration
}

// addsNothing reports whether an order that was received again differs from the known one
// at most by an age that is a little greater: ages depend on the way by which they came.
func (or order) addsNothing(known order) bool {
	const tolerance = time.Second
	return or.Order == known.Order && known.since-or.since < tolerance
}

// Put replaces the orders. The age of an order that is known already never gets
// smaller.
func (os *Orders) Put(list []rollout.Order) {
	if os == nil {
		return
	}
	now := os.Boot.Now()
	os.mu.Lock()
	before := os.at(now)
	next := make([]order, 0, len(list))
	for _, or := range list {
		since := now - or.Age
		if ix := slices.IndexFunc(os.list, func(known order) bool { return known.Service == or.Service && known.Target == or.Target }); ix >= 0 {
			since = min(since, os.list[ix].since)
		}
		next = append(next, order{Order: or.WithAge(0), since: since})
	}
	slices.SortFunc(next, func(a, b order) int { return cmp.Compare(a.Service, b.Service) })
	if os.sequence > 0 && slices.EqualFunc(next, os.list, order.addsNothing) {
		os.mu.Unlock()
		return
	}
	os.list = next
	os.count.Store(int32(min(len(next), math.MaxInt32)))
	os.sequence++
	after := os.at(now)
	os.Registry.Put(after)
	os.mu.Unlock()
	if os.OnChange != nil {
		os.OnChange(before, after)
	}
}

// Replace brings one order up to date with what the store answered to a write. An order
// that this instance does not know any more stays unknown.
func (os *Orders) Replace(or rollout.Order) {
	list := os.List()
	if ix := slices.IndexFunc(list, func(known rollout.Order) bool { return known.Service == or.Service }); ix >= 0 && list[ix].Revision < or.Revision {
		list[ix] = or
		os.Put(list)
	}
}

// Confirm records that the store had these orders at a boot time.
func (os *Orders) Confirm(at time.Duration) {
	if os == nil {
		return
	}
	os.mu.Lock()
	before := os.confirmed
	if at > before {
		os.confirmed = at
		os.Registry.Confirmed(os.Clock.Now().Add(at - os.Boot.Now()))
	}
	fresh := at-before > staleTime && len(os.list) > 0
	if fresh {
		os.sequence++
	}
	list := os.at(os.Boot.Now())
	os.mu.Unlock()
	if fresh && os.OnChange != nil {
		os.OnChange(list, list)
	}
}

// staleTime is the time between two confirmations after which the later one is passed to
// followers at once, since instances do not use what was not confirmed recently.
const staleTime = 2 * time.Second

// Has reports whether there is an order for a service.
func (os *Orders) Has(service string) bool {
	if os.count.Load() == 0 {
		return false
	}
	os.mu.Lock()
	defer os.mu.Unlock()
	return slices.ContainsFunc(os.list, func(or order) bool { return or.Service == service })
}

// List returns the orders, sorted by service, with their present ages.
func (os *Orders) List() []rollout.Order {
	if os == nil {
		return nil
	}
	os.mu.Lock()
	defer os.mu.Unlock()
	return os.at(os.Boot.Now())
}

// at returns the orders with their ages at a boot time. The caller must hold mu.
func (os *Orders) at(now time.Duration) []rollout.Order {
	list := make([]rollout.Order, 0, len(os.list))
	for _, or := range os.list {
		list = append(list, or.WithAge(max(now-or.since, 0)))
	}
	return list
}

// changes returns the number of changes so far, with the confirmations that Confirm
// passes on at once.
func (os *Orders) changes() uint64 {
	if os == nil {
		return 0
	}
	os.mu.Lock()
	defer os.mu.Unlock()
	return os.sequence
}

// current returns the orders, the time since the store confirmed them, and whether
// there is anything to send.
func (os *Orders) current() (list []rollout.Order, age time.Duration, known bool) {
	if os == nil {
		return nil, 0, false
	}
	os.mu.Lock()
	defer os.mu.Unlock()
	if os.sequence == 0 || os.confirmed == 0 {
		return nil, 0, false
	}
	now := os.Boot.Now()
	return os.at(now), now - os.confirmed, true
}
