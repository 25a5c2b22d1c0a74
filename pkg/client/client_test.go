package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/pkg/client"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Client")
}

// scriptedServer starts a server that handles the n-th request with the n-th
// handler, and all further requests with the last. sent counts the requests.
func scriptedServer(handlers ...http.HandlerFunc) (url string, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		handlers[min(int(sent.Add(1)), len(handlers))-1](wr, req)
	}))
	DeferCleanup(server.Close)
	return server.URL, sent
}

func problem(status int, reason, outcome string) http.HandlerFunc {
	return func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "application/problem+json")
		if status == http.StatusTooManyRequests {
			wr.Header().Set("Retry-After", "7")
		}
		wr.WriteHeader(status)
		_, _ = fmt.Fprintf(wr, `{"status":%d,"reason":%q,"outcome":%q}`, status, reason, outcome)
	}
}

func answer(text string) http.HandlerFunc {
	return func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, text) }
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var (
	unknown = problem(http.StatusBadGateway, "endpoint_lost", "unknown")
	failed  = problem(http.StatusBadGateway, "endpoint_failed", "failed")
	notRun  = problem(http.StatusServiceUnavailable, "no_capacity", "not_run")
)

var _ = DescribeTable("A call is retried only if that is safe",
	func(ca client.Call, first http.HandlerFunc, sends int, outcome client.Outcome) {
		url, sent := scriptedServer(first, answer("ok"))
		cl := &client.Client{Entries: []string{url}}
		ca.Method, ca.Service, ca.Path = http.MethodPost, "rental-desk", "/loans"
		an, err := cl.Call(context.Background(), ca)
		Expect(sent.Load()).To(BeEquivalentTo(sends))
		if outcome == "" {
			Expect(err).NotTo(HaveOccurred())
			Expect(string(an.Body)).To(Equal("ok"))
			return
		}
		var er *client.Error
		Expect(errors.As(err, &er)).To(BeTrue())
		Expect(er.Outcome).To(Equal(outcome))
	},
	Entry("not run, no key", client.Call{}, notRun, 2, client.Outcome("")),
	Entry("unknown, no key", client.Call{}, unknown, 1, client.Unknown),
	Entry("connection lost, no key", client.Call{}, http.HandlerFunc(abortConnection), 1, client.Unknown),
	Entry("unknown, with a key", client.Call{Key: "loan-1"}, unknown, 2, client.Outcome("")),
	Entry("connection lost, with a key", client.Call{Key: "loan-1"}, http.HandlerFunc(abortConnection), 2, client.Outcome("")),
	Entry("unknown, idempotent", client.Call{Idempotent: true}, unknown, 2, client.Outcome("")),
	Entry("failed, with a key", client.Call{Key: "loan-1"}, failed, 1, client.Failed),
	Entry("invalid request", client.Call{Key: "loan-1"}, problem(http.StatusUnprocessableEntity, "key_reused", "not_run"), 1, client.NotRun),
)

func event(id string, offset int) string {
	return fmt.Sprintf("id: %s/%d\ndata: %d\n\n", id, offset, offset)
}

const doneEvent = "data: [DONE]\n\n"

var _ = DescribeTable("A stream resumes after its last event",
	func(first string) {
		var last string
		url, sent := scriptedServer(answer(first), func(wr http.ResponseWriter, req *http.Request) {
			last = req.Header.Get("Last-Event-ID")
			_, _ = io.WriteString(wr, event("g", 2)+doneEvent)
		})
		cl := &client.Client{Entries: []string{url, url}}
		st := cl.Generate(context.Background(), client.Generation{Path: "/v1/completions", Body: []byte(`{"stream":true}`)})
		for offset := range 3 {
			ev, err := st.Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(ev.Offset).To(BeEquivalentTo(offset))
		}
		_, err := st.Next()
		Expect(err).To(MatchError(io.EOF))
		Expect(last).To(Equal("g/1"))
		Expect(sent.Load()).To(BeEquivalentTo(2))
	},
	Entry("after a lost connection", event("g", 0)+event("g", 1)),
	Entry("after a hand-over", event("g", 0)+event("g", 1)+"event: resume\ndata: {}\n\n"),
	Entry("after a problem", event("g", 0)+event("g", 1)+"event: error\ndata: {\"status\":502,\"outcome\":\"unknown\"}\n\n"),
	Entry("after a duplicate token", event("g", 0)+event("g", 1)+event("g", 1)+doneEvent),
	Entry("after a gap", event("g", 0)+event("g", 1)+event("g", 3)+doneEvent),
	Entry("after a token of another generation", event("g", 0)+event("g", 1)+event("h", 2)+doneEvent),
)

var _ = Describe("A refused stream", func() {
	It("is retried after the time that the server states", func() {
		url, sent := scriptedServer(problem(http.StatusTooManyRequests, "queue_full", "not_run"), answer(event("g", 0)+doneEvent))
		clock := clockwork.NewFakeClock()
		cl := &client.Client{Entries: []string{url}, Clock: clock}
		st := cl.Generate(context.Background(), client.Generation{Path: "/v1/completions", Body: []byte(`{}`)})
		result := make(chan error, 1)
		go func() {
			_, err := st.Next()
			result <- err
		}()
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		Eventually(sent.Load).Should(BeEquivalentTo(1))
		clock.Advance(6 * time.Second)
		Consistently(sent.Load, "50ms").Should(BeEquivalentTo(1))
		Eventually(func() int64 {
			clock.Advance(time.Second)
			return sent.Load()
		}).Should(BeEquivalentTo(2))
		Eventually(result, "20s").Should(Receive(BeNil()))
	})

	It("is not retried if the request is invalid", func() {
		url, sent := scriptedServer(problem(http.StatusBadRequest, "bad_request", "not_run"))
		cl := &client.Client{Entries: []string{url}}
		_, err := cl.Generate(context.Background(), client.Generation{Path: "/v1/completions"}).Next()
		var er *client.Error
		Expect(errors.As(err, &er)).To(BeTrue())
		Expect(er.Outcome).To(Equal(client.NotRun))
		Expect(sent.Load()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("An answer to a call", func() {
	call := func(size int) (answer client.Answer, sent int64, err error) {
		var count atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			count.Add(1)
			_, _ = w.Write(make([]byte, size))
		}))
		defer server.Close()
		cl := &client.Client{Entries: []string{server.URL}}
		answer, err = cl.Call(context.Background(), client.Call{Service: "s", Method: http.MethodGet, Path: "/x", Idempotent: true})
		return answer, count.Load(), err
	}
	const limit = 16 << 20

	It("is returned whole up to the limit", func() {
		answer, _, err := call(limit)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body).To(HaveLen(limit))
	})

	It("is an error beyond it, never a part of the answer, and is not asked for again", func() {
		_, sent, err := call(limit + 1)
		var er *client.Error
		Expect(errors.As(err, &er)).To(BeTrue())
		Expect(er.Kind).To(Equal(client.TooLarge))
		Expect(er.Outcome).To(Equal(client.Unknown))
		Expect(sent).To(BeEquivalentTo(1))
	})
})
