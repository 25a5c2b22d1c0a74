package intake

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptPause is the time after which a connection is accepted again if the process had no
// descriptor left.
const acceptPause = 20 * time.Millisecond

// listener accepts the connections of a Limiter.
type listener struct {
	net.Listener
	li *Limiter
}

// Listen returns a listener whose connections are limited.
func (li *Limiter) Listen(ln net.Listener) net.Listener { return &listener{Listener: ln, li: li} }

// Accept implements net.Listener. If the process has no descriptor left, it closes a
// connection that serves no request and tries again.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		nc, err := ln.Listener.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			ln.li.report(NoDescriptor)
			ln.li.displace()
			time.Sleep(acceptPause)
		case errors.Is(err, syscall.ECONNABORTED):
		case err != nil:
			return nil, err
		default:
			cn := &Conn{Conn: nc, li: ln.li}
			if ln.li.admit(cn) {
				return cn, nil
			}
			ln.li.report(Full)
			_ = nc.Close()
		}
	}
}
