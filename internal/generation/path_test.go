package generation_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/entry"
	"filbertstall.example/filbertstall/internal/generation"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/internal/standin"
	"filbertstall.example/filbertstall/pkg/client"
	"filbertstall.example/filbertstall/pkg/kind"
)

func TestPath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Streams over loopback")
}

// countingGranter counts the places that are held.
type countingGranter struct {
	admission.LocalGranter
	held atomic.Int64
}

func (cg *countingGranter) Acquire(ctx context.Context, re admission.Request) (*admission.Grant, error) {
	gr, err := cg.LocalGranter.Acquire(ctx, re)
	if err == nil {
		cg.held.Add(1)
	}
	return gr, err
}

func (cg *countingGranter) Release(gr *admission.Grant, ou admission.Outcome) {
	cg.held.Add(-1)
	cg.LocalGranter.Release(gr, ou)
}

// instance is an entry instance that runs in the test process.
type instance struct {
	url     string
	server  *entry.Server
	granter *countingGranter
	scope   tally.TestScope
}

func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return ln
}

// startEngine starts a stand-in engine that runs up to op.Sequences generations at
// once, and returns its endpoint and a function that stops it.
func startEngine(op standin.EngineOptions) (kind.Endpoint, func()) {
	op.MemoryTokens, op.ColdSequences, op.WarmTokens = 1<<24, op.Sequences, 1
	ln := listen()
	go func() { _ = standin.Serve(ln, standin.NewEngine(op)) }()
	return kind.Endpoint{
		Name: "engine-1", Service: "filbert-pool", Zone: "zilina-a", URL: "http://" + ln.Addr().String(), State: kind.EndpointServing,
		Capacity: kind.Capacity{Sequences: op.Sequences, ColdSequences: op.Sequences}, Capabilities: kind.Capabilities{Continuation: true},
	}, func() { _ = ln.Close() }
}

func configuration(en kind.Endpoint) *snapshot.Holder[kind.Configuration] {
	cf, err := kind.NewConfiguration(kind.Document{
		Version: 1, Zones: []kind.Zone{{Name: "zilina-a", Region: "sk-central", State: kind.ZoneServing}},
		Teams:     []kind.Team{{Name: "students", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken("student")}}},
		Services:  []kind.Service{{Name: "filbert-pool", Type: kind.ServiceModel, Model: "filbert"}},
		Endpoints: []kind.Endpoint{en},
	})
	if err != nil {
		panic(err)
	}
	var ho snapshot.Holder[kind.Configuration]
	ho.Store(cf)
	return &ho
}

func startInstance(ho *snapshot.Holder[kind.Configuration], change func(*generation.Handler, *entry.Server)) (*instance, func()) {
	clock := clockwork.NewRealClock()
	in := &instance{granter: &countingGranter{}, scope: tally.NewTestScope("", nil)}
	in.granter.Configuration = ho
	hangups := &hangup.Watcher{Clock: clock, Interval: 20 * time.Millisecond}
	ha := &generation.Handler{
		Granter: in.granter, Client: &endpoint.Client{IdleTimeout: 500 * time.Millisecond}, Tokens: generation.Tokens{Key: make([]byte, 32)},
		Clock: clock, Scope: in.scope, Hangups: hangups, ResumeGrace: 300 * time.Millisecond,
	}
	ln := listen()
	in.url = "http://" + ln.Addr().String()
	in.server = &entry.Server{
		Listener: ln, Configuration: ho, CreateGeneration: ha.Create, ResumeGeneration: ha.Resume, Hangups: hangups,
		OpenStreams: ha.OpenStreams, HandOver: ha.HandOver, Scope: in.scope, Clock: clock,
		BodyBytes: 1 << 20, Timeout: time.Minute, MaxTimeout: time.Hour,
	}
	if change != nil {
		change(ha, in.server)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = hangups.Run(ctx) }()
	go func() { _ = in.server.Run(ctx) }()
	return in, cancel
}

func body(tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"filbert","prompt":"Explain chapter 7.","stream":true,"max_tokens":%d}`, tokens)
}

func stream(tokens int, entries ...string) *client.Stream {
	cl := &client.Client{Entries: entries, Token: "student", IdleTimeout: 10 * time.Second}
	return cl.Generate(context.Background(), client.Generation{Path: "/v1/completions", Body: body(tokens)})
}

// readAll reads a stream to its end and returns the number of tokens, including
// those received before. The text of the stand-in's tokens holds seed and offset, so
// that it detects duplicated, lost and foreign tokens.
func readAll(st *client.Stream, received int, seed string) (int, error) {
	for {
		ev, err := st.Next()
		if errors.Is(err, io.EOF) {
			return received, nil
		}
		if err != nil {
			return received, err
		}
		var got string
		if got, err = seedOfToken(ev.Data, received); err != nil || (seed != "" && got != seed) {
			return received, fmt.Errorf("got a token with seed %s, want %s: %w", got, seed, err)
		}
		seed = got
		received++
	}
}

// seedOfToken returns the seed in the text of a token and checks its offset.
func seedOfToken(data []byte, offset int) (string, error) {
	var ev struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal(data, &ev); err != nil || len(ev.Choices) == 0 {
		return "", fmt.Errorf("cannot decode event %q", data)
	}
	seed, number, _ := strings.Cut(strings.TrimSpace(ev.Choices[0].Text), ":")
	if number != strconv.Itoa(offset) {
		return seed, fmt.Errorf("got token %s, want token %d", number, offset)
	}
	return seed, nil
}

// load returns the current load of the stand-in. Unlike its load reports, this
// does not lag.
func load(url string) endpoint.Load {
	resp, err := http.Get(url + "/standin/load")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var lo endpoint.Load
	Expect(json.NewDecoder(resp.Body).Decode(&lo)).To(Succeed())
	return lo
}

func runningCount(url string) func() int { return func() int { return load(url).Running } }

func (in *instance) counter(name, reason string) func() int64 {
	return func() int64 {
		for _, co := range in.scope.Snapshot().Counters() {
			if co.Name() == name && co.Tags()["reason"] == reason {
				return co.Value()
			}
		}
		return 0
	}
}

// post sends a request on a connection of its own.
func post(url string, tokens int) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	Expect(err).NotTo(HaveOccurred())
	data := body(tokens)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer student\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

const eventuallyTimeout = 20 * time.Second

var _ = Describe("A stream", func() {
	var stops []func()
	newInstance := func(ho *snapshot.Holder[kind.Configuration], change func(*generation.Handler, *entry.Server)) *instance {
		in, stop := startInstance(ho, change)
		stops = append(stops, stop)
		return in
	}
	newEngine := func(op standin.EngineOptions) kind.Endpoint {
		en, stop := startEngine(op)
		stops = append(stops, stop)
		return en
	}
	BeforeEach(func() { stops = nil })
	AfterEach(func() {
		for _, stop := range stops {
			stop()
		}
	})
	slow := standin.EngineOptions{Sequences: 1, StepBase: 10 * time.Millisecond, Grace: time.Minute}

	It("leaves the queue when its caller hangs up, and no engine sees it", func() {
		en := newEngine(slow)
		in := newInstance(configuration(en), nil)
		first := post(in.url, 100000)
		Eventually(runningCount(en.URL), eventuallyTimeout).Should(Equal(1))
		second := post(in.url, 5)
		Consistently(runningCount(en.URL), "100ms").Should(Equal(1))
		Expect(second.Close()).To(Succeed())
		Eventually(in.counter("refusals", "caller_gone"), eventuallyTimeout).Should(BeEquivalentTo(1))
		Expect(load(en.URL).StartedTotal).To(BeEquivalentTo(1))
		Expect(first.Close()).To(Succeed())
		Eventually(runningCount(en.URL), eventuallyTimeout).Should(Equal(0), "the generation is canceled after the grace period")
		Eventually(in.granter.held.Load, eventuallyTimeout).Should(BeZero())
	})

	It("continues at another instance when its caller reconnects within the grace period", func() {
		en := newEngine(standin.EngineOptions{Sequences: 4, StepBase: 10 * time.Millisecond, Grace: time.Minute})
		ho := configuration(en)
		one, two := newInstance(ho, nil), newInstance(ho, nil)
		st := stream(150, one.url, two.url)
		ev, err := st.Next()
		Expect(err).NotTo(HaveOccurred())
		seed, err := seedOfToken(ev.Data, 0)
		Expect(err).NotTo(HaveOccurred())
		st.Close() // the following call of Next resumes at the other instance
		Expect(readAll(st, 1, seed)).To(Equal(150))
		Expect(load(en.URL).StartedTotal).To(BeEquivalentTo(1))
		Eventually(one.counter("stream_ends", "caller_gone"), eventuallyTimeout).Should(BeEquivalentTo(1))
	})

	It("reconnects to its engine when the connection goes silent", func() {
		en := newEngine(standin.EngineOptions{Sequences: 4, StepBase: 5 * time.Millisecond, Grace: time.Minute})
		in := newInstance(configuration(en), nil)
		st := stream(200, in.url)
		ev, err := st.Next()
		Expect(err).NotTo(HaveOccurred())
		seed, err := seedOfToken(ev.Data, 0)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.Post(en.URL+"/standin/faults", "application/json", bytes.NewReader([]byte(`{"mode":"silent"}`)))
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(readAll(st, 1, seed)).To(Equal(200))
		Expect(st.Resumes).To(BeZero(), "the instance reconnects, not the caller")
		Expect(in.counter("stream_retries", "rejoin")()).To(BeEquivalentTo(1))
	})

	It("is handed over by a planned stop, and what waits is refused as not_run", func() {
		en := newEngine(slow)
		ho := configuration(en)
		one, two := newInstance(ho, nil), newInstance(ho, nil)
		st := stream(200, one.url, two.url)
		ev, err := st.Next()
		Expect(err).NotTo(HaveOccurred())
		seed, err := seedOfToken(ev.Data, 0)
		Expect(err).NotTo(HaveOccurred())
		waiting := post(one.url, 5)
		Eventually(one.server.OpenRequests, eventuallyTimeout).Should(Equal(2))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(one.server.Ready()).To(BeTrue())
		handedOver, err := one.server.Stop(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(handedOver).To(Equal(1))
		Expect(one.counter("stream_ends", "handover")()).To(BeEquivalentTo(1))
		Expect(one.server.Ready()).To(BeFalse())
		answer, err := io.ReadAll(waiting)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(And(ContainSubstring(`"reason":"stopping"`), ContainSubstring(`"outcome":"not_run"`), ContainSubstring("Retry-After")))
		Expect(readAll(st, 1, seed)).To(Equal(200))
		Expect(load(en.URL).StartedTotal).To(BeEquivalentTo(1))
	})

	It("releases its place when its caller does not read", func() {
		en := newEngine(standin.EngineOptions{Sequences: 4, StepBase: 50 * time.Microsecond, Grace: time.Minute})
		in := newInstance(configuration(en), func(_ *generation.Handler, se *entry.Server) { se.WriteTimeout = 200 * time.Millisecond })
		conn := post(in.url, 1000000)
		defer func() { _ = conn.Close() }()
		Expect(conn.(*net.TCPConn).SetReadBuffer(4096)).To(Succeed())
		Eventually(in.granter.held.Load, eventuallyTimeout).Should(BeEquivalentTo(1))
		Eventually(in.granter.held.Load, eventuallyTimeout).Should(BeZero())
		Eventually(runningCount(en.URL), eventuallyTimeout).Should(Equal(0))
	})
})
