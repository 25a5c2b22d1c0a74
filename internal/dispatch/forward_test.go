package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/upstream"
)

// fixedPaths says that the links to all endpoints are lost, or that none are.
type fixedPaths struct{ lost bool }

func (fp fixedPaths) Lost(string) bool    { return fp.lost }
func (fixedPaths) Failed(string, string)  {}
func (fixedPaths) Reached(string, string) {}

func (fixedPaths) Unreachable(string) map[string]bool { return nil }

// otherInstances forwards requests to simulated instances, one after the other.
type otherInstances struct {
	pool *upstream.Pool
	list []*replica
}

func (oi *otherInstances) Forward(ctx context.Context, re *Request, _ string, tried map[string]bool, remaining time.Duration) (*upstream.Answer, string, error) {
	if len(tried) >= len(oi.list) {
		return nil, "", fmt.Errorf("no further instance")
	}
	next := oi.list[len(tried)]
	ca := testCodec{}.Call(re, Attempt{Remaining: remaining})
	ca.Address = next.Addr().String()
	an, err := oi.pool.Do(ctx, ca)
	return an, next.id, err
}

// refusesWith is the script of an instance that refuses requests.
func refusesWith(er *refusal.Error) func(net.Conn, *http.Request) {
	ru := er.Rule()
	return func(conn net.Conn, re *http.Request) {
		fields := ""
		if ru.RetryAfter > 0 {
			fields = "Retry-After: " + strconv.FormatFloat(ru.RetryAfter.Seconds(), 'f', 3, 64) + "\r\n"
		}
		reply(ru.Status, fields, string(er.ProblemOf("", "", ru.Status)))(conn, re)
	}
}

// withInstances gives a harness other instances with the given scripts.
func (ha *harness) withInstances(lost bool, scripts ...func(net.Conn, *http.Request)) []*replica {
	endpoints := len(ha.replicas)
	for ix, script := range scripts {
		ha.addReplica("i"+strconv.Itoa(ix), script)
	}
	list := ha.replicas[endpoints:]
	ha.Paths = fixedPaths{lost: lost}
	ha.Forwarder = &otherInstances{pool: &upstream.Pool{IDHeader: "Id", Clock: ha.Clock}, list: list}
	return list
}

// Requests whose endpoints can't be reached are served by another instance. Their
// outcome stays true: a request that may have run there is not called not run, nor sent
// to a further instance.
func TestForwardedRequests(t *testing.T) {
	noCapacity := refusesWith(refusal.New(refusal.NoCapacity, "x"))
	limited := refusesWith(refusal.New(refusal.RateLimited, "x").WithRetryAfter(700 * time.Millisecond))
	lost := refusesWith(refusal.New(refusal.EndpointLost, "x"))
	for _, ca := range []struct {
		name    string
		path    string
		scripts []func(net.Conn, *http.Request)
		// reason is empty if the request is answered with status.
		reason  refusal.Reason
		outcome refusal.Outcome
		status  int
		counts  []int
	}{
		{"served", "/post/", []func(net.Conn, *http.Request){succeeds}, "", "", 200, []int{1}},
		{"an error of the endpoint is passed on", "/post/", []func(net.Conn, *http.Request){fails, succeeds}, "", "", 500, []int{1, 0}},
		{"the first one refuses", "/post/", []func(net.Conn, *http.Request){noCapacity, succeeds}, "", "", 200, []int{1, 1}},
		{"both refuse", "/post/", []func(net.Conn, *http.Request){noCapacity, noCapacity, succeeds}, refusal.NoCapacity, refusal.NotRun, 0, []int{1, 1, 0}},
		{"the endpoints are limited", "/post/", []func(net.Conn, *http.Request){limited, succeeds}, refusal.RateLimited, refusal.NotRun, 0, []int{1, 0}},
		{"the answer breaks off", "/post/", []func(net.Conn, *http.Request){breaks, succeeds}, refusal.EndpointLost, refusal.Unknown, 0, []int{1, 0}},
		{"the other instance lost it", "/post/", []func(net.Conn, *http.Request){lost, succeeds}, refusal.EndpointLost, refusal.Unknown, 0, []int{1, 0}},
		{"an answer that is none", "/post/", []func(net.Conn, *http.Request){unsigned, succeeds}, refusal.EndpointLost, refusal.Unknown, 0, []int{1, 0}},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t)
			list := ha.withInstances(true, ca.scripts...)
			rp := ha.send(ca.path)
			g.Expect(reasonOf(rp)).To(Equal(ca.reason))
			if ca.reason == "" {
				g.Expect(rp.Status).To(Equal(ca.status))
			} else {
				g.Expect(rp.Refusal.Rule().Outcome).To(Equal(ca.outcome))
			}
			for ix, count := range ca.counts {
				g.Expect(list[ix].requestCount()).To(Equal(count), "instance %d", ix)
			}
		})
	}
}

// A stream that another instance serves comes event by event, and one that breaks off
// does not look complete. A caller who leaves cancels it there.
func TestForwardedStreams(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t)
	ha.withInstances(true, events(1, 6, true))
	got, err := readEvents(ha.send("/stream/"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(numbered(1, 6)))

	ha = newHarness(t)
	ha.withInstances(true, events(1, 3, false))
	rp := ha.send("/stream/")
	_, err = io.ReadAll(rp.Events)
	g.Expect(err).To(HaveOccurred())

	ha = newHarness(t)
	closed := make(chan struct{})
	ha.withInstances(true, func(conn net.Conn, re *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n", re.Header.Get("Id"))
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	rp = ha.send("/stream/")
	g.Expect(rp.Events.Close()).To(Succeed())
	g.Eventually(closed, "2s").Should(BeClosed())
}

// Guards against a stream that counts as broken, at the instance that the caller is connected to,
// because the caller left while another instance served it.
func TestForwardedStreamWhoseCallerLeft(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t)
	ha.withInstances(true, threeEvents)
	var log bytes.Buffer
	ha.Log = zerolog.New(&log)
	ctx, cancel := context.WithCancel(t.Context())
	rp := ha.Serve(ctx, ha.request("/stream/"))
	cancel()
	_, err := readEvents(rp)
	g.Expect(err).To(HaveOccurred())
	g.Expect(log.String()).To(ContainSubstring(`"forwarded":true,"event":"stream_given_up"`))
	g.Expect(log.String()).NotTo(ContainSubstring("stream_broken"))
}

// Guards against a stream that another instance, of an earlier version, ended inside an event and
// that this one passes on as complete.
func TestForwardedStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	first, body := numbered(1, 1), numbered(1, 2)
	for _, fr := range []framing{byLength, byChunks} {
		for end := len(first); end <= len(body); end++ {
			g := NewWithT(t)
			ha := newHarness(t)
			ha.withInstances(true, streamOf(fr, eventStream, body[:end], len(first)-1))
			got, err := readEvents(ha.send("/stream/"))
			whole := end == len(first) || end == len(body)
			g.Expect(err == nil).To(Equal(whole), "%s, after %q: %v", fr.name, body[:end], err)
			g.Expect(got).To(Equal(body[:end]))
		}
	}
}

// Guards against a sound forwarded answer that is taken for one that broke off.
func TestForwardedStreamThatEndsBetweenEventsIsComplete(t *testing.T) {
	for _, ca := range []struct{ fields, body string }{
		{eventStream, ""},
		{eventStream, numbered(1, 1) + ": the end\n"},
		{eventStream, strings.ReplaceAll(numbered(1, 2), "\n", "\r\n")},
		{"Content-Type: application/json\r\n", `{"text": "no events"}`},
	} {
		g := NewWithT(t)
		ha := newHarness(t)
		ha.withInstances(true, streamOf(byChunks, ca.fields, ca.body, len(ca.body)/2))
		got, err := readEvents(ha.send("/stream/"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(ca.body))
	}
}

// A forwarded request is not forwarded again, and one that an endpoint may have run is
// not forwarded at all.
func TestRequestsThatAreNotForwarded(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t)
	list := ha.withInstances(true, succeeds)
	re := ha.request("/post/")
	re.Forwarded = true
	g.Expect(reasonOf(ha.Serve(t.Context(), re))).To(Equal(refusal.NoCapacity))
	g.Expect(list[0].requestCount()).To(BeZero())

	ha = newHarness(t, breaks)
	list = ha.withInstances(false, succeeds)
	rp := ha.send("/post/")
	g.Expect(reasonOf(rp)).To(Equal(refusal.EndpointLost))
	g.Expect(list[0].requestCount()).To(BeZero())
}

// The first requests after the links are lost are forwarded, too, before it is known.
func TestRequestsAreForwardedAfterFailedConnections(t *testing.T) {
	g := NewWithT(t)
	ha := newHarness(t, succeeds, succeeds)
	list := ha.withInstances(false, succeeds)
	for _, rp := range ha.replicas[:2] {
		_ = rp.Close()
	}
	rp := ha.send("/post/")
	g.Expect(reasonOf(rp)).To(BeEmpty())
	g.Expect(rp.Status).To(Equal(200))
	g.Expect(list[0].requestCount()).To(Equal(1))
}
