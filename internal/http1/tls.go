package http1

import (
	"context"
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

// Handshake does the TLS handshake with a host and port on a connection to it, and closes the
// connection if that fails. A nil config is a new one; its server name is that of the host unless
// it has another. Reads return io.EOF only if the other side said that it sends no more: anything
// else would not end an answer without length and chunks.
func Handshake(ctx context.Context, conn net.Conn, address string, config *tls.Config) (*tls.Conn, error) {
	secured := tls.Client(transport{Conn: conn}, configFor(address, config))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// configFor returns the TLS configuration for a host and port.
func configFor(address string, config *tls.Config) *tls.Config {
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName != "" {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	config = config.Clone()
	config.ServerName = host
	return config
}
