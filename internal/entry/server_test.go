package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/entry"
	"filbertstall.example/filbertstall/internal/explain"
	"filbertstall.example/filbertstall/internal/filter"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

const bodyLimit = 4096

// bench runs an entry server whose handlers respond with the name of the team.
type bench struct {
	client  *http.Client
	ring    *explain.Ring
	scope   tally.TestScope
	reached int
}

func newBench(cf *kind.Configuration) *bench {
	be := &bench{scope: tally.NewTestScope("", nil), ring: &explain.Ring{Clock: clockwork.NewRealClock()}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	holder := &snapshot.Holder[kind.Configuration]{}
	holder.Store(cf)
	answer := func(ex *filter.Exchange) error {
		be.reached++
		if string(ex.HTTP.Path()) == "/services/panic/now" {
			panic("on purpose")
		}
		ex.HTTP.SetBodyString(ex.Team.Name)
		return nil
	}
	se := &entry.Server{
		Listener: ln, Instance: "entry-1", Explain: be.ring, Configuration: holder, CreateGeneration: answer,
		ResumeGeneration: answer, Call: answer, Scope: be.scope, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
		BodyBytes: bodyLimit, Timeout: time.Minute, MaxTimeout: time.Hour,
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = se.Run(ctx) }()
	be.client = &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			return net.Dial("tcp", ln.Addr().String())
		},
	}}
	return be
}

func (be *bench) send(method, path, body string, header http.Header) (*http.Response, []byte) {
	req, err := http.NewRequest(method, "http://entry"+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header = header
	resp, err := be.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	_, err = io.Copy(&buf, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, buf.Bytes()
}

func bearer(token string) http.Header { return http.Header{"Authorization": {"Bearer " + token}} }

func configured() *kind.Configuration {
	cf, err := kind.NewConfiguration(kind.Document{Version: 1, Teams: []kind.Team{
		{Name: "desk", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken("good")}},
		{Name: "ops", Weight: 1, Role: kind.RoleConfirm, TokenHashes: []string{kind.HashToken("operator")}},
	}})
	Expect(err).NotTo(HaveOccurred())
	return cf
}

var _ = Describe("Server", func() {
	It("passes a valid request to the handler with its team and returns a request ID", func() {
		resp, body := newBench(configured()).send("POST", "/v1/completions", "{}", bearer("good"))
		Expect(resp.StatusCode).To(Equal(200))
		Expect(string(body)).To(Equal("desk"))
		Expect(resp.Header.Get("Request-Id")).To(HaveLen(32))
	})

	with := func(name, value string) http.Header {
		header := bearer("good")
		header.Set(name, value)
		return header
	}
	DescribeTable("refuses bad requests before any handler runs",
		func(method, path, body string, header http.Header, re refusal.Reason) {
			be := newBench(configured())
			resp, data := be.send(method, path, body, header)
			Expect(resp.StatusCode).To(And(BeNumerically(">=", 400), BeNumerically("<", 500)))
			Expect(resp.Header.Get("Content-Type")).To(Equal(refusal.ContentType))
			var pr refusal.Problem
			Expect(json.Unmarshal(data, &pr)).To(Succeed())
			Expect(pr.Reason).To(Equal(re))
			Expect(pr.Outcome).To(Equal(refusal.NotRun))
			Expect(be.reached).To(BeZero())
			counted := be.scope.Snapshot().Counters()["refusals+reason="+string(re)]
			Expect(counted.Value()).To(BeNumerically("==", 1))
		},
		Entry("no token", "POST", "/v1/completions", "{}", http.Header{}, refusal.Unauthenticated),
		Entry("other scheme", "POST", "/v1/completions", "{}", http.Header{"Authorization": {"Basic good"}}, refusal.Unauthenticated),
		Entry("unknown token", "POST", "/v1/completions", "{}", bearer("bad"), refusal.Unauthenticated),
		Entry("an operator's token", "POST", "/v1/completions", "{}", bearer("operator"), refusal.Forbidden),
		Entry("unknown path", "GET", "/v2", "", bearer("good"), refusal.NotFound),
		Entry("wrong method", "GET", "/v1/completions", "", bearer("good"), refusal.NotFound),
		Entry("timeout that is a word", "POST", "/v1/completions", "{}", with("Request-Timeout", "soon"), refusal.BadRequest),
		Entry("timeout of zero", "POST", "/v1/completions", "{}", with("Request-Timeout", "0"), refusal.BadRequest),
		Entry("timeout that is not a number", "POST", "/v1/completions", "{}", with("Request-Timeout", "NaN"), refusal.BadRequest),
		Entry("large body", "POST", "/v1/completions", strings.Repeat("x", 1<<20), bearer("good"), refusal.TooLarge),
		Entry("large header", "POST", "/v1/completions", "{}", with("X-Large", strings.Repeat("x", 512<<10)), refusal.TooLarge),
	)

	It("is not ready and refuses requests without a configuration", func() {
		be := newBench(nil)
		resp, _ := be.send("GET", "/readyz", "", http.Header{})
		Expect(resp.StatusCode).To(Equal(503))
		resp, _ = be.send("POST", "/v1/completions", "{}", bearer("good"))
		Expect(resp.StatusCode).To(Equal(503))
	})

	It("turns a panic into a refusal with unknown outcome, and explains it", func() {
		be := newBench(configured())
		resp, data := be.send("POST", "/services/panic/now", "", bearer("good"))
		Expect(resp.StatusCode).To(Equal(500))
		var pr refusal.Problem
		Expect(json.Unmarshal(data, &pr)).To(Succeed())
		Expect(pr.Outcome).To(Equal(refusal.Unknown))
		Expect(pr.Instance).To(Equal("entry-1"))
		ex, found := be.ring.Explain(pr.Request)
		Expect(found).To(BeTrue())
		Expect(ex.Events).To(HaveLen(1))
	})
})
