package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
	"filbertstall.example/filbertstall/pkg/client"
)

// Guards against a stream that ends inside an event, in order by its framing, and counts as
// complete: it is resumed behind the last event, and each event comes once.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	list := []string{"id: g/0\ndata: a\n\n", "id: g/1\ndata: b\n\n", "data: [DONE]\n\n"}
	whole := strings.Join(list, "")
	for cut := range len(whole) - len("\n\n") + 1 {
		for name, frame := range map[string]func(body string) string{
			"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
			"chunks": func(body string) string {
				if body == "" {
					return "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
				}
				return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			},
			"connection": func(body string) string { return "\r\n" + body },
		} {
			t.Run(fmt.Sprintf("%s at %d", name, cut), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				calls := 0
				address := answerfake.Serve(t, func(re *http.Request) string {
					calls++
					if calls == 1 {
						return "HTTP/1.1 200 OK\r\n" + frame(whole[:cut])
					}
					from := map[string]int{"": 0, "g/0": 1, "g/1": 2}[re.Header.Get("Last-Event-ID")]
					return "HTTP/1.1 200 OK\r\n" + frame(strings.Join(list[from:], ""))
				})
				cl := &client.Client{Entries: []string{"http://" + address}, MaxAttempts: 3}
				st := cl.Generate(context.Background(), client.Generation{Path: "/v1/completions"})
				var got string
				ev, err := st.Next()
				for ; err == nil; ev, err = st.Next() {
					got += string(ev.Data)
				}
				st.Close()
				g.Expect(errors.Is(err, io.EOF)).To(BeTrue(), "%v", err)
				g.Expect(got).To(Equal("ab"))
				g.Expect(calls).To(Equal(2))
			})
		}
	}
}
