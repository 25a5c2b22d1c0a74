package call_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/call"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/record"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

func TestCall(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "call")
}

// received is a request as the endpoint received it.
type received struct {
	method, uri, body string
	header            http.Header
}

// writeHopByHop writes an answer whose Connection field lists another field. The server of the
// standard library would replace the field, as the connection is closed.
func writeHopByHop(wr http.ResponseWriter) {
	conn, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nLocation: /loans/7\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nContent-Length: 0\r\n\r\n")
	_ = conn.Close()
}

var _ = Describe("forwarding a call", func() {
	var got []received
	var in *instance
	var connections atomic.Int32

	BeforeEach(func() {
		got = nil
		connections.Store(0)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
			body, _ := io.ReadAll(re.Body)
			got = append(got, received{method: re.Method, uri: re.RequestURI, body: string(body), header: re.Header})
			wr.Header().Set("Location", "/loans/7")
			wr.Header().Set("Connection", "X-Hop")
			wr.Header().Set("X-Hop", "1")
			wr.Header().Set("Keep-Alive", "timeout=5")
			wr.Header().Add("Set-Cookie", "a=1")
			wr.Header().Add("Set-Cookie", "b=2")
			wr.Header()["Content-Type"] = nil
			if re.URL.Path == "/catalogue/raw" {
				writeHopByHop(wr)
				return
			}
			if re.URL.Path == "/fails" {
				wr.WriteHeader(http.StatusBadGateway)
				return
			}
			wr.WriteHeader(http.StatusCreated)
			_, _ = io.WriteString(wr, "booked "+re.Method)
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		DeferCleanup(server.Close)
		cf, err := configuration().WithEndpoint(kind.Endpoint{
			Name: "desk-0", Service: "rental-desk", Zone: "martin-c", URL: server.URL,
			State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 4, ColdSequences: 4},
		})
		Expect(err).NotTo(HaveOccurred())
		cf, err = cf.WithoutEndpoint("desk-1")
		Expect(err).NotTo(HaveOccurred())
		in = &instance{}
		in.holder.Store(cf)
		clock := clockwork.NewRealClock()
		in.handler = &call.Handler{
			Granter: &admission.LocalGranter{Configuration: &in.holder}, Sender: &endpoint.Client{}, Clock: clock, Log: zerolog.Nop(),
			Recorder: &record.Recorder{Store: platformfake.New(), Instance: "entry", Clock: clock, Log: zerolog.Nop()},
		}
	})

	send := func(method, path string, prepare func(*fasthttp.Request)) (*fasthttp.Response, error) {
		var req fasthttp.Request
		req.Header.SetMethod(method)
		req.SetRequestURI("http://entry/services/rental-desk" + path)
		if prepare != nil {
			prepare(&req)
		}
		var ctx fasthttp.RequestCtx
		ctx.Init(&req, nil, nil)
		err := in.serve(&ctx, 10*time.Second)
		resp := &fasthttp.Response{}
		ctx.Response.CopyTo(resp)
		return resp, err
	}

	It("forwards end-to-end headers both ways and drops hop-by-hop headers", func() {
		resp, err := send(http.MethodPost, "/loans?x=1&y=%2F", func(req *fasthttp.Request) {
			req.SetBodyString("{}")
			for name, value := range map[string]string{
				"Content-Type": "application/json", "Accept-Language": "sk", "Cookie": "c=1", "Authorization": "Bearer secret",
				"Request-Timeout": "5", "Connection": "X-Mine", "X-Mine": "1", "Te": "trailers", "Idempotency-Key": "k",
			} {
				req.Header.Set(name, value)
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(HaveLen(1))
		Expect(got[0].uri).To(Equal("/loans?x=1&y=%2F"))
		Expect(got[0].body).To(Equal("{}"))
		for name, value := range map[string]string{"Content-Type": "application/json", "Accept-Language": "sk", "Cookie": "c=1", "Idempotency-Key": "k"} {
			Expect(got[0].header.Get(name)).To(Equal(value), name)
		}
		for _, name := range []string{"Authorization", "Request-Timeout", "X-Mine", "Te"} {
			Expect(got[0].header).NotTo(HaveKey(name))
		}
		Expect(resp.StatusCode()).To(Equal(http.StatusCreated))
		Expect(string(resp.Header.Peek("Location"))).To(Equal("/loans/7"))
		Expect(strings.Count(resp.Header.String(), "Set-Cookie: ")).To(Equal(2))
		Expect(resp.Header.Peek("Keep-Alive")).To(BeEmpty())
		Expect(resp.Header.ContentType()).To(BeEmpty())
	})

	It("drops the headers that a response's Connection header lists", func() {
		resp, err := send(http.MethodGet, "/catalogue/raw", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(resp.Header.Peek("Location"))).To(Equal("/loans/7"))
		Expect(resp.Header.Peek("X-Hop")).To(BeEmpty())
	})

	It("gives a resend the same response with its headers", func() {
		key := func(req *fasthttp.Request) { req.Header.Set("Idempotency-Key", "k") }
		first, err := send(http.MethodPost, "/loans", key)
		Expect(err).NotTo(HaveOccurred())
		again, err := send(http.MethodPost, "/loans", key)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.String()).To(Equal(first.String()))
		Expect(got).To(HaveLen(1))
	})

	It("records an endpoint's 5xx response as the outcome of the call", func() {
		key := func(req *fasthttp.Request) { req.Header.Set("Idempotency-Key", "k") }
		for range 2 {
			resp, err := send(http.MethodPost, "/fails", key)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode()).To(Equal(http.StatusBadGateway))
		}
		Expect(got).To(HaveLen(1))
	})

	// The peer of a kept connection may have failed without closing it. A call on
	// it would be lost with an unknown outcome, although no endpoint received it. Or the
	// peer writes an earlier answer once more, and the call would get that.
	It("uses no connection twice", func() {
		for range 3 {
			_, err := send(http.MethodPost, "/loans", nil)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(connections.Load()).To(Equal(int32(3)))
		for range 3 {
			_, err := send(http.MethodGet, "/catalogue/7", nil)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(connections.Load()).To(Equal(int32(6)))
	})

	DescribeTable("forwards each method without a body",
		func(method string) {
			_, err := send(method, "/loans/a%2Fb", nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(HaveLen(1))
			Expect(got[0].method).To(Equal(method))
			Expect(got[0].uri).To(Equal("/loans/a%2Fb"))
			Expect(got[0].header).NotTo(HaveKey("Content-Type"))
		},
		Entry(nil, "GET"), Entry(nil, "HEAD"), Entry(nil, "PUT"), Entry(nil, "DELETE"), Entry(nil, "PATCH"),
	)

	DescribeTable("refuses an ambiguous path or key",
		func(path string, keys ...string) {
			_, err := send(http.MethodPost, path, func(req *fasthttp.Request) {
				for _, key := range keys {
					req.Header.Add("Idempotency-Key", key)
				}
			})
			Expect(refusal.From(err).Reason).To(Equal(refusal.BadRequest))
			Expect(got).To(BeEmpty())
		},
		Entry("dot segments", "/catalogue/../loans"),
		Entry("escaped dot segments", "/catalogue/%2e%2e/loans"),
		Entry("empty segments", "/catalogue//7"),
		Entry("two keys", "/loans", "k", "l"),
		Entry("an empty key", "/loans", ""),
		Entry("a key over 255 bytes", "/loans", strings.Repeat("k", 256)),
	)
})
