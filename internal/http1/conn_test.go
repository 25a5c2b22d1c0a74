package http1

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/answerfake"
)

// broken are all forms that the protocol does not allow.
func broken() []answerfake.Form {
	return slices.Concat(answerfake.BrokenStatuses(), answerfake.BrokenFields(), answerfake.BrokenFramings(), answerfake.BrokenEncodings())
}

// The ways in which an endpoint speaks.
const (
	plain    = "plain"
	secured  = "tls"
	cutShort = "tls without its closing alert"
)

// ask makes a call.
func ask(t *testing.T, fo answerfake.Form, way string) (*fasthttp.Response, error) {
	t.Helper()
	backend := httptest.NewUnstartedServer(nil)
	backend.StartTLS()
	defer backend.Close()
	address := answerfake.ServeRaw(t, func(tc *net.TCPConn) {
		var conn net.Conn = tc
		if way != plain {
			conn = tls.Server(tc, &tls.Config{Certificates: backend.TLS.Certificates, MinVersion: tls.VersionTLS12})
		}
		if way == secured {
			defer func() { _ = conn.Close() }()
		}
		re, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, re.Body)
			_, _ = io.WriteString(conn, fo.Answer("", "hello"))
		}
	})
	roots := x509.NewCertPool()
	roots.AddCert(backend.Certificate())
	client := &fasthttp.Client{
		ConfigureClient: Configure, TLSConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	scheme := "https"
	if way == plain {
		scheme = "http"
	}
	req.SetRequestURI(scheme + "://" + address + "/x")
	req.Header.SetMethod(http.MethodPost)
	req.SetBody(make([]byte, 100<<10))
	return resp, client.DoTimeout(req, resp, 5*time.Second)
}

// Clients whose library reads the answer itself got broken answers, with TLS as without.
func TestConnChecksAnswers(t *testing.T) {
	for _, way := range []string{plain, secured} {
		for _, fo := range answerfake.Sound() {
			t.Run(way+"/"+fo.Name, func(t *testing.T) {
				g := NewWithT(t)
				resp, err := ask(t, fo, way)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode()).To(Equal(fo.Status))
				g.Expect(string(resp.Body()) == "hello").To(Equal(!fo.NoBody))
			})
		}
		for _, fo := range broken() {
			t.Run(way+"/"+fo.Name, func(t *testing.T) {
				_, err := ask(t, fo, way)
				NewWithT(t).Expect(err).To(HaveOccurred())
			})
		}
	}
}

// An answer without length over TLS was whole where the connection had ended without TLS saying
// so, as it does if the endpoint ends in the middle of it.
func TestEndWithoutAlertIsNoEndOfAnAnswer(t *testing.T) {
	for _, fo := range answerfake.Sound() {
		t.Run(fo.Name, func(t *testing.T) {
			g := NewWithT(t)
			resp, err := ask(t, fo, cutShort)
			if !strings.Contains(fo.Name, "no length") && !strings.Contains(fo.Name, "without length") {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode()).To(Equal(fo.Status))
				return
			}
			g.Expect(err).To(HaveOccurred(), "%q", resp.Body())
		})
	}
}

// A head is checked in the same way however its bytes arrive.
func TestReadHeadByteByByte(t *testing.T) {
	read := func(fo answerfake.Form) error {
		rd := bufio.NewReader(iotest.OneByteReader(strings.NewReader(fo.Answer("", "hello"))))
		var head fasthttp.ResponseHeader
		return ReadHead(rd, &head)
	}
	for _, fo := range answerfake.Sound() {
		NewWithT(t).Expect(read(fo)).To(Succeed(), fo.Name)
	}
	for _, fo := range broken() {
		NewWithT(t).Expect(read(fo)).To(MatchError(ErrMalformed), fo.Name)
	}
}

// The bytes that a name and a value may have, at any place.
func TestBytesOfFields(t *testing.T) {
	check := func(line string) error {
		var he Head
		_, err := he.Check([]byte("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n"))
		if err == nil && !he.Whole() {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	const tokens = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for ch := range 0x100 {
		g, text := NewWithT(t), string([]byte{byte(ch)})
		isToken := ch < 0x80 && strings.ContainsRune(tokens, rune(ch))
		for _, name := range []string{text + "ab", "a" + text + "b", "ab" + text} {
			if ch != ':' {
				g.Expect(check(name+": 1") == nil).To(Equal(isToken), "%q", name)
			}
		}
		isText := ch == '\t' || ch >= ' ' && ch != 0x7f
		for _, value := range []string{text + "ab", "a" + text + "b", "ab" + text} {
			g.Expect(check("a:"+value) == nil).To(Equal(isText), "%q", value)
		}
	}
}
