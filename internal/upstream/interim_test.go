package upstream

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an answer that is lost because of the interim answers before it: they counted
// as answers to earlier requests, of which few are skipped. They don't go on without end.
func TestInterimAnswersBeforeAnAnswer(t *testing.T) {
	const interim, most = "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n", 8
	for _, count := range []int{0, 1, 2, 3, most} {
		g := NewWithT(t)
		ep := serveRaw(t, func(conn net.Conn, _ *http.Request, _ string) {
			write(conn, strings.Repeat(interim, count)+okResponse("1"))
		})
		an, err := newPool().Do(t.Context(), ep.call("1"))
		g.Expect(err).NotTo(HaveOccurred(), "%d interim answers", count)
		body, err := an.ReadAll(10)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("ok"))
	}
	g := NewWithT(t)
	ep := serveRaw(t, func(conn net.Conn, _ *http.Request, _ string) {
		for range 10_000 {
			write(conn, interim)
		}
	})
	_, err := newPool().Do(t.Context(), ep.call("1"))
	g.Expect(KindOf(err)).To(Equal(Lost))
}
