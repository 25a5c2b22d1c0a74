package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
)

// callEnding makes a call to an endpoint that ends the connection in a way. The body is read
// after a delay.
func callEnding(t *testing.T, en answerfake.Ending, pause, delay time.Duration, fields, body string) (string, error) {
	t.Helper()
	ca := Call{
		Address: en.Serve(t, pause, "Id: 1\r\n"+fields, body), Method: "POST", Target: "/x", Host: "h", ID: "1", Headers: []Header{{"Id", "1"}},
		Body: make([]byte, en.RequestBytes),
	}
	an, err := newPool().Do(t.Context(), ca)
	if err != nil {
		return "", err
	}
	defer an.Close()
	time.Sleep(delay)
	data, err := an.ReadAll(100)
	return string(data), err
}

// A part of an answer without length was taken for the whole: the reset of the connection
// reached the request that was still being written, and the answer just ended. An answer that
// the endpoint ended in order is whole, even if the connection is reset later.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	for _, en := range answerfake.Endings() {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond} {
			for _, delay := range []time.Duration{0, time.Second} {
				t.Run(en.Name+"/"+pause.String()+"/read after "+delay.String(), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					body, err := callEnding(t, en, pause, delay, "", "part")
					if en.Whole {
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(body).To(Equal("part"))
						return
					}
					g.Expect(err).To(HaveOccurred(), "got %q", body)
					g.Expect(KindOf(err)).To(Equal(Lost), "the request may have run")
				})
			}
		}
	}
}

// An answer whose own framing shows that it is whole is whole, however the connection
// ends.
func TestEndOfTheConnectionBehindAWholeAnswer(t *testing.T) {
	for _, en := range answerfake.Endings() {
		for framing, answer := range map[string][2]string{
			"length": {"Content-Length: 5\r\n", "whole"},
			"chunks": {"Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
		} {
			t.Run(en.Name+"/"+framing, func(t *testing.T) {
				g := NewWithT(t)
				body, err := callEnding(t, en, 50*time.Millisecond, 0, answer[0], answer[1])
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("whole"))
			})
		}
	}
}
