package client_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
	"filbertstall.example/filbertstall/pkg/client"
)

// askForm makes a call and a generation, once, that get answers of a form.
func askForm(t *testing.T, fo answerfake.Form) (an client.Answer, callErr, streamErr error) {
	t.Helper()
	cl := func(body string) *client.Client {
		address := answerfake.Serve(t, func(*http.Request) string { return fo.Answer("", body) })
		return &client.Client{Entries: []string{"http://" + address}, MaxAttempts: 1}
	}
	an, callErr = cl("hello").Call(context.Background(), client.Call{Method: http.MethodPost, Service: "s", Path: "/x", Body: []byte("b")})
	st := cl("id: g/0\ndata: x\n\ndata: [DONE]\n\n").Generate(context.Background(), client.Generation{Path: "/v1/completions"})
	defer st.Close()
	_, streamErr = st.Next()
	return an, callErr, streamErr
}

// A check of the form of answers must not cost a caller a sound answer.
func TestSoundFormsOfAnswers(t *testing.T) {
	for _, fo := range answerfake.Sound() {
		if fo.Name == "empty line before it" {
			// The HTTP library accepts none.
			continue
		}
		t.Run(fo.Name, func(t *testing.T) {
			g := NewWithT(t)
			an, callErr, streamErr := askForm(t, fo)
			g.Expect(callErr).NotTo(HaveOccurred())
			g.Expect(an.Status).To(Equal(fo.Status))
			g.Expect(string(an.Body) == "hello").To(Equal(!fo.NoBody))
			g.Expect(streamErr == nil).To(Equal(fo.Status == http.StatusOK), "%v", streamErr)
		})
	}
}

// expectBroken gets broken answers: nothing is known of the request.
func expectBroken(t *testing.T, forms []answerfake.Form) {
	t.Helper()
	for _, fo := range forms {
		t.Run(fo.Name, func(t *testing.T) {
			g := NewWithT(t)
			_, callErr, streamErr := askForm(t, fo)
			for _, err := range []error{callErr, streamErr} {
				var er *client.Error
				g.Expect(errors.As(err, &er)).To(BeTrue(), "%v", err)
				g.Expect(er.Kind).To(Equal(client.Broken), "%v", err)
				g.Expect(er.Outcome).To(Equal(client.Unknown))
			}
		})
	}
}

// An answer with status 000 was returned as an answer.
func TestBrokenStatusIsNoAnswer(t *testing.T) {
	var forms []answerfake.Form
	for _, fo := range answerfake.BrokenStatuses() {
		// A client that its user sets may speak HTTP/2.
		if fo.Name != "HTTP/2.0 200 OK" {
			forms = append(forms, fo)
		}
	}
	expectBroken(t, forms)
}
