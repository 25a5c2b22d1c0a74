package http1

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
)

// errCutShort is not io.EOF, which the TLS library would take for the end of what is sent.
var errCutShort = errors.New("http1: the connection ended without the closing alert of TLS")

// transport is a connection under TLS, which says itself where it ends.
type transport struct{ net.Conn }

// Read implements net.Conn.
func (tr transport) Read(into []byte) (int, error) {
	count, err := tr.Conn.Read(into)
	if errors.Is(err, io.EOF) {
		err = errCutShort
	}
	return count, err
}

// TLSClient returns a TLS connection whose reads return io.EOF only if the other side said that
// it sends no more. Anything else would not end an answer without length and chunks.
func TLSClient(conn net.Conn, config *tls.Config) *tls.Conn {
	return tls.Client(transport{Conn: conn}, config)
}
