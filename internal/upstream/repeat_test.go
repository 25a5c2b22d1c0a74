package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const refusalTemplate = "HTTP/1.1 503 Busy\r\n%sNot-Executed: 1\r\nContent-Length: 2\r\n\r\nno"

// A faulty endpoint writes an earlier refusal once more on a kept connection, where the
// answer to the next request is due. A caller must never conclude from it that a request that
// runs has not run.
func TestRepeatedRefusalIsNotTakenForAnother(t *testing.T) {
	for _, ca := range []struct {
		name, field string
		// count is how often the refusal is repeated, pause the time before that.
		count int
		pause time.Duration
		body  string
	}{
		{"with its ID", "Id: 1\r\n", 1, 0, "ok"},
		{"twice", "Id: 1\r\n", 2, 0, "ok"},
		{"more often than is skipped", "Id: 1\r\n", 3, 0, ""},
		{"some time after the request", "Id: 1\r\n", 1, 30 * time.Millisecond, "ok"},
		{"without an ID", "", 1, 0, ""},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			first := fmt.Sprintf(refusalTemplate, "Id: 1\r\n")
			ep := serveRaw(t, func(conn net.Conn, re *http.Request, _ string) {
				if re.Header.Get("Id") == "1" {
					write(conn, first)
					return
				}
				time.Sleep(ca.pause)
				write(conn, strings.Repeat(fmt.Sprintf(refusalTemplate, ca.field), ca.count)+okResponse("2"))
			})
			po := newPool()
			body, err := exchange(po, ep.call("1"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("no"))
			an, err := po.Do(context.Background(), ep.call("2"))
			g.Expect(ep.connections()).To(Equal(1))
			if ca.body == "" {
				g.Expect(KindOf(err)).To(Equal(Mismatched), "the request may have run")
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			defer an.Close()
			g.Expect(an.Status).To(Equal(200))
		})
	}
}

// The answer to a call without an ID was repeated on a kept connection, and the next such
// call, about another run, took it for its own. Or a request found it there and was lost.
func TestRepeatedAnswerOfCallWithoutID(t *testing.T) {
	repeats := func(status string) func(conn net.Conn, re *http.Request, _ string) {
		answer := "HTTP/1.1 " + status + "\r\nContent-Length: 3\r\n\r\nold"
		begun := false
		return func(conn net.Conn, re *http.Request, _ string) {
			switch {
			case !begun:
				begun = true
				write(conn, answer)
			case re.Header.Get("Id") != "":
				write(conn, answer+okResponse(re.Header.Get("Id")))
			default:
				write(conn, answer+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
			}
		}
	}
	control := func(ep *rawEndpoint, maxIdle time.Duration) Call {
		return Call{Address: ep.address, Method: "POST", Target: "/order", Host: "h", MaxIdle: maxIdle}
	}
	t.Run("a refusal", func(t *testing.T) {
		g := NewWithT(t)
		ep, po := serveRaw(t, repeats("404 Not Found")), newPool()
		_, err := exchange(po, control(ep, time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(po.idle).To(BeEmpty(), "a connection with a refusal is not kept")
	})
	t.Run("before a request", func(t *testing.T) {
		g := NewWithT(t)
		ep, po := serveRaw(t, repeats("200 OK")), newPool()
		_, err := exchange(po, control(ep, time.Minute))
		g.Expect(err).NotTo(HaveOccurred())
		// The answer repeated at the begin of a new connection is none of this test.
		g.Expect(po.take(ep.call("2"))).To(BeNil(), "requests don't use it")
		g.Expect(po.take(control(ep, time.Minute))).NotTo(BeNil())
	})
	t.Run("of a call that must not be mistaken", func(t *testing.T) {
		g := NewWithT(t)
		ep, po := serveRaw(t, repeats("200 OK")), newPool()
		ca := control(ep, time.Minute)
		ca.Once = true
		for range 2 {
			_, err := exchange(po, ca)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(ep.connections()).To(Equal(2))
		g.Expect(po.idle).To(BeEmpty())
	})
}

// An endpoint that stops anywhere in its answer and closes, or resets the connection, has
// not answered. Callers got an empty or short body that was framed as whole.
func TestAnswersThatStopAnywhere(t *testing.T) {
	for name, answer := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Length: 12\r\n\r\nwhole answer",
		"chunks":    "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n\r\nwhole answer",
		"interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\nContent-Length: 12\r\n\r\nwhole answer",
	} {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resets %v", name, resets), func(t *testing.T) {
				for stop := range len(answer) {
					g := NewWithT(t)
					ep := serveRaw(t, func(conn net.Conn, _ *http.Request, _ string) {
						write(conn, answer[:stop])
						if resets {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					})
					an, err := newPool().Do(context.Background(), ep.call("1"))
					if err != nil {
						continue
					}
					body, err := an.ReadAll(100)
					if err == nil && an.Framed {
						g.Expect(string(body)).To(Equal("whole answer"), "stopped after %q", answer[:stop])
					}
					if err == nil {
						g.Expect(strings.Index(answer, "\r\n\r\n")).To(BeNumerically("<", stop), "stopped in the head, after %q", answer[:stop])
					}
					an.Close()
				}
			})
		}
	}
}
