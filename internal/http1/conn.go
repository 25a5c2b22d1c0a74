package http1

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Conn is a connection that checks the heads of answers. It is for clients that make one call
// at a time on a connection and write the whole request before they read: the first head after
// a write is checked, with the interim ones before it.
type Conn struct {
	net.Conn
	// Once is set if one call is made on the connection. The request may be written while its
	// answer is read then.
	Once bool

	head Head
}

// Write implements net.Conn.
func (co *Conn) Write(data []byte) (int, error) {
	if !co.Once {
		co.head = Head{}
	}
	return co.Conn.Write(data)
}

// Read implements net.Conn. It returns none of the bytes that come with a malformed head.
func (co *Conn) Read(into []byte) (int, error) {
	count, err := co.Conn.Read(into)
	for rest := into[:count]; len(rest) > 0 && !co.head.Whole(); {
		checked, err := co.head.Check(rest)
		if err != nil {
			return 0, err
		}
		rest = rest[checked:]
		if co.head.IsInterim() {
			co.head = Head{}
		}
	}
	return count, err
}

// secureConn is a Conn over TLS. The HTTP library takes a connection with the method Handshake
// for one that is encrypted already.
type secureConn struct {
	*Conn
	secured *tls.Conn
}

// Handshake does the TLS handshake.
func (sc secureConn) Handshake() error { return sc.secured.Handshake() }

// Configure lets a client check the heads of answers, with TLS and without. It is for
// fasthttp.Client.ConfigureClient.
func Configure(client *fasthttp.HostClient) error {
	di := dialer{dial: client.Dial, isTLS: client.IsTLS, config: client.TLSConfig}
	client.DialTimeout = di.connect
	return nil
}

// dialer opens the connections of a client.
type dialer struct {
	// dial is nil if the client has no function of its own.
	dial   fasthttp.DialFunc
	isTLS  bool
	config *tls.Config
}

// connect opens a connection. A timeout of zero means that of dial, or of the HTTP library.
func (di dialer) connect(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := di.open(address, timeout)
	if err != nil {
		return nil, err
	}
	if !di.isTLS {
		return &Conn{Conn: conn}, nil
	}
	ctx := context.Background()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	secured, err := Handshake(ctx, conn, address, di.config)
	if err != nil {
		return nil, err
	}
	return secureConn{Conn: &Conn{Conn: secured}, secured: secured}, nil
}

func (di dialer) open(address string, timeout time.Duration) (net.Conn, error) {
	switch {
	case di.dial != nil:
		return di.dial(address)
	case timeout > 0:
		return fasthttp.DialTimeout(address, timeout)
	default:
		return fasthttp.Dial(address)
	}
}
