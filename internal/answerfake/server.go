package answerfake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve starts an endpoint that reads a request on each connection, writes an answer and
// closes the connection. It returns the endpoint's address.
func Serve(t *testing.T, answer func(*http.Request) string) string {
	t.Helper()
	return ServeRaw(t, func(conn *net.TCPConn) {
		re, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, re.Body)
		_, _ = io.WriteString(conn, answer(re))
	})
}

// ServeRaw starts an endpoint that serves each connection in a goroutine of its own and closes
// it then. It returns the endpoint's address.
func ServeRaw(t *testing.T, serve func(*net.TCPConn)) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				if tc, isTCP := conn.(*net.TCPConn); isTCP {
					serve(tc)
				}
			}()
		}
	}()
	return ln.Addr().String()
}
