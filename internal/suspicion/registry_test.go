package suspicion

import (
	"context"
	"errors"
	"flag"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// mesh connects registries in memory. Calls to partitioned registries fail.
type mesh struct {
	list        []*Registry
	partitioned map[string]bool
}

func newMesh(size int, clock clockwork.Clock) *mesh {
	me := &mesh{partitioned: make(map[string]bool)}
	for ix := range size {
		peers := func() []string {
			var list []string
			for other := range size {
				if other != ix {
					list = append(list, strconv.Itoa(other))
				}
			}
			return list
		}
		me.list = append(me.list, &Registry{Caller: me, Peers: peers, Clock: clock})
	}
	return me
}

func (me *mesh) Call(_ context.Context, address, method string, args, reply any) error {
	if me.partitioned[address] {
		return errors.New("registry is partitioned")
	}
	ix, _ := strconv.Atoi(address)
	if strings.HasSuffix(method, ".Share") {
		return me.list[ix].Service().Share(args.(*Case), reply.(*Reply))
	}
	return me.list[ix].Service().All(args.(*Query), reply.(*Reply))
}

// Guards against diverging verdicts: whatever the order of losses, clearings,
// network partitions and merges, all instances agree once each has merged the
// records of every other.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		me := newMesh(3, clock)
		instance := rapid.IntRange(0, 2)
		fingerprint := rapid.Uint64Range(1, 3)
		t.Repeat(map[string]func(*rapid.T){
			"lose": func(t *rapid.T) {
				lo := Loss{Endpoint: "engine-" + strconv.Itoa(rapid.IntRange(1, 3).Draw(t, "endpoint"))}
				me.list[instance.Draw(t, "instance")].Lost(t.Context(), fingerprint.Draw(t, "fingerprint"), lo)
			},
			"finish": func(t *rapid.T) {
				me.list[instance.Draw(t, "instance")].Finished(t.Context(), fingerprint.Draw(t, "fingerprint"))
			},
			"cut": func(t *rapid.T) {
				address := strconv.Itoa(instance.Draw(t, "instance"))
				me.partitioned[address] = !me.partitioned[address]
			},
			"pull": func(t *rapid.T) { me.list[instance.Draw(t, "instance")].pullFromPeer(t.Context()) },
		})
		for _, from := range me.list {
			for _, to := range me.list {
				for _, ca := range from.cases() {
					to.merge(ca)
				}
			}
		}
		for fp := range uint64(4) {
			first := me.list[0].Verdict(fp)
			if me.list[1].Verdict(fp) != first || me.list[2].Verdict(fp) != first {
				t.Fatalf("registries disagree on the verdict for fingerprint %d", fp)
			}
		}
	})
}

func TestVerdicts(t *testing.T) {
	gm := NewWithT(t)
	clock := clockwork.NewFakeClock()
	me := newMesh(2, clock)
	ctx := t.Context()
	me.list[0].Lost(ctx, 7, Loss{Endpoint: "engine-1", Boot: "a"})
	me.list[1].Lost(ctx, 7, Loss{Endpoint: "engine-1", Boot: "a"})
	gm.Expect(me.list[1].Verdict(7)).To(Equal(Suspect), "the same crash must count once")
	me.list[1].Lost(ctx, 7, Loss{Endpoint: "engine-2", Boot: "b"})
	gm.Expect(me.list[0].Verdict(7)).To(Equal(Refuse))
	me.list[0].Lost(ctx, 8, Loss{Endpoint: "engine-2", Boot: "b"})
	me.list[0].Finished(ctx, 8)
	gm.Expect(me.list[1].Verdict(8)).To(Equal(Clear), "a completed request did not cause the crash")
	me.list[0].Lost(ctx, 0, Loss{Endpoint: "engine-2"})
	gm.Expect(me.list[0].Verdict(0)).To(Equal(Clear))
	clock.Advance(2 * time.Hour)
	gm.Expect(me.list[0].Verdict(7)).To(Equal(Clear))
}
