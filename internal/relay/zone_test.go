package relay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/clocktest"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/pause"
	"filbertstall.example/filbertstall/internal/peer/peerfake"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
)

// bubbleTime is the boot time in a synctest bubble.
type bubbleTime struct{ start time.Time }

func (bt bubbleTime) Now() time.Duration { return time.Hour + time.Since(bt.start) }

// fleet is a number of zones whose instances share the reading of one store.
type fleet struct {
	clock     clocktest.Clock
	boot      bubbleTime
	net       *peerfake.Net
	registry  []loadshare.Member
	instances []*member

	mu    sync.Mutex
	calls int
	// rejected are the instances that the store does not answer; down means that
	// it answers none.
	rejected map[string]bool
	down     bool
	// silent is set if calls that are not answered are lost without an error, until they
	// time out.
	silent bool
	// frozen are the instances that stand still: neither they nor calls to them get
	// answers.
	frozen map[string]bool
	// removed is set once the entry of the endpoint is gone from the store.
	removed bool
	// latency is the time in which the store answers.
	latency  time.Duration
	version  int64
	watchers chan struct{}
}

// member is one instance of a fleet.
type member struct {
	fl      *fleet
	self    loadshare.Member
	roster  roster.Roster
	state   routing.State
	members loadshare.Members
	log     Log
	stop    context.CancelFunc
	stopped bool
}

func newFleet(zones, perZone int) *fleet {
	fl := &fleet{clock: clocktest.New(), boot: bubbleTime{start: time.Now()}, rejected: make(map[string]bool), frozen: make(map[string]bool), version: 1, watchers: make(chan struct{})}
	fl.net = peerfake.New(fl.clock)
	fl.net.IntraZoneDelay, fl.net.InterZoneDelay = 100*time.Microsecond, 1400*time.Microsecond
	for zone := range zones {
		for ix := range perZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(ix + 1)}), 7000)
			self := loadshare.Member{Name: fmt.Sprintf("z%d-%02d", zone, ix), Zone: fmt.Sprint("z", zone), Address: address, LinkMbps: 20}
			if ix < 3 {
				self.LinkMbps = 200
			}
			fl.registry = append(fl.registry, self)
			fl.instances = append(fl.instances, &member{fl: fl, self: self})
		}
	}
	return fl
}

// start runs a process of the instance without any state.
func (mb *member) start(ctx context.Context) {
	fl := mb.fl
	ctx, mb.stop = context.WithCancel(ctx)
	mb.stopped = false
	mb.roster = roster.Roster{Clock: fl.clock, Log: zerolog.Nop(), OnChange: func() { mb.log.Observe() }, OutageEnd: mb.log.OutageEnd}
	mb.state = routing.State{Clock: fl.boot}
	mb.members = loadshare.Members{}
	mb.members.Set(fl.registry)
	mb.log = Log{Boot: fl.boot, Roster: &mb.roster, State: &mb.state, Members: &mb.members, Now: fl.clock.Now, Epoch: time.Now().UnixNano()}
	fl.net.Listen(mb.self.Address.String(), mb.self.Zone, map[string]any{ServiceName: mb.log.Service()})
	sw := &Switch{
		Log: &mb.log, Caller: freezing{mb: mb, Caller: fl.net.Caller(mb.self.Address.String())}, Self: mb.self, Members: &mb.members, Alive: fl.alive,
		Configuration: storeReader{mb: mb, confirm: true}, Others: nil, Fetch: mb.fetch, Decode: decodeNumber,
		Roster: &mb.roster, State: &mb.state, Clock: fl.clock, Boot: fl.boot, Logger: zerolog.Nop(),
	}
	sw.Others = append(sw.Others, storeReader{mb: mb})
	mb.log.AnsweredElsewhere = sw.AnsweredElsewhere
	go func() { _ = sw.Run(ctx) }()
}

// kill ends the process of the instance.
func (mb *member) kill() {
	mb.stop()
	mb.fl.net.Close(mb.self.Address.String())
	mb.fl.mu.Lock()
	defer mb.fl.mu.Unlock()
	mb.stopped = true
}

// alive reports whether the instance runs. Real instances notice a death later.
func (fl *fleet) alive(name string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, mb := range fl.instances {
		if mb.self.Name == name {
			return !mb.stopped
		}
	}
	return false
}

// call makes one call to the store and returns the version, or an error if the
// store does not answer the caller.
func (fl *fleet) call(name string) (int64, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.calls++
	if fl.down || fl.rejected[name] {
		return 0, errors.New("the store rejects the call")
	}
	return fl.version, nil
}

func (fl *fleet) currentLatency() time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.latency
}

// takeCalls returns the number of calls to the store since the last time.
func (fl *fleet) takeCalls() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	calls := fl.calls
	fl.calls = 0
	return calls
}

func (fl *fleet) set(change func()) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	change()
}

// oldest returns the instance whose confirmation of the configuration is the
// oldest, and its age.
func (fl *fleet) oldest() (name string, age time.Duration) {
	for _, mb := range fl.instances {
		own, confirmed := mb.state.Age()
		if !confirmed {
			own = unknownAge
		}
		if own > age {
			name, age = mb.self.Name, own
		}
	}
	return name, age
}

// watch runs for some time and returns the greatest age of a confirmation that
// any instance has had in it.
func (fl *fleet) watch(du time.Duration) time.Duration {
	var greatest time.Duration
	for end := time.Now().Add(du); time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
		_, age := fl.oldest()
		greatest = max(greatest, age)
	}
	return greatest
}

// readers returns the number of instances that read the store.
func (fl *fleet) readers() int { return len(fl.readerNames()) }

// readerNames returns the names of the instances that read the store.
func (fl *fleet) readerNames() (names []string) {
	for _, mb := range fl.instances {
		if mb.isReader() {
			names = append(names, mb.self.Name)
		}
	}
	return names
}

func (mb *member) isReader() bool {
	mb.log.mu.Lock()
	defer mb.log.mu.Unlock()
	return mb.log.role.direct
}

func (mb *member) fetch(ctx context.Context) error {
	begun := mb.fl.boot.Now()
	version, err := mb.fl.call(mb.self.Name)
	if err != nil && mb.fl.isSilent() {
		pause.For(ctx, mb.fl.clock, callTimeout)
	}
	if err == nil {
		mb.state.Put(newNumber(version))
		mb.state.Confirm(begun)
	}
	return err
}

func newNumber(version int64) *routing.Configuration {
	return routing.New(routing.Spec{Version: version, Source: []byte(fmt.Sprint(version))})
}

func decodeNumber(source []byte) (*routing.Configuration, error) {
	var version int64
	_, err := fmt.Sscan(string(source), &version)
	return newNumber(version), err
}

// storeReader is a controller that follows the store: one call a second, or a
// back-off after a failure.
type storeReader struct {
	mb *member
	// confirm is set for the one that follows the configuration.
	confirm bool
}

func (storeReader) Name() string { return "store" }

func (sr storeReader) Run(ctx context.Context) error {
	fl := sr.mb.fl
	for first := true; ctx.Err() == nil; first = false {
		begun := fl.boot.Now()
		version, err := fl.call(sr.mb.self.Name)
		list := fl.endpoints()
		pause.For(ctx, fl.clock, fl.currentLatency())
		for fl.isFrozen(sr.mb.self.Name) && ctx.Err() == nil {
			pause.For(ctx, fl.clock, 10*time.Millisecond)
		}
		if err != nil {
			sr.fail(ctx, err)
			continue
		}
		if !first {
			pause.For(ctx, fl.clock, time.Second)
		}
		if ctx.Err() != nil {
			return nil
		}
		if fl.isSilentFor(sr.mb.self.Name) {
			// A call that the store holds is lost with its path.
			sr.fail(ctx, errors.New("the call was cut off"))
			continue
		}
		if sr.confirm {
			if sr.mb.state.Put(newNumber(version)) {
				sr.mb.log.Observe()
			}
			sr.mb.state.Confirm(begun)
			sr.mb.log.ConfigurationAnswered()
			continue
		}
		sr.mb.log.StoreAnswered()
		sr.mb.roster.Reset(list)
		sr.mb.roster.CallAnswered(begun)
		sr.mb.log.CallAnswered(begun)
	}
	return nil
}

// callTimeout is how long a call lasts that is lost.
const callTimeout = 1200 * time.Millisecond

// fail reports a call that was not answered, and pauses.
func (sr storeReader) fail(ctx context.Context, err error) {
	fl := sr.mb.fl
	if fl.isSilent() {
		pause.For(ctx, fl.clock, callTimeout)
	}
	if ctx.Err() != nil {
		return
	}
	if sr.confirm {
		sr.mb.log.ConfigurationFailed()
	} else {
		sr.mb.roster.CallFailed(err)
	}
	pause.For(ctx, fl.clock, 400*time.Millisecond)
}

func (fl *fleet) isSilent() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.silent
}

// isSilentFor reports whether the store does not answer an instance.
func (fl *fleet) isSilentFor(name string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.down || fl.rejected[name]
}

// runFleet starts a fleet, lets it settle and calls test.
func runFleet(t *testing.T, zones, perZone int, test func(g *WithT, fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(zones, perZone)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(10 * time.Second)
		defer cancel()
		for _, mb := range fl.instances {
			mb.start(ctx)
		}
		test(NewWithT(t), fl)
	})
}

// servableAge is the age of a confirmation up to which instances accept keys if
// the platform states the usual bound of five seconds.
const servableAge = 4700 * time.Millisecond

// settledCalls is the number of calls that the two controllers of a reader make
// in ten seconds.
const settledCalls = 24

// All instances start at once: one of each zone reads the store, and all others
// are served by it within a second.
func TestZoneStarts(t *testing.T) {
	runFleet(t, 5, 19, func(g *WithT, fl *fleet) {
		time.Sleep(time.Second)
		_, age := fl.oldest()
		g.Expect(age).To(BeNumerically("<", 2*time.Second))
		g.Expect(fl.readers()).To(Equal(5))
		g.Expect(fl.watch(9 * time.Second)).To(BeNumerically("<", servableAge))
		g.Expect(fl.takeCalls()).To(BeNumerically("<=", 5*settledCalls), "calls grow with the zones, not with the instances")
	})
}

// The readers of all zones end, and start again later.
func TestReadersDie(t *testing.T) {
	runFleet(t, 3, 19, func(g *WithT, fl *fleet) {
		time.Sleep(4 * time.Second)
		fl.takeCalls()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var died []*member
		for _, mb := range fl.instances {
			if mb.isReader() {
				died = append(died, mb)
			}
		}
		g.Expect(died).To(HaveLen(3))
		for _, mb := range died {
			mb.kill()
		}
		var worst time.Duration
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for _, mb := range fl.instances {
				if age, confirmed := mb.state.Age(); confirmed && fl.alive(mb.self.Name) {
					worst = max(worst, age)
				}
			}
		}
		g.Expect(worst).To(BeNumerically("<", servableAge))
		for _, mb := range died {
			mb.start(ctx)
		}
		time.Sleep(time.Second)
		_, age := fl.oldest()
		g.Expect(age).To(BeNumerically("<", 3*time.Second), "restarted instances are served within a second")
		time.Sleep(9 * time.Second)
		g.Expect(fl.readers()).To(Equal(3))
		g.Expect(fl.takeCalls()).To(BeNumerically("<=", 2*15/10*3*settledCalls))
	})
}
