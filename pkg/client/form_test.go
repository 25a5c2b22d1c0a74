package client_test

import (
	"context"
	"crypto/tls"
	"encoding/pem"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/answerfake"
	"filbertstall.example/filbertstall/pkg/client"
)

// askForm makes a call and a generation, once, that get answers of a form.
func askForm(t *testing.T, fo answerfake.Form) (an client.Answer, callErr, streamErr error) {
	t.Helper()
	return askFormOver(t, fo, nil)
}

// askFormOver is askForm with an HTTP client of the user; nil is the package's own.
func askFormOver(t *testing.T, fo answerfake.Form, own *http.Client) (an client.Answer, callErr, streamErr error) {
	t.Helper()
	cl := func(body string) *client.Client {
		address := answerfake.Serve(t, func(*http.Request) string { return fo.Answer("", body) })
		return &client.Client{Entries: []string{"http://" + address}, MaxAttempts: 1, HTTP: own}
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
func TestBrokenStatusIsNoAnswer(t *testing.T) { expectBroken(t, answerfake.BrokenStatuses()) }

// Guards against an answer with status 000 that was returned as an answer where the user's own HTTP
// client accepts it.
func TestBrokenStatusIsNoAnswerOverAnyClient(t *testing.T) {
	for _, fo := range answerfake.BrokenStatuses() {
		t.Run(fo.Name, func(t *testing.T) {
			g := NewWithT(t)
			own := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			an, callErr, streamErr := askFormOver(t, fo, own)
			if callErr == nil {
				g.Expect(an.Status).To(And(BeNumerically(">=", 200), BeNumerically("<=", 599)))
			}
			var er *client.Error
			if errors.As(streamErr, &er) && er.Kind == client.Refused {
				g.Expect(er.Problem.Status).To(And(BeNumerically(">=", 200), BeNumerically("<=", 599)))
			}
		})
	}
}

// An answer with a blank or a control byte in the name of a field was an answer.
func TestBrokenFieldIsNoAnswer(t *testing.T) { expectBroken(t, answerfake.BrokenFields()) }

// Answers over TLS are checked, too, and one without length ends only where TLS says so.
func TestFormsOverTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		conn, _, err := http.NewResponseController(wr).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 "+req.URL.Query().Get("status")+" OK\r\n"+req.URL.Query().Get("length")+"\r\n\r\nhello")
		if tc, isTLS := conn.(*tls.Conn); isTLS && req.URL.Query().Has("cut") {
			_ = tc.NetConn().Close()
		}
	}))
	server.StartTLS()
	defer server.Close()
	file := filepath.Join(t.TempDir(), "ca.pem")
	pem := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	g := NewWithT(t)
	g.Expect(os.WriteFile(file, pem, 0o600)).To(Succeed())
	t.Setenv("SSL_CERT_FILE", file)
	const length = "&length=Content-Length:+5"
	for query, whole := range map[string]bool{
		"status=200" + length: true, "status=000" + length: false, "status=200&cut" + length: true, "status=200&length=X:+1": true, "status=200&length=X:+1&cut": false,
	} {
		cl := &client.Client{Entries: []string{server.URL}, MaxAttempts: 1}
		an, err := cl.Call(context.Background(), client.Call{Method: http.MethodGet, Service: "s", Path: "/x?" + query})
		g.Expect(err == nil).To(Equal(whole), "%s: %v", query, err)
		g.Expect(string(an.Body) == "hello").To(Equal(whole))
	}
}

// The framing of chunks in an answer of another version than HTTP/1.1 was taken for a part of
// the body.
func TestBrokenFramingIsNoAnswer(t *testing.T) { expectBroken(t, answerfake.BrokenFramings()) }
