package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// serveOnce answers each request with a text and closes the connection.
func serveOnce(t *testing.T, text func() string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if re, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, re.Body)
				_, _ = io.WriteString(conn, text())
			}
			_ = conn.Close()
		}
	}()
	return "http://" + ln.Addr().String()
}

// An endpoint that stops anywhere in its answer, also in its head, and closes has not
// answered. Callers got an empty or short body that was framed as whole.
func TestCallsWhoseAnswerStopsAnywhere(t *testing.T) {
	const length = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nwhole answer"
	const chunks = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n"
	for _, answer := range []string{length, chunks} {
		for stop := range len(answer) {
			g := NewWithT(t)
			url := serveOnce(t, func() string { return answer[:stop] })
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
		url := serveOnce(t, func() string { return answer[:stop] })
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
