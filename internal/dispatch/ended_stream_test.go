package dispatch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

// framing is a way to mark the end of a body. Each marks an end in order, wherever the
// body ends.
type framing struct {
	name string
	// head has the fields of the head that say how the body is framed.
	head func(body string) string
	// piece encodes a part of the body, and end is sent behind the last one.
	piece func(part string) string
	end   string
}

func plainPiece(part string) string { return part }

var (
	byLength = framing{"length", func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }, plainPiece, ""}
	byChunks = framing{"chunks", func(string) string { return "Transfer-Encoding: chunked\r\n" }, func(part string) string {
		return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}, "0\r\n\r\n"}
	byConnection = framing{"connection", func(string) string { return "Connection: close\r\n" }, plainPiece, ""}
)

// streamOf answers with a body in two parts, the second of which begins at the byte split.
func streamOf(fr framing, fields, body string, split int) script {
	return func(conn net.Conn, re *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\n%s%s\r\n", re.Header.Get("Id"), fields, fr.head(body))
		for _, part := range []string{body[:split], body[split:]} {
			if part != "" {
				_, _ = io.WriteString(conn, fr.piece(part))
			}
		}
		_, _ = io.WriteString(conn, fr.end)
		if fr.name == byConnection.name {
			_ = conn.Close()
		}
	}
}

const eventStream = "Content-Type: text/event-stream\r\n"

// Guards against a stream whose endpoint ended it inside an event, in order by its framing,
// and that was passed on as complete (review/13).
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	first, body := numbered(1, 1), numbered(1, 2)
	for _, fr := range []framing{byLength, byChunks, byConnection} {
		t.Run(fr.name, func(t *testing.T) {
			ha := newHarness(t, nil)
			for end := len(first); end <= len(body); end++ {
				g := NewWithT(t)
				ha.replicas[0].script = streamOf(fr, eventStream, body[:end], len(first)-1)
				got, err := readEvents(ha.send("/stream/"))
				whole := end == len(first) || end == len(body)
				g.Expect(err == nil).To(Equal(whole), "after %q: %v", body[:end], err)
				if !whole {
					g.Expect(got).To(Equal(first), "after %q", body[:end])
				}
			}
		})
	}
}

// Guards against a sound stream that is taken for one that broke off: lines that belong to no
// event may follow the last one, lines may end in other ways, and an answer may be no stream of
// events.
func TestStreamThatEndsBetweenEventsIsComplete(t *testing.T) {
	for name, ca := range map[string]struct{ fields, body string }{
		"nothing":             {eventStream, ""},
		"comment":             {eventStream, numbered(1, 1) + ": the end\n"},
		"blank line":          {eventStream, numbered(1, 1) + "\n"},
		"carriage returns":    {eventStream, strings.ReplaceAll(numbered(1, 2), "\n", "\r")},
		"both":                {eventStream, strings.ReplaceAll(numbered(1, 2), "\n", "\r\n")},
		"named character set": {"Content-Type: Text/Event-Stream; charset=utf-8\r\n", numbered(1, 2)},
		"no type":             {"", numbered(1, 2)},
		"another type":        {"Content-Type: application/json\r\n", `{"text": "no events"}`},
	} {
		for _, fr := range []framing{byLength, byChunks} {
			t.Run(name+" by "+fr.name, func(t *testing.T) {
				g := NewWithT(t)
				ha := newHarness(t, streamOf(fr, ca.fields, ca.body, 0))
				got, err := readEvents(ha.send("/stream/"))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(Equal(ca.body))
			})
		}
	}
}

// Guards against such a stream with other line ends, or without a type.
func TestUnfinishedEventInOtherFormsIsBroken(t *testing.T) {
	for name, ca := range map[string]struct{ fields, body string }{
		"carriage returns":   {eventStream, strings.ReplaceAll(numbered(1, 1), "\n", "\r") + "id: 2\r"},
		"both":               {eventStream, strings.ReplaceAll(numbered(1, 1), "\n", "\r\n") + "id: 2\r\n"},
		"unfinished comment": {eventStream, numbered(1, 1) + ": the e"},
		"after a comment":    {eventStream, numbered(1, 1) + ": the end\nid: 2\n"},
		"no type":            {"", numbered(1, 1) + "id: 2\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, streamOf(byChunks, ca.fields, ca.body, 0))
			_, err := readEvents(ha.send("/stream/"))
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against a run that counts as complete, rather than going on from its copy, as its
// engine ended the stream inside an event: at first, and where it went on.
func TestRunGoesOnAfterAnUnfinishedEvent(t *testing.T) {
	unfinished := numbered(1, 3) + "id: 4\ndata:"
	for name, ca := range map[string]struct {
		first, second script
		whole         bool
	}{
		"at first":      {streamOf(byChunks, eventStream, unfinished, 0), events(4, 6, true), true},
		"by its length": {streamOf(byLength, eventStream, unfinished, 0), events(4, 6, true), true},
		"where it went on": {
			events(1, 2, false), streamOf(byChunks, eventStream, strings.TrimPrefix(unfinished, numbered(1, 2)), 0), false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ha := newHarness(t, ca.first)
			target := ha.addReplica("target", ca.second)
			ha.Runs = &moverOnce{harness: ha, target: roster.Endpoint{ID: "target", Address: target.Addr().String()}}
			got, err := readEvents(ha.send("/stream/"))
			g.Expect(err == nil).To(Equal(ca.whole), "%v", err)
			g.Expect(got).To(HavePrefix(numbered(1, 3)))
			g.Expect(got).To(Or(Equal(numbered(1, 3)), Equal(numbered(1, 6))))
		})
	}
}

// Guards against a connection that is used again behind a stream that its endpoint ended inside
// an event: the endpoint may still be at work on it, and send the rest there.
func TestConnectionOfAnUnfinishedStreamIsNotUsedAgain(t *testing.T) {
	for body, calls := range map[string]int{numbered(1, 2): 2, numbered(1, 2) + "id": 1} {
		g := NewWithT(t)
		var seen []net.Addr
		answer := streamOf(byChunks, eventStream, body, 0)
		ha := newHarness(t, func(conn net.Conn, re *http.Request) {
			seen = append(seen, conn.RemoteAddr())
			answer(conn, re)
		})
		for range 2 {
			_, _ = readEvents(ha.send("/stream/"))
		}
		g.Expect(seen).To(HaveLen(2))
		g.Expect(seen[0] == seen[1]).To(Equal(calls == 2), "after %q", body)
	}
}
