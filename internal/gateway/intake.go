package gateway

import (
	"math"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"filbertstall.example/filbertstall/internal/intake"
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
	// callersFilesDivisor and forwardsFilesDivisor divide the descriptors of the process to
	// get the limits for connections of callers and of forwards. The others are for
	// endpoints, other instances and the store.
	callersFilesDivisor  = 2
	forwardsFilesDivisor = 8
	// silentTimeout is the longest time for which a new connection may be silent.
	silentTimeout = 30 * time.Second
	// bodyTimeout is the longest time without a byte of a body.
	bodyTimeout = 30 * time.Second
	// defaultHeadTimeout is the time for the head of a request while no configuration is
	// known. headTimeoutFactor is how often that of the configuration is allowed, since bytes
	// arrive later than they are sent.
	defaultHeadTimeout = time.Minute
	headTimeoutFactor  = 2
	// closedLogInterval is the shortest time between two log lines about closed connections
	// of one listener.
	closedLogInterval = 10 * time.Second
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
// bytes, or zero if there is none.
func (gw *Gateway) bodyBytes() int {
	if cf := gw.state.Load(); cf != nil {
		return cf.Limits().BodyBytes
	}
	return 0
}

// maxFiles returns the number of descriptors that the process may have open, or 0 if it is
// not known.
func (se Settings) maxFiles() int {
	if se.MaxFiles > 0 {
		return se.MaxFiles
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// newIntake returns the limits of the connections of a listener.
func (gw *Gateway) newIntake(listener string, bytes int64, files int) *intake.Limiter {
	cc := &closedConnections{listener: listener, clock: gw.Clock, log: gw.Log, scope: gw.metrics.Scope.Tagged(map[string]string{"listener": listener})}
	return &intake.Limiter{
		Bytes: bytes, ActiveBytes: connectionBytes, Conns: files, SilentTimeout: silentTimeout, HeadTimeout: gw.headTimeout, BodyTimeout: bodyTimeout, OnClose: cc.count,
	}
}

// listenAuxiliary returns the listener of the readiness check or of the metrics with limited
// connections.
func (gw *Gateway) listenAuxiliary(name string, ln net.Listener) net.Listener {
	li := gw.newIntake(name, 0, auxiliaryConnections)
	li.ActiveBytes = auxiliaryConnectionBytes
	return li.Listen(ln)
}

// closedConnections counts the connections of a listener that were closed before they
// brought a whole request, and logs them together.
type closedConnections struct {
	listener string
	clock    clockwork.Clock
	log      zerolog.Logger
	scope    tally.Scope

	mu      sync.Mutex
	counts  map[intake.Cause]int
	logged  time.Time
	waiting bool
}

// count counts a connection. A line is logged at once if there was none for
// closedLogInterval, and else at its end.
func (cc *closedConnections) count(ca intake.Cause) {
	cc.scope.Tagged(map[string]string{"cause": string(ca)}).Counter("connections_closed").Inc(1)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.counts == nil {
		cc.counts = make(map[intake.Cause]int)
	}
	cc.counts[ca]++
	if cc.waiting {
		return
	}
	cc.waiting = true
	cc.clock.AfterFunc(max(closedLogInterval-cc.clock.Since(cc.logged), 0), cc.write)
}

func (cc *closedConnections) write() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	line := cc.log.Warn().Str("event", "connections_closed").Str("listener", cc.listener)
	for _, ca := range intake.Causes() {
		if count := cc.counts[ca]; count > 0 {
			line = line.Int(string(ca), count)
		}
	}
	line.Msg("gateway: closed connections that brought no whole request, or were not accepted")
	cc.counts, cc.logged, cc.waiting = nil, cc.clock.Now(), false
}
