package daemon

import (
	"cmp"
	"time"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/intake"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/setting"
)

const (
	// assumedMemoryBytes is the memory by which bodies, messages and connections are limited
	// if that of the process is not known.
	assumedMemoryBytes = 1 << 30
	// bodiesDivisor and messagesDivisor divide the memory of the process to get the limits for
	// the bodies of requests, and for the messages and calls of other instances.
	bodiesDivisor   = 4
	messagesDivisor = 16
	// callersDivisor, operatorsDivisor and peersDivisor divide the memory of the process to
	// get the limits for the connections of each listener.
	callersDivisor   = 6
	operatorsDivisor = 32
	peersDivisor     = 32
	// callersFilesDivisor, operatorsFilesDivisor and peersFilesDivisor divide the descriptors
	// of the process to get the limits for the connections of each listener. The others are
	// for endpoints, other instances and the platform.
	callersFilesDivisor   = 2
	operatorsFilesDivisor = 16
	peersFilesDivisor     = 8
	// connectionBytes is the memory of a connection of a caller or operator from its first
	// byte on: the read buffer, the begin of a body and the stack.
	connectionBytes = 32 << 10
	// silentTimeout is the longest time for which a new connection may be silent, including
	// the TLS handshake. headTimeout is that from the first byte of a request to the end of
	// its head, and bodyTimeout that without a byte of a body.
	silentTimeout = 30 * time.Second
	headTimeout   = time.Minute
	bodyTimeout   = 30 * time.Second
)

// intakes has the limits for what arrives from outside.
type intakes struct {
	callers, operators, peers *intake.Limiter
	// bodies limits the bodies of the requests of callers and operators together, messages
	// what other instances send.
	bodies, messages *buffer.Budget
	// closedPeers counts the connections of other instances that were closed.
	closedPeers *intake.Closed
}

// newIntakes divides the memory and the descriptors of the process.
func (da *Daemon) newIntakes() intakes {
	memory := cmp.Or(da.Settings.Limits.MemoryBytes(), assumedMemoryBytes)
	files := intake.MaxFiles()
	peers := da.newClosed("peer")
	return intakes{
		callers:   da.newHTTPLimiter("caller", da.Settings.Caller, memory/callersDivisor, files/callersFilesDivisor),
		operators: da.newHTTPLimiter("operator", da.Settings.Operator, memory/operatorsDivisor, files/operatorsFilesDivisor),
		peers: &intake.Limiter{
			Bytes: memory / peersDivisor, ActiveBytes: peer.ConnBytes, SilentBytes: silentBytes(da.Settings.Peer, peer.ConnBytes),
			Conns: files / peersFilesDivisor, OnClose: peers.CountCause,
		},
		bodies:      &buffer.Budget{Bytes: memory / bodiesDivisor},
		messages:    &buffer.Budget{Bytes: memory / messagesDivisor},
		closedPeers: peers,
	}
}

func (da *Daemon) newClosed(listener string) *intake.Closed {
	return &intake.Closed{Listener: listener, Part: "daemon", Clock: da.Clock, Log: da.Log, Scope: da.root.Scope}
}

// newHTTPLimiter returns the limits of the connections of a listener for HTTP.
func (da *Daemon) newHTTPLimiter(listener string, se setting.Listener, bytes int64, files int) *intake.Limiter {
	return &intake.Limiter{
		Bytes: bytes, ActiveBytes: connectionBytes, SilentBytes: silentBytes(se, connectionBytes), Conns: files,
		SilentTimeout: silentTimeout, HeadTimeout: func() time.Duration { return headTimeout }, BodyTimeout: bodyTimeout,
		OnClose: da.newClosed(listener).CountCause,
	}
}

// silentBytes returns the memory of a connection without a request, or zero for the default.
// A TLS handshake takes buffers before the first byte of a request.
func silentBytes(se setting.Listener, active int64) int64 {
	if se.TLS.Enabled() {
		return active
	}
	return 0
}
