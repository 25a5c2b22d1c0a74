// Package hangup detects callers that close their connection while they wait for
// an answer. The HTTP server does not read from a connection while a handler runs,
// so it would not notice before the first write.
//
// One goroutine polls the kernel for the state of all watched connections. It reads
// no data from them. A caller that closes only its sending side counts as
// disconnected.
//
// # Usage
//
//	wa := &hangup.Watcher{Clock: clock}
//	go wa.Run(ctx) // a controller.Controller
//	stop := wa.Watch(conn, func() { cancel(cause) })
//	defer stop()
package hangup

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	defaultInterval = 200 * time.Millisecond
	// closedEvents are the events that poll reports for a connection that the
	// other side has closed, even if it still has unread data.
	closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
)

// Watcher watches connections. Set the fields before Run. A nil Watcher
// watches nothing.
type Watcher struct {
	Clock clockwork.Clock
	// Interval is the time between two polls. Zero means 200 ms.
	Interval time.Duration

	mu      sync.Mutex
	watches map[*watch]struct{}
}

type watch struct {
	raw     syscall.RawConn
	onClose func()
}

// Name implements controller.Controller.
func (wa *Watcher) Name() string { return "hangup" }

// Run polls all watched connections until ctx ends.
func (wa *Watcher) Run(ctx context.Context) error {
	interval := wa.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	ti := wa.Clock.NewTicker(interval)
	defer ti.Stop()
	var list []*watch
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.Chan():
			list = wa.poll(list[:0])
		}
	}
}

// Watch calls onClose once if the other side closes conn before stop is called.
// When stop returns, a call of onClose may still be in progress. Connections that
// have no file descriptor are not watched.
func (wa *Watcher) Watch(conn net.Conn, onClose func()) (stop func()) {
	raw := rawConn(conn)
	if wa == nil || raw == nil {
		return func() {}
	}
	wt := &watch{raw: raw, onClose: onClose}
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wa.watches == nil {
		wa.watches = make(map[*watch]struct{})
	}
	wa.watches[wt] = struct{}{}
	return func() { wa.remove(wt) }
}

func (wa *Watcher) remove(wt *watch) bool {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	_, found := wa.watches[wt]
	delete(wa.watches, wt)
	return found
}

// rawConn returns the raw connection inside wrappers such as TLS, or nil if there
// is none.
func rawConn(conn net.Conn) syscall.RawConn {
	for conn != nil {
		if sc, isRaw := conn.(syscall.Conn); isRaw {
			raw, err := sc.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		}
		wrapper, isWrapper := conn.(interface{ NetConn() net.Conn })
		if !isWrapper {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}

// poll checks all watched connections once. It uses list, which must be empty, as
// scratch space and returns it.
func (wa *Watcher) poll(list []*watch) []*watch {
	wa.mu.Lock()
	for wt := range wa.watches {
		list = append(list, wt)
	}
	wa.mu.Unlock()
	for _, wt := range list {
		if wt.closed() && wa.remove(wt) {
			wt.onClose()
		}
	}
	return list
}

// closed reports whether the other side has closed the connection. It returns
// false if this side has closed it.
func (wt *watch) closed() bool {
	closed := false
	_ = wt.raw.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(fds[:], 0)
		closed = err == nil && count > 0 && fds[0].Revents&closedEvents != 0
	})
	return closed
}
