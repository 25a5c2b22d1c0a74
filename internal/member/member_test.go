package member_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/internal/peer/peerfake"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
)

func init() {
	// A fixed seed makes the runs in CI reproducible.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// group is a set of tables that share a fake platform and a fake transport.
type group struct {
	store  *platformfake.Store
	net    *peerfake.Net
	tables []*member.Table
	cancel []context.CancelFunc
	listed []platform.Instance
}

func newGroup(t *testing.T, instances int, zones ...string) *group {
	gr := &group{store: platformfake.New(), net: peerfake.New(clockwork.NewRealClock())}
	gr.net.IntraZoneDelay, gr.net.InterZoneDelay = 500*time.Microsecond, time.Millisecond
	for ix := range instances {
		self := member.Member{
			Name: fmt.Sprintf("entry-%d", ix), Zone: zones[ix%len(zones)], Peer: fmt.Sprintf("10.0.0.%d:7100", ix),
			Started: time.Now().Truncate(time.Millisecond),
		}
		ta := &member.Table{
			Self: self, Store: gr.store, Caller: gr.net.Caller(self.Peer), Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
			Version: func() int64 { return 1 },
		}
		gr.net.Listen(self.Peer, self.Zone, map[string]any{member.ServiceName: &member.Service{Table: ta}})
		gr.listed = append(gr.listed, platform.Instance{Name: self.Name, Zone: self.Zone, Peer: self.Peer, State: platform.InstanceLive})
		gr.tables = append(gr.tables, ta)
	}
	gr.store.SetInstances(gr.listed)
	for _, ta := range gr.tables {
		ctx, cancel := context.WithCancel(t.Context())
		gr.cancel = append(gr.cancel, cancel)
		go func() { _ = ta.Run(ctx) }()
	}
	return gr
}

func (gr *group) stop() {
	for _, cancel := range gr.cancel {
		cancel()
	}
}

// expect checks the state of one member in the views of all other instances.
func (gr *group) expect(t *testing.T, name string, want member.State) {
	t.Helper()
	for _, ta := range gr.tables {
		if ta.Self.Name == name {
			continue
		}
		if me, _ := ta.View().Member(name); me.State != want {
			t.Errorf("%s sees %s in state %q, want %q", ta.Self.Name, name, me.State, want)
		}
	}
}

// Guards against a stopped member that stays live in the views because the
// platform's list is updated late, and against view versions that rise without a
// change of membership.
func TestLifeOfAMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(t, 12, "dalseo", "suseong")
		defer gr.stop()
		time.Sleep(10 * time.Second)
		gr.expect(t, "entry-3", member.Live)
		version := gr.tables[0].View().Version
		time.Sleep(time.Minute)
		if now := gr.tables[0].View().Version; now != version {
			t.Errorf("view version rose from %d to %d without a change of membership", version, now)
		}
		// The platform's list lags: it shows the stopped member as live for 20 s.
		gr.cancel[3]()
		gr.net.Close(gr.tables[3].Self.Peer)
		time.Sleep(10 * time.Second)
		gr.expect(t, "entry-3", member.Suspected)
		time.Sleep(10 * time.Second)
		gr.expect(t, "entry-3", member.Suspected)
		gr.store.SetInstances(append(gr.listed[:3:3], gr.listed[4:]...))
		time.Sleep(10 * time.Second)
		gr.expect(t, "entry-3", member.Gone)
		time.Sleep(6 * time.Minute)
		gr.expect(t, "entry-3", "")
	})
}

func TestLeavingIsKnownBeforeTheListSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gr := newGroup(t, 6, "dalseo", "suseong")
		defer gr.stop()
		time.Sleep(10 * time.Second)
		gr.tables[2].Leave(t.Context())
		time.Sleep(2 * member.ProbeInterval)
		gr.expect(t, "entry-2", member.Leaving)
		gr.cancel[2]()
		gr.net.Close(gr.tables[2].Self.Peer)
		time.Sleep(time.Minute)
		gr.expect(t, "entry-2", member.Gone)
	})
}

// The rendezvous order of a key does not depend on the order of the members,
// and removing a member does not reorder the others.
func TestRendezvous(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 20, rapid.ID[string]).Draw(rt, "names")
		var all []member.Member
		for _, name := range names {
			all = append(all, member.Member{Name: name})
		}
		key := rapid.String().Draw(rt, "key")
		ranked := member.Rendezvous(key, all)
		shuffled := rapid.Permutation(all).Draw(rt, "shuffled")
		removed := rapid.IntRange(0, len(all)-1).Draw(rt, "out")
		var rest []member.Member
		for _, me := range shuffled {
			if me.Name != ranked[removed].Name {
				rest = append(rest, me)
			}
		}
		for ix, me := range member.Rendezvous(key, rest) {
			want := ranked[ix]
			if ix >= removed {
				want = ranked[ix+1]
			}
			if me.Name != want.Name {
				rt.Fatalf("place %d is %q, want %q", ix, me.Name, want.Name)
			}
		}
	})
}
