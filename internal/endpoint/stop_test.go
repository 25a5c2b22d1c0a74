package endpoint

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
)

// An endpoint that stops anywhere in its answer, also in its head, and closes has not
// answered. Callers got an empty or short body that was framed as whole.
func TestCallsWhoseAnswerStopsAnywhere(t *testing.T) {
	const length = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nwhole answer"
	const chunks = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n"
	for _, answer := range []string{length, chunks} {
		for stop := range len(answer) {
			g := NewWithT(t)
			url := "http://" + answerfake.Serve(t, func(*http.Request) string { return answer[:stop] })
			cl := &Client{}
			re, err := cl.Call(url, Request{Method: http.MethodGet, Path: "/x", Timeout: 2 * time.Second})
			if err == nil {
				g.Expect(string(re.Body)).To(Equal("whole answer"), "stopped after %q", answer[:stop])
			}
		}
	}
}

// The same for a stream: only its last event ends it.
func TestStreamsWhoseAnswerStopsAnywhere(t *testing.T) {
	g := NewWithT(t)
	body := "id: g/0\ndata: {\"text\":\"a\"}\n\nid: g/1\ndata: {\"text\":\"b\"}\n\n"
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body)+100, body)
	for stop := range len(answer) {
		url := "http://" + answerfake.Serve(t, func(*http.Request) string { return answer[:stop] })
		st, err := (&Client{IdleTimeout: time.Second}).Generate(url, Generation{ID: "g", Path: "/v1/completions"})
		if err != nil {
			continue
		}
		for err == nil {
			err = st.Next(&Event{})
		}
		g.Expect(IsKind(err, Lost)).To(BeTrue(), "stopped after %q: %v", answer[:stop], err)
		st.Close()
	}
}
