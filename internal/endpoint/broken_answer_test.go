package endpoint

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
)

// formCalls are the calls of a client. Each has the body that its answer needs and returns
// whether the client took the answer for one with status 200.
var formCalls = []struct {
	name, body string
	call       func(cl *Client, url string) (bool, error)
}{
	{"call", "hello", func(cl *Client, url string) (bool, error) {
		re, err := cl.Call(url, Request{Method: http.MethodPost, Path: "/x", Timeout: time.Second, Body: []byte("b")})
		return re.Status == http.StatusOK && string(re.Body) == "hello", err
	}},
	{"load", `{"boot_id": "b"}`, func(cl *Client, url string) (bool, error) {
		lo, err := cl.Load(url)
		return lo.BootID == "b", err
	}},
	{"cache events", `[{"sequence": 7}]`, func(cl *Client, url string) (bool, error) {
		list, err := cl.CacheEvents(url, 0)
		return len(list) == 1, err
	}},
	{"order", "", func(cl *Client, url string) (bool, error) {
		err := cl.Order(url, Order{Action: "load"})
		return err == nil, err
	}},
	{"cancel", "", func(cl *Client, url string) (bool, error) {
		err := cl.Cancel(url, "g")
		return err == nil, err
	}},
	{"cancel unread", "", func(cl *Client, url string) (bool, error) {
		err := cl.CancelUnread(url, "g")
		return err == nil, err
	}},
	{"generation", "id: g/0\ndata: x\n\ndata: [DONE]\n\n", func(cl *Client, url string) (bool, error) {
		st, err := cl.Generate(url, Generation{ID: "g", Path: "/v1/completions"})
		if err != nil {
			return false, err
		}
		defer st.Close()
		for err == nil {
			err = st.Next(&Event{})
		}
		return errors.Is(err, io.EOF) && st.Offset() == 1, err
	}},
}

// serveForm starts an endpoint whose answers have a form, and returns its URL.
func serveForm(t *testing.T, fo answerfake.Form, body string) string {
	t.Helper()
	return "http://" + answerfake.Serve(t, func(*http.Request) string { return fo.Answer("", body) })
}

// A check of the form of answers must not cost a caller a sound answer.
func TestSoundFormsOfAnswers(t *testing.T) {
	for _, ca := range formCalls {
		for _, fo := range answerfake.Sound() {
			t.Run(ca.name+"/"+fo.Name, func(t *testing.T) {
				g := NewWithT(t)
				ok, err := ca.call(&Client{}, serveForm(t, fo, ca.body))
				g.Expect(ok).To(Equal(fo.Status == http.StatusOK), "%v", err)
				var er *Error
				if errors.As(err, &er) {
					g.Expect(er.Kind).NotTo(Equal(Lost), "%v", err)
				}
			})
		}
	}
}

// expectLost makes calls whose answers are broken. No call may take them for answers.
func expectLost(t *testing.T, forms []answerfake.Form) {
	t.Helper()
	for _, ca := range formCalls {
		for _, fo := range forms {
			t.Run(ca.name+"/"+fo.Name, func(t *testing.T) {
				g := NewWithT(t)
				_, err := ca.call(&Client{}, serveForm(t, fo, ca.body))
				var er *Error
				g.Expect(errors.As(err, &er)).To(BeTrue(), "%v", err)
				g.Expect(er.Kind).To(Equal(Lost), "the request may have run")
			})
		}
	}
}

// An answer with status 000 was taken for one with status 200.
func TestBrokenStatusIsNoAnswer(t *testing.T) { expectLost(t, answerfake.BrokenStatuses()) }

// An answer with a blank or a control byte in the name of a field was an answer.
func TestBrokenFieldIsNoAnswer(t *testing.T) { expectLost(t, answerfake.BrokenFields()) }

// The framing of chunks in an answer of another version than HTTP/1.1 was taken for a part of
// the body.
func TestBrokenFramingIsNoAnswer(t *testing.T) { expectLost(t, answerfake.BrokenFramings()) }

// Of two fields that say how a body is encoded, the last one was taken for the only one, so that
// an encoded body was taken for the endpoint's own.
func TestBrokenEncodingIsNoAnswer(t *testing.T) { expectLost(t, answerfake.BrokenEncodings()) }

// A stream that ends before its last event is lost, wherever and however it ends.
func TestStreamThatEndsEarlyIsLost(t *testing.T) {
	const stream, end = "id: g/0\ndata: x\n\nid: g/1\ndata: y\n\ndata: [DONE]\n\n", "\n\n"
	for cut := range len(stream) - len(end) + 1 {
		for name, answer := range map[string]string{
			"before its length":     fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(stream), stream[:cut]),
			"with its length":       fmt.Sprintf("Content-Length: %d\r\n\r\n%s", cut, stream),
			"with the connection":   "\r\n" + stream[:cut],
			"before its last chunk": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", max(cut, 1), stream[:max(cut, 1)]),
			"with its last chunk":   fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", max(cut, 1), stream[:max(cut, 1)]),
		} {
			g := NewWithT(t)
			url := "http://" + answerfake.Serve(t, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" + answer })
			st, err := (&Client{}).Generate(url, Generation{ID: "g", Path: "/v1/completions"})
			g.Expect(err).NotTo(HaveOccurred())
			for err == nil {
				err = st.Next(&Event{})
			}
			st.Close()
			var er *Error
			g.Expect(errors.As(err, &er)).To(BeTrue(), "%s at %d: %v", name, cut, err)
			g.Expect(er.Kind).To(Equal(Lost), "%s at %d", name, cut)
		}
	}
}
