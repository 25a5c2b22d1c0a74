package forwarding

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/upstream"
)

// lostPaths has the instances that have lost their links to all endpoints.
type lostPaths map[string]bool

func (lp lostPaths) LostAt(instance, _ string) bool { return lp[instance] }

func member(name, zone string, port uint16) loadshare.Member {
	return loadshare.Member{Name: name, Zone: zone, Forwards: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
}

func newForwarder(lost lostPaths, dead map[string]bool, list ...loadshare.Member) *Forwarder {
	fo := &Forwarder{
		Pool: &upstream.Pool{IDHeader: "Id", Clock: clockwork.NewRealClock()}, Self: member("self", "a", 1), Members: &loadshare.Members{},
		Takes: func(name string) bool { return !dead[name] }, Paths: lost, Boot: boottime.System{},
		Encode: func(re *dispatch.Request, _ time.Duration) upstream.Call {
			return upstream.Call{Method: http.MethodPost, Target: "/", Host: "h", ID: re.ID}
		},
	}
	fo.Members.Set(list)
	return fo
}

// A request goes to an instance that has links to the endpoints, of its own zone if
// there is one.
func TestChoiceOfInstance(t *testing.T) {
	near, near2, far, old := member("near", "a", 2), member("near2", "a", 3), member("far", "b", 4), loadshare.Member{Name: "old", Zone: "a"}
	for _, ca := range []struct {
		name  string
		list  []loadshare.Member
		lost  lostPaths
		dead  map[string]bool
		tried map[string]bool
		want  string
	}{
		{"the same zone first", []loadshare.Member{far, near, member("self", "a", 1)}, nil, nil, nil, "near"},
		{"no links there", []loadshare.Member{far, near}, lostPaths{"near": true}, nil, nil, "far"},
		{"silent", []loadshare.Member{far, near}, nil, map[string]bool{"near": true}, nil, "far"},
		{"tried before", []loadshare.Member{near, near2}, nil, nil, map[string]bool{"near": true}, "near2"},
		{"takes no requests of others", []loadshare.Member{old, far}, nil, nil, nil, "far"},
		{"none has links", []loadshare.Member{near, far}, lostPaths{"near": true, "far": true}, nil, nil, ""},
		{"alone", []loadshare.Member{member("self", "a", 1)}, nil, nil, nil, ""},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			me, found := newForwarder(ca.lost, ca.dead, ca.list...).choose("s", ca.tried)
			g.Expect(found).To(Equal(ca.want != ""))
			g.Expect(me.Name).To(Equal(ca.want))
		})
	}
}

// An instance that can't be reached is passed over for a while. The request was not sent
// to it.
func TestUnreachableInstancesArePassedOver(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	port := ln.Addr().(*net.TCPAddr).Port
	g.Expect(ln.Close()).To(Succeed())
	fo := newForwarder(nil, nil, member("gone", "a", uint16(port)))
	_, name, err := fo.Forward(t.Context(), &dispatch.Request{ID: "1"}, "s", nil, time.Second)
	g.Expect(name).To(Equal("gone"))
	g.Expect(upstream.KindOf(err)).To(Equal(upstream.NotSent), fmt.Sprint(err))
	_, name, err = fo.Forward(t.Context(), &dispatch.Request{ID: "1"}, "s", nil, time.Second)
	g.Expect(name).To(BeEmpty())
	g.Expect(errors.Is(err, ErrNoInstance)).To(BeTrue())
}
