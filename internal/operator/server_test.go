package operator_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/operator"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

// startServer runs a server for one team of operators with a token, and returns its address.
func startServer(t *testing.T, token string) string {
	t.Helper()
	cf, err := kind.NewConfiguration(kind.Document{Version: 1, Teams: []kind.Team{
		{Name: "ops", Weight: 1, Role: kind.RoleConfirm, TokenHashes: []string{kind.HashToken(token)}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	holder := &snapshot.Holder[kind.Configuration]{}
	holder.Store(cf)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	se := &operator.Server{Listener: ln, Configuration: holder, Ready: func() bool { return true }, Instance: "i1", Zone: "a"}
	go func() { _ = se.Run(t.Context()) }()
	return ln.Addr().String()
}

// statusWith asks for the status with a line of the head and returns the HTTP status.
func statusWith(t *testing.T, address, line string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /status HTTP/1.1\r\nHost: ops\r\n%s\r\n", line)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against a request without a token that counts as one with an empty token: a team whose
// token_hashes has the digest of the empty text, as of a variable that was not set, let everybody
// in as an operator.
func TestMissingTokenIsNoToken(t *testing.T) {
	for _, ca := range []struct {
		name, token, line string
		status            int
	}{
		{"token", "good", "Authorization: Bearer good\r\n", http.StatusOK},
		{"no field", "good", "", http.StatusUnauthorized},
		{"no scheme", "good", "Authorization: good\r\n", http.StatusUnauthorized},
		{"other scheme", "good", "Authorization: Basic good\r\n", http.StatusUnauthorized},
		{"empty hash, no field", "", "", http.StatusUnauthorized},
		{"empty hash, empty field", "", "Authorization: \r\n", http.StatusUnauthorized},
		{"empty hash, scheme only", "", "Authorization: Bearer\r\n", http.StatusUnauthorized},
		{"empty hash, scheme and blank", "", "Authorization: Bearer \r\n", http.StatusUnauthorized},
	} {
		t.Run(ca.name, func(t *testing.T) {
			NewWithT(t).Expect(statusWith(t, startServer(t, ca.token), ca.line)).To(Equal(ca.status))
		})
	}
}
