package platform_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// flakyStore counts calls of Update and fails them with the errors of a script. A
// nil entry, and every call after the script has ended, goes to the store.
type flakyStore struct {
	*platformfake.Store
	script []error
	calls  int
}

func (fl *flakyStore) Update(ctx context.Context, key string, previous int64, value []byte) (int64, error) {
	fl.calls++
	if len(fl.script) > 0 {
		err := fl.script[0]
		fl.script = fl.script[1:]
		if err != nil {
			return 0, err
		}
	}
	return fl.Store.Update(ctx, key, previous, value)
}

func updateError(ki platform.ErrorKind) error { return &platform.Error{Op: "update", Kind: ki} }

func newGuard(st platform.Store, clock clockwork.Clock) *platform.Guard {
	return &platform.Guard{
		Store: st, Clock: clock, WritesPerSecond: 1000, ReadsPerSecond: 1000, FailureThreshold: 100,
		Backoff: platform.Backoff{Random: func(int64) int64 { return 0 }},
	}
}

var _ = Describe("Guard", func() {
	ctx := context.Background()

	It("detects that a write with a lost response took effect, and does not repeat it", func() {
		st := platformfake.New()
		st.SetFault(platformfake.LoseResponses)
		version, err := newGuard(st, clockwork.NewRealClock()).For(platform.ClassRecord).Update(ctx, "a", 0, []byte("w1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(int64(1)))
		_, writes := st.Calls()
		Expect(writes).To(Equal(1))
	})

	It("repeats a lost write that has not taken effect", func() {
		fl := &flakyStore{Store: platformfake.New(), script: []error{updateError(platform.Unknown)}}
		_, err := newGuard(fl, clockwork.NewRealClock()).For(platform.ClassRecord).Update(ctx, "a", 0, []byte("w1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(fl.calls).To(Equal(2))
	})

	It("does not mistake another writer's value for its own", func() {
		fl := &flakyStore{Store: platformfake.New(), script: []error{updateError(platform.Unknown)}}
		_, _ = fl.Store.Update(ctx, "a", 0, []byte("other"))
		_, err := newGuard(fl, clockwork.NewRealClock()).For(platform.ClassRecord).Update(ctx, "a", 0, []byte("w1"))
		Expect(platform.IsKind(err, platform.Unknown)).To(BeTrue(), "%v", err)
	})

	It("opens the breaker after consecutive failures and probes once per interval", func() {
		clock := clockwork.NewFakeClock()
		fl := &flakyStore{Store: platformfake.New()}
		for range 6 {
			fl.script = append(fl.script, updateError(platform.Unavailable))
		}
		gu := &platform.Guard{Store: fl, Clock: clock, MaxAttempts: 1, FailureThreshold: 5, ProbeInterval: time.Second}
		st := gu.For(platform.ClassRecord)
		update := func() error {
			_, err := st.Update(ctx, "a", 0, []byte("w1"))
			return err
		}
		for range 20 {
			Expect(platform.IsKind(update(), platform.Unavailable)).To(BeTrue())
		}
		Expect(fl.calls).To(Equal(5))
		clock.Advance(time.Second)
		for range 20 {
			Expect(update()).To(HaveOccurred())
		}
		Expect(fl.calls).To(Equal(6))
		clock.Advance(time.Second)
		Expect(update()).To(Succeed())
		_, err := st.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
	})

	It("reserves calls for configuration when status and records have used their shares", func() {
		clock := clockwork.NewFakeClock()
		gu := &platform.Guard{Store: platformfake.New(), Clock: clock, MaxAttempts: 1, ReadsPerSecond: 40}
		admitted := func(cl platform.Class) (calls int) {
			short, cancel := context.WithDeadline(ctx, clock.Now())
			defer cancel()
			for {
				if _, err := gu.For(cl).Instances(short); err != nil {
					return calls
				}
				calls++
			}
		}
		Expect(admitted(platform.ClassStatus)).To(Equal(20))
		Expect(admitted(platform.ClassRecord)).To(Equal(10))
		Expect(admitted(platform.ClassConfiguration)).To(Equal(10))
	})
})

// Scenario: several writers append unique markers to one object through connections
// that lose responses and delay or drop writes. Fails if the final object lacks the
// marker of an acknowledged write, or contains the marker of a write that failed
// with a kind other than Unknown.
func TestGuardTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		st := platformfake.New()
		var clients []platform.Store
		var connections []*platformfake.Store
		for ix := range 3 {
			co := st.Connect()
			co.SetRandom(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "source"), uint64(ix))))
			co.SetFault(platformfake.LoseRandomly)
			connections = append(connections, co)
			clients = append(clients, newGuard(co, clockwork.NewRealClock()).For(platform.ClassRecord))
		}
		results := make(map[string]error)
		for step := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "deliver") {
				connections[rapid.IntRange(0, 2).Draw(rt, "late")].DeliverDelayed()
			}
			ob, _ := st.Get(context.Background(), "log")
			mark := fmt.Sprintf("<%d>", step)
			value := append(append([]byte(nil), ob.Value...), mark...)
			// In half of the steps, another writer updates the object first.
			if rapid.Bool().Draw(rt, "race") {
				_, _ = st.Update(context.Background(), "log", ob.Version, append(append([]byte(nil), ob.Value...), "<r>"...))
			}
			_, results[mark] = clients[rapid.IntRange(0, 2).Draw(rt, "client")].Update(context.Background(), "log", ob.Version, value)
		}
		for _, co := range connections {
			co.DeliverDelayed()
		}
		ob, _ := st.Get(context.Background(), "log")
		for mark, err := range results {
			written := contains(ob.Value, mark)
			if err == nil && !written {
				rt.Fatalf("write of %s was acknowledged, but the object does not contain it", mark)
			}
			if written && err != nil && !platform.IsKind(err, platform.Unknown) {
				rt.Fatalf("object contains %s, but its write failed with %v", mark, err)
			}
		}
	})
}

func contains(value []byte, mark string) bool {
	for ix := 0; ix+len(mark) <= len(value); ix++ {
		if string(value[ix:ix+len(mark)]) == mark {
			return true
		}
	}
	return false
}

var _ = Describe("HTTPStore", func() {
	update := func(address string) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := (&platform.HTTPStore{URL: "http://" + address}).Update(ctx, "a", 0, []byte("v"))
		return err
	}
	// serveOnce accepts one connection, sends the given bytes and closes it. It
	// returns its address.
	serveOnce := func(response string) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = conn.Write([]byte(response))
			_ = conn.Close()
		}()
		return ln.Addr().String()
	}

	It("returns Unavailable when the connection is refused", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := ln.Addr().String()
		Expect(ln.Close()).To(Succeed())
		Expect(platform.IsKind(update(address), platform.Unavailable)).To(BeTrue())
	})

	DescribeTable("returns Unknown for a write that may have been sent",
		func(response string) {
			err := update(serveOnce(response))
			Expect(platform.IsKind(err, platform.Unknown)).To(BeTrue(), "%v", err)
		},
		Entry("connection closed without a response", ""),
		Entry("truncated response", "HTTP/1.1 200 OK\r\nContent-Le"),
		Entry("response without a version", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
		Entry("internal error of the platform", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"),
		Entry("503 from an intermediary", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"),
	)
})
