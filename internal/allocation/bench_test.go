package allocation

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

// countedListener counts the bytes of all its connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (cl countedListener) Accept() (net.Conn, error) {
	conn, err := cl.Listener.Accept()
	return countedConn{conn, cl.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (cc countedConn) Read(into []byte) (int, error) {
	n, err := cc.Conn.Read(into)
	cc.bytes.Add(int64(n))
	return n, err
}

func (cc countedConn) Write(from []byte) (int, error) {
	n, err := cc.Conn.Write(from)
	cc.bytes.Add(int64(n))
	return n, err
}

// countedCaller counts the calls.
type countedCaller struct {
	peer.Client
	calls atomic.Int64
}

func (cc *countedCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	cc.calls.Add(1)
	return cc.Client.Call(ctx, address, method, args, reply)
}

// pair is a holder and an instance that requests places from it over loopback.
type pair struct {
	holder, other *Granter
	bytes         atomic.Int64
	caller        countedCaller
}

func newPair(tb testing.TB) *pair {
	cf, err := kind.NewConfiguration(kind.Document{
		Version: 1, Zones: []kind.Zone{{Name: "a", State: kind.ZoneServing}},
		Services: []kind.Service{{Name: service, Type: kind.ServicePlain}},
		Endpoints: []kind.Endpoint{{
			Name: "desk", Service: service, Zone: "a", URL: "http://127.0.0.1:1", State: kind.EndpointServing,
			Capacity: kind.Capacity{Sequences: 4096, ColdSequences: 4096},
		}},
	})
	if err != nil {
		tb.Fatal(err)
	}
	pa := &pair{}
	var holder snapshot.Holder[kind.Configuration]
	holder.Store(cf)
	store := platformfake.New()
	var list []platform.Instance
	for ix, name := range []string{"entry-0", "entry-1"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		list = append(list, platform.Instance{Name: name, Zone: "a", State: platform.InstanceLive, Peer: ln.Addr().String()})
		gt := &Granter{
			Instance: name, Zone: "a", Address: ln.Addr().String(), Store: store, Members: membersFunc(func() []platform.Instance { return list }),
			Caller: &pa.caller, Endpoints: idleEndpoints{}, Configuration: &holder, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
		}
		se := &peer.Server{Listener: countedListener{ln, &pa.bytes}}
		if err := se.Register(ServiceName, gt.Service()); err != nil {
			tb.Fatal(err)
		}
		go func() { _ = se.Run(tb.Context()) }()
		if ix == 0 {
			pa.holder = gt
		} else {
			pa.other = gt
		}
	}
	go func() { _ = pa.holder.Run(tb.Context()) }()
	gr := Group{"a", service}
	for ho := pa.holder.holder(gr); ho == nil; ho = pa.holder.holder(gr) {
		time.Sleep(10 * time.Millisecond)
	}
	go func() { _ = pa.other.Run(tb.Context()) }()
	for li := pa.other.link(gr); !li.sending(time.Now()); {
		time.Sleep(10 * time.Millisecond)
	}
	return pa
}

type membersFunc func() []platform.Instance

func (mf membersFunc) Members() []platform.Instance { return mf() }

type idleEndpoints struct{}

func (idleEndpoints) Load(string) (endpoint.Load, error) { return endpoint.Load{}, nil }

func (idleEndpoints) CacheEvents(string, int64) ([]endpoint.CacheEvent, error) { return nil, nil }

func acquireAndRelease(tb testing.TB, gt *Granter) {
	re := admission.Request{ID: "0123456789abcdef0123456789abcdef", Service: service, Team: "desk", Weight: 1, Deadline: time.Now().Add(time.Minute)}
	gr, err := gt.Acquire(tb.Context(), re)
	if err != nil {
		tb.Fatal(err)
	}
	gt.Release(gr, admission.Outcome{Result: admission.Completed})
}

// BenchmarkGrant measures an Acquire and a Release, at the holder itself and
// over net/rpc on loopback.
func BenchmarkGrant(b *testing.B) {
	b.Run("holder", func(b *testing.B) {
		pa := newPair(b)
		b.ReportAllocs()
		for b.Loop() {
			acquireAndRelease(b, pa.holder)
		}
	})
	b.Run("loopback", func(b *testing.B) {
		pa := newPair(b)
		b.ReportAllocs()
		calls, bytes := pa.caller.calls.Load(), pa.bytes.Load()
		for b.Loop() {
			acquireAndRelease(b, pa.other)
		}
		b.ReportMetric(2*float64(pa.caller.calls.Load()-calls)/float64(b.N), "messages/op")
		b.ReportMetric(float64(pa.bytes.Load()-bytes)/float64(b.N), "wire_bytes/op")
	})
	b.Run("loopback_10ms", func(b *testing.B) {
		pa := newPair(b)
		calls, bytes := pa.caller.calls.Load(), pa.bytes.Load()
		for b.Loop() {
			acquireAndRelease(b, pa.other)
			time.Sleep(10 * time.Millisecond)
		}
		b.ReportMetric(2*float64(pa.caller.calls.Load()-calls)/float64(b.N), "messages/op")
		b.ReportMetric(float64(pa.bytes.Load()-bytes)/float64(b.N), "wire_bytes/op")
	})
	b.Run("idle_second", func(b *testing.B) {
		pa := newPair(b)
		bytes := pa.bytes.Load()
		for b.Loop() {
			time.Sleep(time.Second)
		}
		b.ReportMetric(float64(pa.bytes.Load()-bytes)/float64(b.N), "wire_bytes/op")
	})
}
