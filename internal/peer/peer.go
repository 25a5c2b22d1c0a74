// Package peer makes calls between entry instances over net/rpc.
//
// net/rpc has no deadlines. Client sets one for each call and closes a
// connection on which a call timed out, because the other side may not answer
// any more. Server limits the memory and the time that messages and calls take, since
// anyone who reaches its listener may send them.
//
// # Usage
//
//	se := &peer.Server{Listener: ln}
//	err := se.Register("Admission", service)   // methods as net/rpc requires them
//	go se.Run(ctx)
//
//	cl := &peer.Client{}
//	err = cl.Call(ctx, "127.0.0.1:7101", "Admission.Acquire", args, &reply)
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"
)

// CallTimeout is the longest time that a call may take. The context of a call
// can set an earlier deadline.
const CallTimeout = 2 * time.Second

// dialTimeout is the longest time that a connection attempt may take.
const dialTimeout = 500 * time.Millisecond

// ErrorKind tells how far a failed call got.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// Unreachable means that there was no connection. The call was not sent.
	Unreachable ErrorKind = "unreachable"
	// Lost means that there was a connection, but no answer. The call may have
	// run.
	Lost ErrorKind = "lost"
	// Remote means that the other instance answered with an error.
	Remote ErrorKind = "remote"
)

// Error is the error type of this package.
type Error struct {
	// Op is the called method, or "accept" for an error of Server.Run.
	Op   string
	Peer string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (er *Error) Error() string {
	return fmt.Sprintf("peer: %s at %s: %s: %v", er.Op, er.Peer, er.Kind, er.Err)
}

// Unwrap returns Err.
func (er *Error) Unwrap() error { return er.Err }

// IsKind reports whether err is an Error of this kind.
func IsKind(err error, ki ErrorKind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == ki
}

// Caller makes calls to other instances. Client implements it, and peerfake in
// tests.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Client is the Caller over TCP. It keeps one connection per address. Set the
// exported fields before the first call. It is safe for concurrent use.
type Client struct {
	// TLS is the configuration for mutual TLS; nil means plain TCP.
	TLS *tls.Config

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// Call implements Caller. It changes reply, which must be a pointer, only if it
// succeeds.
func (cl *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	rc, err := cl.connect(ctx, address)
	if err != nil {
		return &Error{Op: method, Peer: address, Kind: Unreachable, Err: err}
	}
	// net/rpc may still decode an answer after the call was abandoned, so that it must
	// not decode into the caller's value.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	done := rc.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1)).Done
	select {
	case ca := <-done:
		if ca.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		return cl.handleResult(address, method, rc, ca.Error)
	case <-ctx.Done():
		cl.drop(address, rc)
		return &Error{Op: method, Peer: address, Kind: Lost, Err: ctx.Err()}
	}
}

func (cl *Client) handleResult(address, method string, rc *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return &Error{Op: method, Peer: address, Kind: Remote, Err: err}
	}
	cl.drop(address, rc)
	return &Error{Op: method, Peer: address, Kind: Lost, Err: err}
}

func (cl *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	cl.mu.Lock()
	rc, found := cl.conns[address]
	cl.mu.Unlock()
	if found {
		return rc, nil
	}
	conn, err := cl.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if other, found := cl.conns[address]; found {
		_ = conn.Close()
		return other, nil
	}
	if cl.conns == nil {
		cl.conns = make(map[string]*rpc.Client)
	}
	rc = rpc.NewClientWithCodec(newClientCodec(conn))
	cl.conns[address] = rc
	return rc, nil
}

func (cl *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	di := &net.Dialer{Timeout: dialTimeout}
	if cl.TLS == nil {
		return di.DialContext(ctx, "tcp", address)
	}
	td := &tls.Dialer{NetDialer: di, Config: cl.TLS}
	return td.DialContext(ctx, "tcp", address)
}

func (cl *Client) drop(address string, rc *rpc.Client) {
	cl.mu.Lock()
	if cl.conns[address] == rc {
		delete(cl.conns, address)
	}
	cl.mu.Unlock()
	_ = rc.Close()
}
