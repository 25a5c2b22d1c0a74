package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/routing"
)

// caller is a peer.Caller that passes calls to a reader's log, or fails them.
type caller struct {
	mu   sync.Mutex
	log  *Log
	fail error
}

func (ca *caller) set(fail error) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.fail = fail
}

func (ca *caller) Call(_ context.Context, _, _ string, args, reply any) error {
	ca.mu.Lock()
	fail := ca.fail
	ca.mu.Unlock()
	if fail != nil {
		return fail
	}
	switch reply := reply.(type) {
	case *Text:
		return ca.log.Service().Configuration(None{}, reply)
	case *Status:
		return ca.log.Service().Status(None{}, reply)
	}
	qu, _ := args.(Query)
	up, _ := reply.(*Update)
	qu.Wait = 5 * time.Millisecond
	*up = ca.log.Wait(context.Background(), qu)
	return nil
}

// countingController is a controller that counts its starts.
type countingController struct {
	mu     sync.Mutex
	starts int
	begin  func()
}

func (*countingController) Name() string { return "store" }

func (co *countingController) Run(ctx context.Context) error {
	co.mu.Lock()
	co.starts++
	co.mu.Unlock()
	if co.begin != nil {
		co.begin()
	}
	<-ctx.Done()
	return nil
}

func (co *countingController) count() int {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.starts
}

func TestSwitchReadsTheStoreWhenItsReaderFails(t *testing.T) {
	g := NewWithT(t)
	reader, no := newNode(), newNode()
	reader.put("e1")
	reader.state.Put(routing.New(routing.Spec{Version: 1}))
	reader.state.Confirm(reader.boot.Now())
	reader.log.CallAnswered(reader.boot.Now())
	reader.log.setRole(role{direct: true})
	self := loadshare.Member{Name: "self", Zone: "a", LinkMbps: 1}
	members := &loadshare.Members{}
	members.Set([]loadshare.Member{self, {Name: "reader", Zone: "a", LinkMbps: 2}})
	configuration := &countingController{begin: func() { no.state.Confirm(no.boot.Now()) }}
	others := &countingController{}
	ca := &caller{log: &reader.log}
	sw := &Switch{
		Log: &no.log, Caller: ca, Self: self, Members: members, Alive: func(string) bool { return true },
		Configuration: configuration, Others: nil, Roster: &no.roster, State: &no.state, Clock: clockwork.NewRealClock(), Boot: no.boot,
		Logger: zerolog.Nop(), Decode: func([]byte) (*routing.Configuration, error) { return nil, errors.New("unexpected call to Decode") },
		Fetch: func(context.Context) error {
			no.state.Put(routing.New(routing.Spec{Version: 1}))
			return nil
		},
	}
	sw.Others = append(sw.Others, others)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = sw.Run(ctx) }()
	g.Eventually(func() int { return len(no.roster.View().Ready("s")) }, "5s").Should(Equal(1))
	g.Expect(configuration.count()).To(BeZero(), "nothing is read from the store while the reader answers")
	ca.set(errors.New("reader stopped"))
	g.Eventually(others.count, "5s").Should(Equal(1))
	g.Expect(configuration.count()).To(Equal(1))
	g.Expect(no.ask(Query{}).Direct).To(BeTrue())
}

// An instance that the store rejects follows the reader of another zone if the
// store still answers that reader (incident inc-c707).
func TestSwitchAsksOtherZonesWhenTheStoreTurnsItAway(t *testing.T) {
	g := NewWithT(t)
	reader, no := newNode(), newNode()
	reader.state.Put(routing.New(routing.Spec{Version: 2, Source: []byte("version 2")}))
	reader.put("e1")
	reader.state.Confirm(reader.boot.Now())
	reader.log.CallAnswered(reader.boot.Now())
	reader.log.setRole(role{direct: true})
	no.state.Put(routing.New(routing.Spec{Version: 1}))
	no.state.Confirm(no.boot.Now() - maxOwnConfirmationAge - time.Second)
	self := loadshare.Member{Name: "self", Zone: "a"}
	members := &loadshare.Members{}
	members.Set([]loadshare.Member{self, {Name: "reader", Zone: "b"}})
	configuration := &countingController{}
	sw := &Switch{
		Log: &no.log, Caller: &caller{log: &reader.log}, Self: self, Members: members, Alive: func(string) bool { return true },
		Configuration: configuration, Roster: &no.roster, State: &no.state, Clock: clockwork.NewRealClock(), Boot: no.boot, Logger: zerolog.Nop(),
		Fetch: func(context.Context) error { return errors.New("rejected by the store") },
		Decode: func(source []byte) (*routing.Configuration, error) {
			g.Expect(string(source)).To(Equal("version 2"))
			return routing.New(routing.Spec{Version: 2, Source: source}), nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = sw.Run(ctx) }()
	g.Eventually(func() int { return len(no.roster.View().Ready("s")) }, "8s").Should(Equal(1))
	g.Eventually(func() time.Duration { age, _ := no.state.Age(); return age }, "5s").Should(BeNumerically("<", maxOwnConfirmationAge))
	g.Expect(configuration.count()).To(BeNumerically(">=", 1), "the store is tried first")
	g.Expect(no.state.Load().Version).To(Equal(int64(2)), "the reader's configuration is in force")
}

// All connections between instances are reset at once. Nobody gives its reader up
// for that.
func TestResetConnections(t *testing.T) {
	g := NewWithT(t)
	reader, no := newNode(), newNode()
	reader.put("e1")
	reader.state.Put(routing.New(routing.Spec{Version: 1, Source: []byte("1")}))
	reader.state.Confirm(reader.boot.Now())
	reader.log.CallAnswered(reader.boot.Now())
	reader.log.setRole(role{direct: true})
	lost := func(cause error) error { return &peer.Error{Op: "Relay.Watch", Kind: peer.Lost, Err: cause} }
	for _, ca := range []struct {
		name  string
		fails []error
		calls int
		err   error
	}{
		{"one call is reset", []error{nil, lost(io.EOF), nil, errStale}, 4, errStale},
		{"two calls in a row are reset", []error{nil, lost(io.EOF), lost(io.ErrUnexpectedEOF)}, 3, io.ErrUnexpectedEOF},
		{"the first call is reset", []error{lost(io.EOF)}, 1, io.EOF},
		{"a call gets no answer", []error{nil, lost(context.DeadlineExceeded)}, 2, context.DeadlineExceeded},
	} {
		t.Run(ca.name, func(t *testing.T) {
			calls := 0
			sw := &Switch{
				Log: &no.log, Self: loadshare.Member{Name: "self"}, Members: &loadshare.Members{}, Alive: func(string) bool { return true },
				Roster: &no.roster, State: &no.state, Clock: clockwork.NewRealClock(), Boot: no.boot, Logger: zerolog.Nop(), Decode: decodeNumber,
				Caller: callerFunc(func(method string, args, reply any) error {
					if method != ServiceName+".Watch" {
						return (&caller{log: &reader.log}).Call(t.Context(), "", method, args, reply)
					}
					calls++
					if err := ca.fails[calls-1]; err != nil {
						return err
					}
					return (&caller{log: &reader.log}).Call(t.Context(), "", method, args, reply)
				}),
			}
			sw.el = election{self: "self", phase: following, source: "reader", alternative: true, until: time.Now().Add(time.Hour)}
			err := sw.follow(t.Context(), loadshare.Member{Name: "reader"})
			g.Expect(err).To(MatchError(ca.err))
			g.Expect(calls).To(Equal(ca.calls))
		})
	}
}

// callerFunc is a peer.Caller.
type callerFunc func(method string, args, reply any) error

func (cf callerFunc) Call(_ context.Context, _, method string, args, reply any) error {
	return cf(method, args, reply)
}
