package gateway

import (
	"net"
	"time"

	"filbertstall.example/filbertstall/internal/intake"
	"filbertstall.example/filbertstall/internal/peer"
)

const (
	// connectionBytes is the memory of a connection to the listeners of callers and forwards
	// from its first byte on: a read buffer of 32 KiB, the begin of a body and the stacks.
	connectionBytes = 48 << 10
	// auxiliaryConnectionBytes is that of a connection to the readiness check or the metrics.
	auxiliaryConnectionBytes = 16 << 10
	// auxiliaryConnections limits the connections to the readiness check and to the metrics,
	// each.
	auxiliaryConnections = 64
	// callersFilesDivisor, forwardsFilesDivisor and callsFilesDivisor divide the descriptors
	// of the process to get the limits for connections of callers, forwards and calls. The
	// others are for endpoints, other instances and the store.
	callersFilesDivisor  = 2
	forwardsFilesDivisor = 8
	callsFilesDivisor    = 8
	// silentTimeout is the longest time for which a new connection may be silent.
	silentTimeout = 30 * time.Second
	// bodyTimeout is the longest time without a byte of a body.
	bodyTimeout = 30 * time.Second
	// defaultHeadTimeout is the time for the head of a request while no configuration is
	// known. headTimeoutFactor is how often that of the configuration is allowed, since bytes
	// arrive later than they are sent.
	defaultHeadTimeout = time.Minute
	headTimeoutFactor  = 2
)

// headTimeout returns the time from the first byte of a request within which its head must
// be complete.
func (gw *Gateway) headTimeout() time.Duration {
	if cf := gw.state.Load(); cf != nil && cf.Limits().HeaderTimeout > 0 {
		return headTimeoutFactor * cf.Limits().HeaderTimeout
	}
	return defaultHeadTimeout
}

// bodyBytes returns the limit of the configuration in force for the body of one request, in
// bytes, and whether there is one.
func (gw *Gateway) bodyBytes() (bytes int, limited bool) {
	if cf := gw.state.Load(); cf != nil {
		return cf.Limits().Body()
	}
	return 0, false
}

// maxFiles returns the number of descriptors that the process may have open, or 0 if it is
// not known.
func (se Settings) maxFiles() int {
	if se.MaxFiles > 0 {
		return se.MaxFiles
	}
	return intake.MaxFiles()
}

func (gw *Gateway) newClosed(listener string) *intake.Closed {
	return &intake.Closed{Listener: listener, Part: "gateway", Clock: gw.Clock, Log: gw.Log, Scope: gw.metrics.Scope}
}

// newIntake returns the limits of the connections of a listener for HTTP.
func (gw *Gateway) newIntake(listener string, bytes int64, files int) *intake.Limiter {
	closed := gw.newClosed(listener)
	return &intake.Limiter{
		Bytes: bytes, ActiveBytes: connectionBytes, Conns: files, SilentTimeout: silentTimeout, HeadTimeout: gw.headTimeout, BodyTimeout: bodyTimeout, OnClose: closed.CountCause,
	}
}

// listenAuxiliary returns the listener of the readiness check or of the metrics with limited
// connections.
func (gw *Gateway) listenAuxiliary(name string, ln net.Listener) net.Listener {
	li := gw.newIntake(name, 0, auxiliaryConnections)
	li.ActiveBytes = auxiliaryConnectionBytes
	return li.Listen(ln)
}

// newPeerServer returns the server of calls of other instances, which bounds the time of a
// message itself.
func (gw *Gateway) newPeerServer(ln net.Listener) *peer.Server {
	closed := gw.newClosed("calls")
	return &peer.Server{
		Listener: ln, Memory: gw.memory.messages, OnClose: func(ca peer.Cause) { closed.Count(string(ca)) },
		Limiter: &intake.Limiter{
			Bytes: gw.memory.calls, ActiveBytes: peer.ConnBytes, Conns: gw.Settings.maxFiles() / callsFilesDivisor, OnClose: closed.CountCause,
		},
	}
}
