package client

import (
	"context"
	"net"
	"time"

	"filbertstall.example/filbertstall/internal/http1"
)

const dialTimeout = 2 * time.Second

// dial opens a connection whose failure is not taken for the end of an answer.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &http1.Duplex{Conn: conn}, nil
}

// dialPlain opens a connection for one request, whose answer is checked.
func dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &http1.Conn{Conn: conn, Once: true}, nil
}

// dialTLS is dialPlain with TLS.
func dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	secured, err := http1.Handshake(ctx, conn, address, nil)
	if err != nil {
		return nil, err
	}
	return &http1.Conn{Conn: secured, Once: true}, nil
}
