package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
)

// answerOf returns an answer with a length.
func answerOf(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// serveCopies answers the first request with one answer and all others with another. On a
// connection that is used again it writes the first answer once more, where the next is due.
func serveCopies(t *testing.T, first, then string) string {
	t.Helper()
	var mu sync.Mutex
	begun := false
	serve := func(conn *net.TCPConn) {
		rd := bufio.NewReader(conn)
		for repeats := false; ; repeats = true {
			re, err := http.ReadRequest(rd)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, re.Body)
			mu.Lock()
			answer := then
			if !begun {
				answer = first
			}
			begun = true
			mu.Unlock()
			if repeats {
				answer = first + answer
			}
			_, _ = io.WriteString(conn, answer)
			if re.Close {
				return
			}
		}
	}
	return "http://" + answerfake.ServeRaw(t, serve)
}

// Guards against an order or a cancellation that counts as refused, or as done, because of a
// copy of the answer to an earlier one.
func TestCopyOfAnAnswerToAnOrder(t *testing.T) {
	send := map[string]func(*Client, string) error{
		"order":         func(cl *Client, url string) error { return cl.Order(url, Order{Action: "load", Subject: "m"}) },
		"cancel unread": func(cl *Client, url string) error { return cl.CancelUnread(url, "g") },
		"cancel":        func(cl *Client, url string) error { return cl.Cancel(url, "g") },
	}
	for name, call := range send {
		for _, ca := range []struct{ first, then int }{{503, 200}, {412, 200}, {404, 200}, {200, 503}, {200, 412}, {200, 404}} {
			t.Run(fmt.Sprintf("%s, %d then %d", name, ca.first, ca.then), func(t *testing.T) {
				g := NewWithT(t)
				url := serveCopies(t, answerOf(ca.first, ""), answerOf(ca.then, ""))
				cl := &Client{}
				g.Expect(call(cl, url) == nil).To(Equal(ca.first == 200))
				g.Expect(call(cl, url) == nil).To(Equal(ca.then == 200))
			})
		}
	}
}

// Guards against a call that gets the answer to another caller's call.
func TestCopyOfAnAnswerToACall(t *testing.T) {
	for _, ca := range []struct{ first, then int }{{200, 200}, {503, 200}, {200, 503}} {
		t.Run(fmt.Sprintf("%d then %d", ca.first, ca.then), func(t *testing.T) {
			g := NewWithT(t)
			url := serveCopies(t, answerOf(ca.first, "of another"), answerOf(ca.then, "own"))
			cl := &Client{}
			for ix, want := range []string{"of another", "own"} {
				an, err := cl.Call(url, Request{Method: http.MethodGet, Path: "/x", Timeout: 2 * time.Second})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(an.Body)).To(Equal(want), "call %d", ix)
			}
		})
	}
}

// Guards against a load report that is the copy of an earlier one, such as that of the process
// before.
func TestCopyOfALoadReport(t *testing.T) {
	g := NewWithT(t)
	url := serveCopies(t, answerOf(200, `{"boot_id":"old"}`), answerOf(200, `{"boot_id":"new"}`))
	cl := &Client{}
	for _, want := range []string{"old", "new"} {
		lo, err := cl.Load(url)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(lo.BootID).To(Equal(want))
	}
}
